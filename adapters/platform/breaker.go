package platform

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
)

// Reason classifies a failed call.
type Reason string

// Reasons of failed calls. Only ReasonOpen and ReasonBusy exclude that a write
// took effect; callers treat all reasons alike and read the row.
const (
	ReasonDown      Reason = "down"      // no connection, or it broke
	ReasonSlow      Reason = "slow"      // the deadline passed
	ReasonThrottled Reason = "throttled" // the service asks for fewer calls
	ReasonRefused   Reason = "refused"   // any other error status
	ReasonOpen      Reason = "open"      // not sent, because calls failed before
	ReasonBusy      Reason = "busy"      // not sent, because too many calls run
)

// Bounds of the breaker.
const (
	// openAfter is the number of failures in a row that open it. One lost
	// connection is ordinary; five in a row are not.
	openAfter = 5
	openBase  = 200 * time.Millisecond
	// openMax bounds the time to notice that the service is back. With 370
	// instances a probe each 5 s is 74 calls/s, of 2,000 reads/s.
	openMax = 5 * time.Second
)

var (
	errOpen = errors.New("not sent: earlier calls failed")
	errBusy = errors.New("not sent: too many calls are running")
)

// breaker limits the calls to one service. It opens after failures in a row, or
// calls that take longer than slowAfter, so that callers are refused at once
// instead of waiting for a deadline each. While open, one probe at a time is let
// through. After a probe succeeds the number of concurrent calls grows by one
// with each success, so that a returning service is not overrun.
type breaker struct {
	max       int
	slowAfter time.Duration
	now       func() time.Time

	mu       sync.Mutex
	limit    int
	running  int
	failures int
	openings int
	retryAt  time.Time
	probing  bool
	waiters  []chan struct{}
	reasons  map[Reason]int64
}

func newBreaker(limit int, slowAfter time.Duration) *breaker {
	return &breaker{max: limit, limit: limit, slowAfter: slowAfter, now: time.Now, reasons: map[Reason]int64{}}
}

// enter waits for a free slot. probe says that the call decides over the breaker.
func (b *breaker) enter(ctx context.Context) (probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case b.openings > 0 && (b.probing || b.now().Before(b.retryAt)):
			b.reasons[ReasonOpen]++
			return false, errOpen
		case b.openings > 0:
			b.probing = true
			b.running++
			return true, nil
		case b.running < b.limit:
			b.running++
			return false, nil
		}
		ch := make(chan struct{}, 1)
		b.waiters = append(b.waiters, ch)
		b.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
		b.mu.Lock()
		if ctx.Err() != nil {
			b.wake() // the slot may have been meant for this call
			b.reasons[ReasonBusy]++
			return false, errBusy
		}
	}
}

// wake lets waiting calls try again; mu is held.
func (b *breaker) wake() {
	for range len(b.waiters) {
		if b.openings == 0 && b.running >= b.limit {
			return
		}
		b.waiters[0] <- struct{}{}
		b.waiters = b.waiters[1:]
		if b.openings == 0 {
			return
		}
	}
}

// leave notes the end of a call; reason is empty for a success.
func (b *breaker) leave(probe bool, took time.Duration, reason Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if reason == "" && took > b.slowAfter {
		reason = ReasonSlow
	}
	switch {
	case reason != "":
		b.reasons[reason]++
		b.failures++
		if probe || b.openings == 0 && b.failures >= openAfter {
			b.open()
		}
	case probe:
		b.openings, b.failures, b.limit = 0, 0, 1
	case b.openings == 0:
		b.failures = 0
		b.limit = min(b.limit+1, b.max)
	}
	if probe {
		b.probing = false
	}
	b.wake()
}

func (b *breaker) open() {
	d := min(openBase<<min(b.openings, 10), openMax)
	b.openings++
	b.retryAt = b.now().Add(d/2 + rand.N(d))
}

// reasonOf classifies the error of a call.
func reasonOf(err error) Reason {
	var ne net.Error
	var resp *smithyhttp.ResponseError
	var api smithy.APIError
	switch {
	case errors.Is(err, errOpen):
		return ReasonOpen
	case errors.Is(err, errBusy):
		return ReasonBusy
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &ne) && ne.Timeout():
		return ReasonSlow
	case errors.As(err, &api) && (api.ErrorCode() == "ProvisionedThroughputExceededException" || api.ErrorCode() == "ThrottlingException" || api.ErrorCode() == "SlowDown"):
		return ReasonThrottled
	case errors.As(err, &resp) && resp.HTTPStatusCode() > 0:
		return ReasonRefused
	}
	return ReasonDown
}
