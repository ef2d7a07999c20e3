// Package burn counts what requests showed against the service-level objectives
// of pools and client accounts, and computes burn rates. Each instance owns one
// Recorder; the operators' command merges the snapshots of all instances.
//
// A window is kept as two slots, the current and the previous one, whose bounds
// are multiples of the window's length since 1970-01-01 UTC. The sum over a
// window is the current slot plus the part of the previous slot that the window
// still covers. All instances use the same bounds and the same histogram layout,
// so that adding slots is exact.
package burn

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Windows, indexes of Lengths.
const (
	FiveMinutes = iota
	Hour
	SixHours
	ThreeDays
	NumWindows
)

// WindowLengths are the lengths of the windows.
var WindowLengths = [NumWindows]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// WindowNames are the names of the windows in reports.
var WindowNames = [NumWindows]string{"5m", "1h", "6h", "3d"}

// Kinds of events, indexes of Counts.
const (
	// Complete counts complete answers.
	Complete = iota
	// Refused counts requests that were refused without running.
	Refused
	// Failed counts requests that may have run without a complete answer.
	Failed
	// CallerError counts requests that the caller got wrong or gave up; they are not
	// counted against an objective.
	CallerError
	// Streams counts streams with a first token; the next two are shares of it.
	Streams
	// SlowFirstToken counts streams whose first token was late.
	SlowFirstToken
	// SlowBetweenTokens counts streams whose mean time between tokens was too long.
	SlowBetweenTokens
	NumCounts
)

// Counts are numbers of events.
type Counts [NumCounts]uint64

func (c *Counts) add(o Counts) {
	for i := range c {
		c[i] += o[i]
	}
}

// Event is the end of one request.
type Event struct {
	Pool    fleet.PoolID
	Account fleet.ClientAccountID
	// DataCentre is that of the backend server, or of the instance when none was chosen.
	DataCentre fleet.DataCentreID
	// Code is 0 for a complete answer.
	Code    result.Code
	Outcome result.Outcome
	// Stream says that FirstToken was measured on a stream.
	Stream bool
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 when there was one token.
	BetweenTokens time.Duration
	// FirstTokenLimit and BetweenTokensLimit are the pool's objectives in force.
	FirstTokenLimit, BetweenTokensLimit time.Duration
}

// Causes of lost budget.
const (
	CauseCapacity          = "capacity"
	CauseAccount           = "account limit"
	CauseNoServer          = "no server in service"
	CauseInstance          = "instance not in service"
	CauseBackend           = "backend server"
	CauseDeadline          = "deadline"
	CausePlatform          = "platform"
	CauseInternal          = "internal"
	CauseSlowFirstToken    = "slow first token"
	CauseSlowBetweenTokens = "slow between tokens"
)

// CauseOf groups result codes for reports.
func CauseOf(c result.Code) string {
	switch c {
	case result.PoolAtBound, result.PermitUnavailable, result.RetryBudgetSpent:
		return CauseCapacity
	case result.AccountOverShare, result.AccountLimit:
		return CauseAccount
	case result.NoServer:
		return CauseNoServer
	case result.Stopping, result.Isolated, result.NotReady:
		return CauseInstance
	case result.DeadlineTooShort, result.DeadlineExceeded:
		return CauseDeadline
	}
	switch c / 1000 {
	case 3:
		return CauseBackend
	case 4:
		return CausePlatform
	}
	return CauseInternal
}

// countIndex classifies the end of a request.
func (e *Event) countIndex() int {
	switch {
	case e.Code == 0:
		return Complete
	case e.Code < 2000 || e.Code == result.CallerGone:
		return CallerError
	case e.Outcome == result.NotRun:
		return Refused
	}
	return Failed
}

// counts returns the event as counts.
func (e *Event) counts() Counts {
	var c Counts
	c[e.countIndex()] = 1
	if e.Stream {
		c[Streams] = 1
		if e.FirstToken > e.FirstTokenLimit {
			c[SlowFirstToken] = 1
		}
		if e.BetweenTokens > e.BetweenTokensLimit {
			c[SlowBetweenTokens] = 1
		}
	}
	return c
}

// Cause is what lost budget: a result code or, with code 0, a slow stream.
type Cause struct {
	Code       result.Code        `json:"code"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Cause      string             `json:"cause"`
}

// causes returns what the event lost budget for.
func (e *Event) causes(c Counts) []Cause {
	var out []Cause
	if c[Refused]+c[Failed] > 0 {
		out = append(out, Cause{e.Code, e.DataCentre, CauseOf(e.Code)})
	}
	if c[SlowFirstToken] > 0 {
		out = append(out, Cause{0, e.DataCentre, CauseSlowFirstToken})
	}
	if c[SlowBetweenTokens] > 0 {
		out = append(out, Cause{0, e.DataCentre, CauseSlowBetweenTokens})
	}
	return out
}

// slotNumber returns the number of the slot of a window at a time.
func slotNumber(window int, now time.Time) int64 {
	return now.Unix() / int64(WindowLengths[window]/time.Second)
}

// previousCoverage is the share of the previous slot that the window still covers.
func previousCoverage(window int, now time.Time) float64 {
	length := int64(WindowLengths[window] / time.Second)
	return 1 - float64(now.Unix()%length)/float64(length)
}
