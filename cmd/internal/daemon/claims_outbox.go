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
	maxEnds     = 8192
	maxEndBytes = 32 << 20
)

// Backoff of the delivery of an attempt's end.
const (
	endBackoff    = 100 * time.Millisecond
	endBackoffMax = 5 * time.Second
)

// claimEnd is the end of an attempt that is not recorded yet.
type claimEnd struct {
	kind         claims.Kind
	key, attempt uint64
	outcome      *claimpb.Outcome
	object       string // that holds the body, once written
	size         int
	done         chan struct{}
}

// claimOutbox delivers ends of attempts until they are recorded. Only the
// serving instance knows them, so it must not forget one while it lives.
type claimOutbox struct {
	c *claimsComponent

	mu    sync.Mutex
	ends  map[uint64]*claimEnd   // by attempt
	frees map[uint64][]*claimEnd // by key
	bytes int
}

func newClaimOutbox(c *claimsComponent) *claimOutbox {
	return &claimOutbox{c: c, ends: map[uint64]*claimEnd{}, frees: map[uint64][]*claimEnd{}}
}

func (o *claimOutbox) add(e *claimEnd) {
	e.done = make(chan struct{})
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.ends) >= maxEnds {
		o.c.d.log.Warn("end of an attempt dropped, its key becomes unknown")
		return
	}
	if e.outcome != nil {
		e.size = len(e.outcome.Body)
	}
	if o.bytes+e.size > maxEndBytes {
		e.kind, e.outcome, e.size = claims.KindUnknown, nil, 0
	}
	o.bytes += e.size
	o.ends[e.attempt] = e
	if e.kind == claims.KindFree {
		o.frees[e.key] = append(o.frees[e.key], e)
	}
	go o.deliver(e)
}

func (o *claimOutbox) deliver(e *claimEnd) {
	for d := endBackoff; ; d = min(2*d, endBackoffMax) {
		err := o.try(e)
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
	o.bytes -= e.size
	delete(o.ends, e.attempt)
	if fs := o.frees[e.key]; e.kind == claims.KindFree {
		for i := range fs {
			if fs[i] == e {
				fs = append(fs[:i:i], fs[i+1:]...)
				break
			}
		}
		o.frees[e.key] = fs
		if len(fs) == 0 {
			delete(o.frees, e.key)
		}
	}
	close(e.done)
}

// try delivers the end to the owner, or to its successor.
func (o *claimOutbox) try(e *claimEnd) error {
	c := o.c
	ctx, cancel := context.WithTimeout(c.ctx, 2*claims.ClaimTimeout)
	defer cancel()
	p := claims.PartitionOf(e.key, claims.Partitions)
	req := &claimpb.FinishRequest{Kind: int32(e.kind), Key: e.key, Attempt: e.attempt, Outcome: e.outcome}
	if out := e.outcome; out != nil && len(out.Body) > claims.MaxInlineOutcomeBytes {
		// The body is kept until the end is recorded: in a later generation it is
		// written again, because the first object may be deleted earlier.
		name := claims.OutcomeObject(p, e.key, e.attempt, time.Now())
		if name != e.object {
			if err := c.d.store.PutObject(ctx, name, out.Body); err != nil {
				return err
			}
			e.object = name
		}
		req.Outcome = &claimpb.Outcome{Status: out.Status, Fields: out.Fields, Object: name}
	}
	err := errClaimAmbiguous
	for _, m := range c.candidates(p, "") {
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
			err = errClaimAmbiguous
		}
	}
	return err
}

// settled waits until no freed attempt of the key awaits its record.
func (o *claimOutbox) settled(ctx context.Context, key uint64) bool {
	o.mu.Lock()
	fs := append([]*claimEnd(nil), o.frees[key]...)
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
	var es []*claimEnd
	for _, e := range o.ends {
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
