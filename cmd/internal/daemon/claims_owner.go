package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/core/claims"
	"cyclamenhitch/core/result"
)

// indexIdleTimeout is how long an index is kept after its last command when another
// instance owns the partition.
const indexIdleTimeout = 2 * time.Minute

// errClaimResultUnknown says that a row of the command may exist or appear.
var errClaimResultUnknown = errors.New("the fate of the write is not known")

func claimPartitionName(p int) string { return fmt.Sprintf("claims/%03d", p) }

// partitionRunner drives the owner of one partition. mu guards owner and waiters; it
// is not held during store calls.
type partitionRunner struct {
	c         *claimsComponent
	partition int
	wake      chan struct{}

	mu       sync.Mutex
	owner    *claims.Owner
	waiters  map[uint64]chan claims.Result
	nextID   uint64
	lastUsed time.Time
}

func (c *claimsComponent) runner(partition int) *partitionRunner {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.partitions[partition]
	if r == nil {
		r = &partitionRunner{c: c, partition: partition, wake: make(chan struct{}, 1), waiters: map[uint64]chan claims.Result{}}
		r.owner = r.newOwner()
		c.partitions[partition] = r
		go r.run(c.ctx)
	}
	return r
}

func (r *partitionRunner) newOwner() *claims.Owner {
	o := claims.NewOwner(claims.Config{
		Partition: r.partition, Rate: float64(claims.WritesPerSecond) / claims.Partitions,
		NewNonce: newID, Rand: rand.New(rand.NewPCG(randomUint64(), randomUint64())),
	})
	o.WithholdFreeUntil(r.c.settledAt(r.partition))
	return o
}

func (r *partitionRunner) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		op, wait, rs := r.owner.Next(time.Now())
		r.deliver(rs)
		r.mu.Unlock()
		if op != nil {
			rep := claims.Execute(ctx, r.c.d.store, r.c.d.store, *op)
			countRow(op, rep)
			r.mu.Lock()
			r.deliver(r.owner.Reply(op, rep, time.Now()))
			r.mu.Unlock()
			continue
		}
		if wait == 0 || wait > indexIdleTimeout {
			wait = indexIdleTimeout
		}
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(wait):
			r.dropIdleIndex()
		}
	}
}

// dropIdleIndex frees the index when another instance has become the owner.
func (r *partitionRunner) dropIdleIndex() {
	candidates := r.c.ownerCandidates(r.partition, "")
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.c.isSelf(candidates[0]) && r.owner.Idle() && time.Since(r.lastUsed) > indexIdleTimeout {
		r.owner = r.newOwner()
	}
}

// deliver hands results to their waiters; mu is held.
func (r *partitionRunner) deliver(rs []claims.Result) {
	for _, res := range rs {
		if ch := r.waiters[res.ID]; ch != nil {
			ch <- res
			delete(r.waiters, res.ID)
		}
	}
}

