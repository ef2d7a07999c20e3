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

// Limits of the outbox. Above maxPendingBytes, an outcome is dropped and its key is
// recorded as unknown. Above maxPendingEnds, that record is dropped too: the key stays
// in progress until the claim expires, and is unknown after that.
const (
	maxPendingEnds  = 8192
	maxPendingBytes = 32 << 20
)

// Backoff between attempts to deliver the end of an attempt.
const (
	deliveryBackoff    = 100 * time.Millisecond
	maxDeliveryBackoff = 5 * time.Second
)

// attemptEnd is the end of an attempt that is not recorded yet.
type attemptEnd struct {
	kind         claims.Kind
	key, attempt uint64
	outcome      *claimpb.Outcome
	bodyObject   string // object that contains the body, once it is written
	size         int
	done         chan struct{}
}

// claimOutbox delivers ends of attempts until they are recorded. Only the serving
// instance knows them, so it keeps each one until then or until the process exits.
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
		o.c.d.log.Warn("claim outbox is full; dropped the end of an attempt, so its key becomes unknown")
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
		o.c.d.log.Debug("failed to record the end of an attempt; retrying", zap.Error(err))
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
	if frees := o.pendingFrees[e.key]; e.kind == claims.KindFree {
		for i := range frees {
			if frees[i] == e {
				frees = append(frees[:i:i], frees[i+1:]...)
				break
			}
		}
		o.pendingFrees[e.key] = frees
		if len(frees) == 0 {
			delete(o.pendingFrees, e.key)
		}
	}
	close(e.done)
}

// deliverOnce sends the end to the owner, or to its successor if that fails.
func (o *claimOutbox) deliverOnce(e *attemptEnd) error {
	c := o.c
	ctx, cancel := context.WithTimeout(c.ctx, 2*claims.ClaimTimeout)
	defer cancel()
	p := claims.PartitionOf(e.key, claims.Partitions)
	req := &claimpb.FinishRequest{Kind: int32(e.kind), Key: e.key, Attempt: e.attempt, Outcome: e.outcome}
	if out := e.outcome; out != nil && len(out.Body) > claims.MaxInlineOutcomeBytes {
		// The body is kept until the end is recorded. If the object's name changes with
		// the next generation, the body is written again, because the first object may
		// be deleted earlier.
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

// waitForFrees waits until all freed attempts with the key are recorded. It returns
// false if ctx ends first.
func (o *claimOutbox) waitForFrees(ctx context.Context, key uint64) bool {
	o.mu.Lock()
	frees := append([]*attemptEnd(nil), o.pendingFrees[key]...)
	o.mu.Unlock()
	for _, e := range frees {
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
	var ends []*attemptEnd
	for _, e := range o.pending {
		ends = append(ends, e)
	}
	o.mu.Unlock()
	unrecorded := 0
	for _, e := range ends {
		select {
		case <-e.done:
		case <-ctx.Done():
			unrecorded++
		}
	}
	return unrecorded
}
