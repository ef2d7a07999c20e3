// Package verdict decides what the end of an attempt at a server indicates about the server,
// the request and the parts of its prompt. It is the only place that classifies result codes
// for that purpose. It has no state. docs/design.md 3.16 has the table.
package verdict

import (
	"errors"

	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// Attempt is what is known of an attempt that ended at a server.
type Attempt struct {
	// Code is the result code, 0 for a response without an error.
	Code result.Code
	// NotRun is set if the server is known not to have run the request.
	NotRun bool
	// Begun is set if the response has begun, with an HTTP Status.
	Begun  bool
	Status int
	// HostSilent is set if nothing was received from the server's host.
	HostSilent bool
	// PortRefuses is set if a connect to the server was refused after the end.
	PortRefuses bool
	// NoWay is set if the attempt ended with ErrNoWay.
	NoWay bool
}

// ErrNoWay is the error of an attempt for which no connection was opened, because the link to the
// server is lost and no peer is at hand. It says nothing about the server.
var ErrNoWay = errors.New("no link to the server and no peer with one")

// Parts is what an attempt indicates about the parts of its prompt.
type Parts int

const (
	// PartsUnknown means that the attempt indicates nothing.
	PartsUnknown Parts = iota
	// PartsAnswered means that an engine answered a request with these parts.
	PartsAnswered
	// PartsStruck means that a server crashed while a request with these parts was in progress.
	PartsStruck
)

// Check is when a connect to the server is to show whether it has crashed.
type Check int

const (
	// NoCheck means that the end of the attempt leaves no suspicion of a crash.
	NoCheck Check = iota
	// CheckNow means that the connection ended as it does in a crash.
	CheckNow
	// CheckLater means that the request was given up; the server may still crash on it.
	CheckLater
)

// Verdict is what an attempt indicates. The zero value blames nobody.
type Verdict struct {
	Server placement.Outcome
	// Down is set if the server's process may have ended.
	Down bool
	// RequestSuspect is set if the request may have ended the server.
	RequestSuspect bool
	Parts          Parts
	Check          Check
	// Resumable is set if another server may continue the response.
	Resumable bool
	// Unreceived is set if no server has received the request.
	Unreceived bool
}

// class is the way in which attempts with a result code end.
type class struct {
	server placement.Outcome
	// connectionEnded is set if the server's side ended the connection, unopened if there was
	// none.
	connectionEnded, unopened bool
	// givenUp is set if the instance ended the attempt while the server may work on it.
	givenUp   bool
	resumable bool
}

// nobody is the class of codes that indicate nothing about servers and requests.
var nobody = class{}

var classes = map[result.Code]class{
	0: nobody,

	result.ConnectFailed:    {server: placement.Failed, unopened: true},
	result.ConnectionLost:   {server: placement.Failed, connectionEnded: true},
	result.AnswerTruncated:  {server: placement.Failed, connectionEnded: true, resumable: true},
	result.AnswerCrossed:    {server: placement.Failed},
	result.ConnectionSilent: {server: placement.Failed, givenUp: true, resumable: true},
	result.AnswerInvalid:    {server: placement.Failed},
	result.ServerError:      {server: placement.Errored},
	result.DeadlineExceeded: {givenUp: true},
	result.AnswerTooLarge:   {server: placement.Oversized},
	result.CallerGone:       {givenUp: true},
	result.ServerRefused:    {server: placement.Refused},
	result.MemoryExhausted:  nobody,

	// The instance ends attempts with these codes before or beside the server's response.
	result.BadRequest:            nobody,
	result.Unauthenticated:       nobody,
	result.UnknownModel:          nobody,
	result.UnknownRoute:          nobody,
	result.IdempotencyKeyMissing: nobody,
	result.IdempotencyConflict:   nobody,
	result.InProgress:            nobody,
	result.BodyTooLarge:          nobody,
	result.PoolForbidden:         nobody,
	result.IdempotencyKeyExpired: nobody,
	result.HeaderTooLarge:        nobody,
	result.PromptBlocked:         nobody,
	result.BodyStalled:           nobody,
	result.PoolAtBound:           nobody,
	result.AccountOverShare:      nobody,
	result.AccountLimit:          nobody,
	result.NoServer:              nobody,
	result.DeadlineTooShort:      nobody,
	result.Stopping:              nobody,
	result.Isolated:              nobody,
	result.NotReady:              nobody,
	result.PermitUnavailable:     nobody,
	result.RetryBudgetSpent:      nobody,
	result.ConnectionLimit:       nobody,
	result.StreamOriginUnknown:   nobody,
	result.StreamVersionGone:     nobody,
	result.StoreUnavailable:      nobody,
	result.ClaimUnknown:          nobody,
	result.ConfigConflict:        nobody,
	result.ManifestInvalid:       nobody,
	result.ConfigMissing:         nobody,
	result.LeaseLost:             nobody,
	result.SettingsInvalid:       nobody,
	result.KeyFileInvalid:        nobody,
	result.NoInstance:            nobody,
	result.OperatorForbidden:     nobody,
	result.Internal:              nobody,
}

// minErrorStatus is the lowest HTTP status after which parts do not count as answered.
const minErrorStatus = 300

// Judge returns what the end of an attempt indicates.
func Judge(a Attempt) Verdict {
	c := classes[a.Code]
	v := Verdict{
		Server:         c.server,
		Down:           c.connectionEnded || c.unopened,
		RequestSuspect: c.connectionEnded && !a.Begun,
		Resumable:      c.resumable,
		Unreceived:     c.unopened || a.NoWay && a.NotRun,
	}
	if a.HostSilent {
		v.Server = placement.Unreachable
	}
	switch {
	case a.Begun:
		if a.Code == 0 && a.Status < minErrorStatus {
			v.Parts = PartsAnswered
		}
	case a.NotRun:
	case c.connectionEnded:
		v.Check = CheckNow
	case c.givenUp:
		v.Check = CheckLater
	}
	if v.Check != NoCheck && a.PortRefuses {
		v.Parts = PartsStruck
	}
	return v
}

// Of returns an attempt that ended with an error; nil is a response without an error.
func Of(e *result.Error) Attempt {
	if e == nil {
		return Attempt{}
	}
	return Attempt{Code: e.Code, NotRun: e.Outcome == result.NotRun, NoWay: errors.Is(e, ErrNoWay)}
}