func (r *partitionRunner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// submit submits one record and waits for its result until ctx ends.
func (r *partitionRunner) submit(ctx context.Context, rec claims.Record) (claims.Result, error) {
	ch := make(chan claims.Result, 1)
	expires, _ := ctx.Deadline()
	r.mu.Lock()
	now := time.Now()
	r.nextID++
	id := r.nextID
	r.lastUsed = now
	if res := r.owner.Submit(claims.Command{ID: id, Rec: rec, Expires: expires}, now); res != nil {
		r.mu.Unlock()
		return *res, nil
	}
	r.waiters[id] = ch
	r.mu.Unlock()
	r.wakeUp()
	select {
	case res := <-ch:
		return res, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, id)
	select {
	case res := <-ch:
		return res, nil
	default:
	}
	if res, ok := r.owner.Withdraw(id, time.Now()); ok {
		return res, nil
	}
	return claims.Result{}, errClaimResultUnknown
}

// warm reads the log and waits until the index is ready.
func (r *partitionRunner) warm(ctx context.Context) bool {
	for {
		r.mu.Lock()
		r.owner.StartLoading()
		r.lastUsed = time.Now()
		ready := r.owner.Ready()
		r.mu.Unlock()
		if ready || ctx.Err() != nil {
			return ready
		}
		r.wakeUp()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// claimsServer serves the calls of serving instances. It takes commands for any
// partition: ownership is an optimisation, and the log decides.
type claimsServer struct{ c *claimsComponent }

// warmTimeout bounds a handover call. A partition at the target size is read in
// a few seconds.
const warmTimeout = 20 * time.Second

// Claim implements claimpb.Claims.
func (s *claimsServer) Claim(ctx context.Context, req *claimpb.ClaimRequest) (*claimpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(claims.ClaimTimeout, time.Duration(req.WaitMs)*time.Millisecond))
	defer cancel()
	p := claims.PartitionOf(req.Key, claims.Partitions)
	res, err := s.c.runner(p).submit(ctx, claims.Record{
		Kind: claims.KindClaim, Key: req.Key, Digest: req.Digest, Attempt: req.Attempt, Until: req.UntilMs,
	})
	if err != nil {
		return nil, err
	}
	return s.reply(ctx, p, req.Key, s.withholdFreeUnlessOwner(p, res))
}

// withholdFreeUnlessOwner takes back the answer that a key is free unless this instance owns the
// partition in its own view: claims of the key may wait at another one.
func (s *claimsServer) withholdFreeUnlessOwner(p int, res claims.Result) claims.Result {
	free := res.Verdict == claims.Free || res.Verdict == claims.RefusedFree
	if free && !s.c.isSelf(s.c.ownerCandidates(p, "")[0]) {
		res.Verdict = claims.Refused
	}
	return res
}

// Lookup implements claimpb.Claims. An instance that does not own the partition
// in its own view refuses, because claims of the key may wait at another one.
func (s *claimsServer) Lookup(ctx context.Context, req *claimpb.LookupRequest) (*claimpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(claims.ClaimTimeout, time.Duration(req.WaitMs)*time.Millisecond))
	defer cancel()
	p := claims.PartitionOf(req.Key, claims.Partitions)
	if !s.c.isSelf(s.c.ownerCandidates(p, "")[0]) {
		return &claimpb.ClaimReply{Verdict: int32(claims.Refused)}, nil
	}
	res, err := s.c.runner(p).submit(ctx, claims.Record{Kind: claims.KindLookup, Key: req.Key, Digest: req.Digest})
	if err != nil {
		return nil, err
	}
	return s.reply(ctx, p, req.Key, s.withholdFreeUnlessOwner(p, res))
}

// reply adds the outcome to a result that names one.
func (s *claimsServer) reply(ctx context.Context, p int, key uint64, res claims.Result) (*claimpb.ClaimReply, error) {
	reply := &claimpb.ClaimReply{Verdict: int32(res.Verdict)}
	if res.Verdict != claims.Stored {
		return reply, nil
	}
	out, err := claims.ReadOutcome(ctx, s.c.d.store, p, res.Seq, key)
	if err != nil {
		e := result.As(err)
		reply.Code, reply.Message = int32(e.Code), e.Message
		return reply, nil
	}
	reply.Outcome = &claimpb.Outcome{Status: int32(out.Status), Body: out.Body, Object: out.Object}
	for _, f := range out.Fields {
		reply.Outcome.Fields = append(reply.Outcome.Fields, &claimpb.Field{Name: f.Name, Value: f.Value})
	}
	return reply, nil
}

// Finish implements claimpb.Claims.
func (s *claimsServer) Finish(ctx context.Context, req *claimpb.FinishRequest) (*claimpb.FinishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claims.ClaimTimeout)
	defer cancel()
	rec := claims.Record{Kind: claims.Kind(req.Kind), Key: req.Key, Attempt: req.Attempt}
	if o := req.Outcome; o != nil {
		rec.Outcome = claims.Outcome{Status: int(o.Status), Body: o.Body, Object: o.Object}
		for _, f := range o.Fields {
			rec.Outcome.Fields = append(rec.Outcome.Fields, claims.Field{Name: f.Name, Value: f.Value})
		}
	}
	if rec.Kind != claims.KindOutcome && rec.Kind != claims.KindFree && rec.Kind != claims.KindUnknown {
		return nil, result.New(result.BadRequest, "kind %d does not end an attempt", req.Kind)
	}
	res, err := s.c.runner(claims.PartitionOf(req.Key, claims.Partitions)).submit(ctx, rec)
	if err != nil {
		return nil, err
	}
	return &claimpb.FinishReply{Recorded: res.Verdict == claims.Recorded}, nil
}

// Warm implements claimpb.Claims.
func (s *claimsServer) Warm(ctx context.Context, req *claimpb.WarmRequest) (*claimpb.WarmReply, error) {
	if req.Partition < 0 || req.Partition >= claims.Partitions {
		return nil, result.New(result.BadRequest, "no partition %d", req.Partition)
	}
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	return &claimpb.WarmReply{Ready: s.c.runner(int(req.Partition)).warm(ctx)}, nil
}
