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

	policy "cyclamenhitch/core/breaker"
)

// FailureReason classifies a failed call.
type FailureReason string

// Reasons of failed calls. Only ReasonOpen and ReasonBusy exclude that a write
// took effect; callers treat all reasons alike and read the row.
const (
	ReasonDown      FailureReason = "down"      // no connection, or it broke
	ReasonSlow      FailureReason = "slow"      // the deadline passed
	ReasonThrottled FailureReason = "throttled" // the service asks for fewer calls
	ReasonRefused   FailureReason = "refused"   // any other error status
	ReasonOpen      FailureReason = "open"      // not sent, because calls failed before
	ReasonBusy      FailureReason = "busy"      // not sent, because too many calls run
)

var (
	errOpen = errors.New("not sent: earlier calls failed")
	errBusy = errors.New("not sent: too many calls are running")
)

// breaker holds calls until core/breaker lets them through.
type breaker struct {
	now func() time.Time

	mu      sync.Mutex
	state   *policy.Breaker
	waiters []chan struct{}
	reasons map[FailureReason]int64
}

func newBreaker(limit int, slowAfter time.Duration) *breaker {
	return &breaker{state: policy.New(limit, slowAfter, rand.Int64N), now: time.Now, reasons: map[FailureReason]int64{}}
}

// acquire waits for a free slot. probe says that the call decides over the breaker.
func (b *breaker) acquire(ctx context.Context) (probe bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch b.state.Acquire(b.now()) {
		case policy.Reject:
			b.reasons[ReasonOpen]++
			return false, errOpen
		case policy.Probe:
			return true, nil
		case policy.Send:
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
			b.wakeWaiters() // the slot may have been meant for this call
			b.reasons[ReasonBusy]++
			return false, errBusy
		}
	}
}

// wakeWaiters lets waiting calls try again; mu is held.
func (b *breaker) wakeWaiters() {
	for range len(b.waiters) {
		if !b.state.IsOpen() && !b.state.HasCapacity() {
			return
		}
		b.waiters[0] <- struct{}{}
		b.waiters = b.waiters[1:]
		if !b.state.IsOpen() {
			return
		}
	}
}

// release notes the end of a call; reason is empty for a success.
func (b *breaker) release(probe bool, took time.Duration, reason FailureReason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reason == "" && b.state.Slow(took) {
		reason = ReasonSlow
	}
	if reason != "" {
		b.reasons[reason]++
	}
	b.state.Done(probe, reason != "", b.now())
	b.wakeWaiters()
}

// classifyError classifies the error of a call.
func classifyError(err error) FailureReason {
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
