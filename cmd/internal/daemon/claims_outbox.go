package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/core/claims"
)

// Bounds of the outbox. Past them an answer is dropped and its key recorded as
// unknown, and past maxEnds also that record is dropped, which leaves the key in
// progress until its holder's time is up, and unknown after that.
const (
	maxPendingEnds  = 8192
	maxPendingBytes = 32 << 20
)

// Backoff of the delivery of an attempt's end.
const (
	deliveryBackoff    = 100 * time.Millisecond
	maxDeliveryBackoff = 5 * time.Second
)

// attemptEnd is the end of an attempt that is not recorded yet.
type attemptEnd struct {
	kind         claims.Kind
	key, attempt uint64
	outcome      *claimpb.Outcome
	bodyObject   string // that holds the body, once written
	size         int
	done         chan struct{}
}

// claimOutbox delivers ends of attempts until they are recorded. Only the
// serving instance knows them, so it must not forget one while it lives.
type claimOutbox struct {
	c *claimsComponent

	mu           sync.Mutex
	pending      map[uint64]*attemptEnd   // by attempt
	pendingFrees map[uint64][]*attemptEnd // by key
	pendingBytes int
}

func newClaimOutbox(c *claimsComponent) *claimOutbox {
	return &claimOutbox{c: c, pending: map[uint64]*attemptEnd{}, pendingFrees: map[uint64][]*attemptEnd{}}
}

func (o *claimOutbox) add(e *attemptEnd) {
	e.done = make(chan struct{})
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingEnds {
		o.c.d.log.Warn("end of an attempt dropped, its key becomes unknown")
		return
	}
	if e.outcome != nil {
		e.size = len(e.outcome.Body)
	}
	if o.pendingBytes+e.size > maxPendingBytes {
		e.kind, e.outcome, e.size = claims.KindUnknown, nil, 0
	}
	o.pendingBytes += e.size
	o.pending[e.attempt] = e
	if e.kind == claims.KindFree {
		o.pendingFrees[e.key] = append(o.pendingFrees[e.key], e)
	}
	go o.deliver(e)
}

func (o *claimOutbox) deliver(e *attemptEnd) {
	for d := deliveryBackoff; ; d = min(2*d, maxDeliveryBackoff) {
		err := o.deliverOnce(e)
		if err == nil {
			break
		}
		o.c.d.log.Debug("end of an attempt not recorded yet", zap.Error(err))
		select {
		case <-o.c.ctx.Done():
			return
		case <-time.After(d/2 + rand.N(d)):
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pendingBytes -= e.size
	delete(o.pending, e.attempt)
	if fs := o.pendingFrees[e.key]; e.kind == claims.KindFree {
		for i := range fs {
			if fs[i] == e {
				fs = append(fs[:i:i], fs[i+1:]...)
				break
			}
		}
		o.pendingFrees[e.key] = fs
		if len(fs) == 0 {
			delete(o.pendingFrees, e.key)
		}
	}
	close(e.done)
}

// deliverOnce delivers the end to the owner, or to its successor.
func (o *claimOutbox) deliverOnce(e *attemptEnd) error {
	c := o.c
	ctx, cancel := context.WithTimeout(c.ctx, 2*claims.ClaimTimeout)
	defer cancel()
	p := claims.PartitionOf(e.key, claims.Partitions)
	req := &claimpb.FinishRequest{Kind: int32(e.kind), Key: e.key, Attempt: e.attempt, Outcome: e.outcome}
	if out := e.outcome; out != nil && len(out.Body) > claims.MaxInlineOutcomeBytes {
		// The body is kept until the end is recorded: in a later generation it is
		// written again, because the first object may be deleted earlier.
		name := claims.OutcomeObject(p, e.key, e.attempt, time.Now())
		if name != e.bodyObject {
			if err := c.d.store.PutObject(ctx, name, out.Body); err != nil {
				return err
			}
			e.bodyObject = name
		}
		req.Outcome = &claimpb.Outcome{Status: out.Status, Fields: out.Fields, Object: name}
	}
	err := errClaimResultUnknown
	for _, m := range c.ownerCandidates(p, "") {
		var reply *claimpb.FinishReply
		if c.isSelf(m) {
			reply, err = (&claimsServer{c}).Finish(ctx, req)
		} else {
			reply, err = c.client(m).Finish(ctx, req)
		}
		if err == nil && reply.Recorded {
			return nil
		}
		if err == nil {
			err = errClaimResultUnknown
		}
	}
	return err
}

// waitForFrees waits until no freed attempt of the key awaits its record.
func (o *claimOutbox) waitForFrees(ctx context.Context, key uint64) bool {
	o.mu.Lock()
	fs := append([]*attemptEnd(nil), o.pendingFrees[key]...)
	o.mu.Unlock()
	for _, e := range fs {
		select {
		case <-e.done:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (o *claimOutbox) flush(ctx context.Context) int {
	o.mu.Lock()
	var es []*attemptEnd
	for _, e := range o.pending {
		es = append(es, e)
	}
	o.mu.Unlock()
	left := 0
	for _, e := range es {
		select {
		case <-e.done:
		case <-ctx.Done():
			left++
		}
	}
	return left
}
