// Package burn counts requests against the service-level objectives of pools and
// client accounts, and computes error-budget burn rates. Each instance has one
// Recorder; the operators' command merges the snapshots of all instances.
//
// A sliding window is kept as two slots, the current and the previous one, which
// start at multiples of the window's length since 1970-01-01 UTC. The count of a
// window is that of the current slot plus the part of the previous slot that the
// window still covers. All instances use the same slot boundaries and the same
// histogram layout, so slots are merged without loss of precision.
package burn

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Windows, as indexes of WindowLengths and WindowNames.
const (
	FiveMinutes = iota
	Hour
	SixHours
	ThreeDays
	NumWindows
)

var WindowLengths = [NumWindows]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// WindowNames are the window names used in reports.
var WindowNames = [NumWindows]string{"5m", "1h", "6h", "3d"}

// Event kinds, as indexes of Counts.
const (
	// Complete counts requests with a complete response.
	Complete = iota
	// Refused counts requests that were rejected before they ran.
	Refused
	// Failed counts requests that may have run but got no complete response.
	Failed
	// CallerError counts invalid requests and requests that the caller aborted;
	// they do not count against an objective.
	CallerError
	// Streams counts streams that produced a first token. SlowFirstToken and
	// SlowBetweenTokens count subsets of them.
	Streams
	// SlowFirstToken counts streams whose first token exceeded its time limit.
	SlowFirstToken
	// SlowBetweenTokens counts streams whose mean time between tokens exceeded its limit.
	SlowBetweenTokens
	NumCounts
)

// Counts holds the number of events of each kind.
type Counts [NumCounts]uint64

func (c *Counts) add(o Counts) {
	for i := range c {
		c[i] += o[i]
	}
}

// Event describes one finished request.
type Event struct {
	Pool    fleet.PoolID
	Account fleet.ClientAccountID
	// DataCentre is the data centre of the backend server, or of the instance when
	// no backend server was selected.
	DataCentre fleet.DataCentreID
	// Code is 0 for a complete response.
	Code    result.Code
	Outcome result.Outcome
	// Stream reports whether the response was streamed, so that FirstToken and
	// BetweenTokens are valid.
	Stream bool
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 for a single token.
	BetweenTokens time.Duration
	// FirstTokenLimit and BetweenTokensLimit are the pool's latency objectives.
	FirstTokenLimit, BetweenTokensLimit time.Duration
}

// Cause categories, the values of Cause.Cause.
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

// CauseOf returns the cause category of a result code.
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

// countIndex returns the event kind of a finished request.
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

// counts returns the counts that the event adds.
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

// Cause describes why events consumed error budget: a result code or, with code
// 0, a slow stream.
type Cause struct {
	Code       result.Code        `json:"code"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Cause      string             `json:"cause"`
}

// causes returns the reasons why the event consumes error budget.
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

// slotNumber returns the number of a window's slot that contains now: the slots
// since 1970-01-01 UTC.
func slotNumber(window int, now time.Time) int64 {
	return now.Unix() / int64(WindowLengths[window]/time.Second)
}

// previousCoverage returns the fraction of the previous slot that the window
// still covers.
func previousCoverage(window int, now time.Time) float64 {
	length := int64(WindowLengths[window] / time.Second)
	return 1 - float64(now.Unix()%length)/float64(length)
}
