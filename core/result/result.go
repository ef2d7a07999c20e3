// Package result defines the numbered result codes that every refusal and
// failure carries, and the error type that transports them. It holds only a
// static table. docs/result-codes.md is generated from that table.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Outcome states whether the request may have run at a backend server.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Ran means that the request ran and its outcome is known.
	Ran Outcome = "ran"
)

// Code is a numbered result code. Ranges: 1xxx the request, 2xxx admission,
// 3xxx the answer, 4xxx shared state, 5xxx settings and operators.
type Code int

// Result codes. A number is never reused for another meaning.
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

	PoolAtBound       Code = 2001
	AccountOverShare  Code = 2002
	AccountLimit      Code = 2003
	NoServer          Code = 2004
	DeadlineTooShort  Code = 2005
	Stopping          Code = 2006
	Isolated          Code = 2007
	NotReady          Code = 2008
	PermitUnavailable Code = 2009
	RetryBudgetSpent  Code = 2010
	ConnectionLimit   Code = 2020

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

// Info describes a code for callers and documentation.
type Info struct {
	Name       string
	HTTPStatus int
	Outcome    Outcome
	Meaning    string
	Advice     string
}

// Error is the error type of all decision logic and adapters.
type Error struct {
	Code Code
	// Outcome overrides the table's outcome where it is known more exactly.
	Outcome Outcome
	Message string
	// RetryAfter is the earliest useful retry; zero means no advice.
	RetryAfter time.Duration
	Cause      error
}

// New returns an error with the table's outcome for code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: code.Info().Outcome, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error that keeps cause for errors.Is and errors.As.
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

// WithRetryAfter sets the retry advice and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the *Error in err's chain, or wraps err as Internal.
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

// Info returns the code's description; an unlisted code gets Internal's.
func (c Code) Info() Info {
	if i, ok := infoByCode[c]; ok {
		return i
	}
	return infoByCode[Internal]
}

// Codes returns all codes in the table, unordered.
func Codes() []Code {
	out := make([]Code, 0, len(infoByCode))
	for c := range infoByCode {
		out = append(out, c)
	}
	return out
}
