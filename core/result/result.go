// Package result defines the numeric result codes of rejected and failed requests
// and the error type that carries them. docs/result-codes.md is generated from its
// table of codes.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states whether a request may have run on a backend server.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran and its result is known.
	Ran Outcome = "ran"
)

// Code is a numeric result code. Ranges: 1xxx request, 2xxx admission,
// 3xxx response, 4xxx shared state, 5xxx settings and operators.
type Code int

// Result codes. The number of a removed code must not be reused.
const (
	BadRequest            Code = 1001
	Unauthenticated       Code = 1002
	UnknownModel          Code = 1003
	UnknownRoute          Code = 1004
	IdempotencyKeyMissing Code = 1005
	IdempotencyConflict   Code = 1006
	InProgress            Code = 1007
	BodyTooLarge          Code = 1008
	PoolForbidden         Code = 1009
	IdempotencyKeyExpired Code = 1010
	HeaderTooLarge        Code = 1011
	PromptBlocked         Code = 1012
	BodyStalled           Code = 1013

	PoolAtBound         Code = 2001
	AccountOverShare    Code = 2002
	AccountLimit        Code = 2003
	NoServer            Code = 2004
	DeadlineTooShort    Code = 2005
	Stopping            Code = 2006
	Isolated            Code = 2007
	NotReady            Code = 2008
	PermitUnavailable   Code = 2009
	RetryBudgetSpent    Code = 2010
	ConnectionLimit     Code = 2020
	StreamOriginUnknown Code = 2021
	StreamVersionGone   Code = 2022

	ConnectFailed    Code = 3001
	ConnectionLost   Code = 3002
	AnswerTruncated  Code = 3003
	AnswerCrossed    Code = 3004
	ConnectionSilent Code = 3005
	AnswerInvalid    Code = 3006
	ServerError      Code = 3007
	DeadlineExceeded Code = 3008
	AnswerTooLarge   Code = 3009
	CallerGone       Code = 3010
	ServerRefused    Code = 3011
	MemoryExhausted  Code = 3012

	StoreUnavailable Code = 4001
	ClaimUnknown     Code = 4002
	ConfigConflict   Code = 4003
	ManifestInvalid  Code = 4004
	ConfigMissing    Code = 4005
	LeaseLost        Code = 4006

	SettingsInvalid   Code = 5001
	KeyFileInvalid    Code = 5002
	NoInstance        Code = 5003
	OperatorForbidden Code = 5004
	Internal          Code = 5005
)

// Info describes a code to callers and in the documentation.
type Info struct {
	Name       string
	HTTPStatus int
	Outcome    Outcome
	Meaning    string
	Advice     string
}

// Error is an error with a result code. The core packages and the adapters return
// it.
type Error struct {
	Code Code
	// Outcome is the default of the code, or a more precise value where it is known.
	Outcome Outcome
	// Message is shown to callers. It quotes nothing that a server sent, which may belong to
	// another request: such details are in Cause.
	Message string
	// RetryAfter is the recommended delay before a retry; zero means no
	// recommendation.
	RetryAfter time.Duration
	// Cause is logged and not shown to callers.
	Cause error
}

// New returns an error with the default outcome of code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: code.Info().Outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap is like New and makes cause available to errors.Is and errors.As.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = cause
	return e
}

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error {
	e.Outcome = o
	return e
}

// WithRetryAfter sets RetryAfter and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// CallerText returns the text of the error for callers, without its cause.
func (e *Error) CallerText() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
}

// Error implements error. Its text is for logs.
func (e *Error) Error() string {
	s := e.CallerText()
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the wrapped cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the first *Error in err's chain, or wraps err with code Internal if
// there is none.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unclassified error")
}

// Info returns the description of c, or that of Internal if c is not defined.
func (c Code) Info() Info {
	if i, ok := infoByCode[c]; ok {
		return i
	}
	return infoByCode[Internal]
}

// Codes returns all defined codes in no particular order.
func Codes() []Code {
	out := make([]Code, 0, len(infoByCode))
	for c := range infoByCode {
		out = append(out, c)
	}
	return out
}
