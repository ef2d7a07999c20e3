package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/core/claims"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/result"
)

// claimRetryAfter is the advice with a refused or running claim. The caller API
// adds no jitter of its own, and a second outlasts the first backoffs.
const claimRetryAfter = time.Second

// claimsComponent records requests that are not idempotent. As a serving
// instance it owns the ends of its attempts until they are recorded; as an owner
// it holds the indexes of its partitions.
type claimsComponent struct {
	d      *Daemon
	ctx    context.Context
	cancel context.CancelFunc
	outbox *claimOutbox

	mu         sync.Mutex
	partitions map[int]*partitionRunner

	ownershipMu sync.Mutex
	ownerships  [claims.Partitions]claims.Ownership
}

func newClaimsComponent(d *Daemon) *claimsComponent {
	c := &claimsComponent{d: d, partitions: map[int]*partitionRunner{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.outbox = newClaimOutbox(c)
	srv := claimpb.NewClaimsServer(&claimsServer{c})
	d.peerServer.Mount(srv.PathPrefix(), srv)
	d.stopper.addHandover("claims", func(ctx context.Context) error {
		c.warmSuccessors(ctx)
		return nil
	})
	return c
}

// run ends the component's goroutines when ctx ends.
func (c *claimsComponent) run(ctx context.Context) {
	go c.sweep(c.ctx)
	<-ctx.Done()
	c.cancel()
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:])
}

// ownerCandidates returns the owner of a partition and its successor, as this
// instance sees the fleet. Without a membership it is the instance itself.
func (c *claimsComponent) ownerCandidates(partition int, exclude fleet.InstanceID) []membership.Member {
	members, hashes := eligibleOwners(c.d.members.View(), exclude)
	var out []membership.Member
	for _, i := range fleet.TopRanked(nil, fleet.HashID(claimPartitionName(partition)), hashes, 2) {
		out = append(out, members[i])
	}
	if len(out) == 0 && exclude == "" {
		out = append(out, membership.Member{ID: c.d.set.Instance})
	}
	return out
}

// eligibleOwners returns the members that may own partitions, and their hashes.
func eligibleOwners(v *membership.View, exclude fleet.InstanceID) (members []membership.Member, hashes []uint64) {
	for _, m := range v.Members {
		if m.Eligible && m.ID != exclude {
			members = append(members, m)
			hashes = append(hashes, fleet.HashID(string(m.ID)))
		}
	}
	return members, hashes
}

// observeMembers takes a new view before anything else uses it, so that no lookup is
// answered as the owner before the tenure is known.
func (c *claimsComponent) observeMembers(v *membership.View) {
	members, hashes := eligibleOwners(v, "")
	var incarnation uint64
	if self := v.Find(c.d.set.Instance); self != nil {
		incarnation = self.Incarnation
	}
	now := time.Now()
	var newlyOwned []int
	c.ownershipMu.Lock()
	for p := range c.ownerships {
		best := fleet.TopRanked(nil, fleet.HashID(claimPartitionName(p)), hashes, 1)
		if c.ownerships[p].Observe(len(best) == 0 || c.isSelf(members[best[0]]), incarnation, now) {
			newlyOwned = append(newlyOwned, p)
		}
	}
	c.ownershipMu.Unlock()
	for _, p := range newlyOwned {
		c.mu.Lock()
		r := c.partitions[p]
		c.mu.Unlock()
		if r != nil {
			r.mu.Lock()
			r.owner.WithholdFreeUntil(c.settledAt(p))
			r.mu.Unlock()
		}
	}
}

// settledAt returns the time from which keys of a partition are known to be free.
func (c *claimsComponent) settledAt(partition int) time.Time {
	c.ownershipMu.Lock()
	defer c.ownershipMu.Unlock()
	return c.ownerships[partition].SettledAt()
}

func (c *claimsComponent) isSelf(m membership.Member) bool { return m.ID == c.d.set.Instance }

func (c *claimsComponent) client(m membership.Member) claimpb.Claims {
	return claimpb.NewClaimsProtobufClient("http://"+m.Peer, c.d.peerClient)
}

// Claim implements gateway.Claimer.
func (c *claimsComponent) Claim(ctx context.Context, req *gateway.Request) (gateway.Claim, gateway.Response, error) {
	route, account := "", string(req.Account.Name)
	dated := false
	if req.Route != nil {
		route, dated = req.Route.Name, req.Route.DatedKeys
	}
	if err := claims.CheckKeyDate(req.IdempotencyKey, dated, time.Now()); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, min(claims.ClaimTimeout, time.Until(req.Deadline)))
	defer cancel()
	h := &heldClaim{c: c, key: claims.KeyOf(account, route, req.IdempotencyKey), attempt: randomUint64()}
	// An attempt of the key that was refused here may still have a row. It is
	// freed first; otherwise this call would find the key held by nobody.
	if !c.outbox.waitForFrees(ctx, h.key) {
		metricClaimRefusals.Add(causeEarlierAttemptPending, 1)
		return nil, nil, claimRefusedError("an earlier refused call with the key is not settled yet").WithOutcome(result.Unknown)
	}
	ans := c.requestClaim(ctx, &claimpb.ClaimRequest{
		Key: h.key, Attempt: h.attempt,
		Digest:  claims.DigestOf(account, route, req.IdempotencyKey, req.Method, req.Path, req.Body),
		UntilMs: req.Deadline.Add(claims.HolderMargin).UnixMilli(),
	})
	countClaim(ans)
	if ans.verdict != claims.Granted && ans.ambiguous {
		c.outbox.add(&attemptEnd{kind: claims.KindFree, key: h.key, attempt: h.attempt})
	}
	if ans.verdict == claims.Granted {
		return h, nil, nil
	}
	if stored, err := c.earlierAttemptResult(ctx, ans.verdict, ans.reply); stored != nil || err != nil {
		return nil, stored, err
	}
	refusal := claimRefusedError("the claim could not be recorded in time")
	if ans.verdict != claims.RefusedFree {
		// An earlier call with the key may have run: nobody has read the log since.
		// A caller that used the key for the first time learns that nothing ran.
		refusal = claimRefusedError("this call was not sent; whether an earlier call with its key ran is not known").WithOutcome(result.Unknown)
	}
	return nil, nil, refusal
}

// earlierAttemptResult returns what an earlier attempt of the key means for this call, or
// nothing when the verdict names no earlier attempt.
func (c *claimsComponent) earlierAttemptResult(ctx context.Context, v claims.Verdict, reply *claimpb.ClaimReply) (gateway.Response, error) {
	switch v {
	case claims.Stored:
		return c.storedResponse(ctx, reply)
	case claims.InProgress:
		return nil, result.New(result.InProgress, "a request with this key is running").WithRetryAfter(claimRetryAfter)
	case claims.Unknown:
		return nil, result.New(result.ClaimUnknown, "an earlier request with this key may have run")
	case claims.Conflict:
		return nil, result.New(result.IdempotencyConflict, "the key was used with another method, path or body")
	}
	return nil, nil
}

// Lookup implements gateway.Claimer. Only the owner is asked: its successor
// cannot see the claims that the owner is writing.
func (c *claimsComponent) Lookup(ctx context.Context, req *gateway.Request) (gateway.Response, bool, error) {
	route, account := "", string(req.Account.Name)
	dated := false
	if req.Route != nil {
		route, dated = req.Route.Name, req.Route.DatedKeys
	}
	if err := claims.CheckKeyDate(req.IdempotencyKey, dated, time.Now()); err != nil {
		return nil, true, err
	}
	wait := min(claims.ClaimTimeout, time.Until(req.Deadline))
	if wait <= 0 {
		return nil, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	key := claims.KeyOf(account, route, req.IdempotencyKey)
	ask := &claimpb.LookupRequest{
		Key: key, Digest: claims.DigestOf(account, route, req.IdempotencyKey, req.Method, req.Path, req.Body),
		WaitMs: max(1, wait.Milliseconds()),
	}
	owner := c.ownerCandidates(claims.PartitionOf(key, claims.Partitions), "")[0]
	var reply *claimpb.ClaimReply
	var err error
	if c.isSelf(owner) {
		reply, err = (&claimsServer{c}).Lookup(ctx, ask)
	} else {
		reply, err = c.client(owner).Lookup(ctx, ask)
	}
	if err != nil {
		metricClaimLookups.Add("failed", 1)
		c.d.log.Debug("state of a key not found out", zap.Error(err))
		return nil, false, nil
	}
	v := claims.Verdict(reply.Verdict)
	metricClaimLookups.Add(v.String(), 1)
	ans, err := c.earlierAttemptResult(ctx, v, reply)
	return ans, v == claims.Free, err
}

func claimRefusedError(why string) *result.Error {
	return result.New(result.StoreUnavailable, "%s", why).WithRetryAfter(claimRetryAfter)
}

// claimAnswer is what the owners said. It is ambiguous when a row of the claim
// may exist or appear although the verdict does not say so.
type claimAnswer struct {
	verdict   claims.Verdict
	reply     *claimpb.ClaimReply
	ambiguous bool
}

// requestClaim asks the owner, and its successor when the owner gives no answer.
func (c *claimsComponent) requestClaim(ctx context.Context, req *claimpb.ClaimRequest) claimAnswer {
	out := claimAnswer{verdict: claims.Refused}
	for i, m := range c.ownerCandidates(claims.PartitionOf(req.Key, claims.Partitions), "") {
		deadline, _ := ctx.Deadline()
		wait := time.Until(deadline)
		if i == 0 {
			wait = wait * 3 / 5 // leaves time for the successor
		}
		if wait <= 0 {
			break
		}
		req.WaitMs = max(1, wait.Milliseconds())
		reply, err := c.requestClaimFrom(ctx, m, req, wait)
		if err != nil {
			out.ambiguous = true
			continue
		}
		out.verdict, out.reply = claims.Verdict(reply.Verdict), reply
		return out
	}
	return out
}

func (c *claimsComponent) requestClaimFrom(ctx context.Context, m membership.Member, req *claimpb.ClaimRequest, wait time.Duration) (*claimpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if c.isSelf(m) {
		return (&claimsServer{c}).Claim(ctx, req)
	}
	return c.client(m).Claim(ctx, req)
}

func (c *claimsComponent) storedResponse(ctx context.Context, reply *claimpb.ClaimReply) (gateway.Response, error) {
	if reply.Outcome == nil {
		return nil, result.New(result.Code(reply.Code), "%s", reply.Message).WithOutcome(result.Unknown)
	}
	o := reply.Outcome
	if o.Object != "" {
		body, err := c.d.store.GetObject(ctx, o.Object)
		if err != nil {
			return nil, result.Wrap(result.StoreUnavailable, err, "stored outcome cannot be read").WithOutcome(result.Unknown)
		}
		o.Body = body
	}
	fields := make([]gateway.Field, len(o.Fields))
	for i, f := range o.Fields {
		fields[i] = gateway.Field{Name: f.Name, Value: f.Value}
	}
	return gateway.NewStoredResponse(int(o.Status), fields, o.Body), nil
}

// heldClaim is a claim held by a request of this instance.
type heldClaim struct {
	c            *claimsComponent
	key, attempt uint64
}

// Finish implements gateway.Claim. An answer is passed on without waiting for
// its record: the key is held either way. A freed key is waited for, so that the
// caller can repeat the call at once.
func (h *heldClaim) Finish(status int, fields []gateway.Field, body []byte, err error) {
	e := &attemptEnd{kind: claims.KindOutcome, key: h.key, attempt: h.attempt}
	switch {
	case err != nil && result.As(err).Outcome == result.NotRun:
		e.kind = claims.KindFree
	case err != nil:
		e.kind = claims.KindUnknown
	default:
		e.outcome = &claimpb.Outcome{Status: int32(status), Body: body}
		for _, f := range fields {
			e.outcome.Fields = append(e.outcome.Fields, &claimpb.Field{Name: f.Name, Value: f.Value})
		}
	}
	h.c.outbox.add(e)
	if e.kind == claims.KindFree {
		ctx, cancel := context.WithTimeout(h.c.ctx, claimRetryAfter)
		defer cancel()
		h.c.outbox.waitForFrees(ctx, h.key)
	}
}

// warmSuccessors prepares the next owners of this instance's partitions, so that a
// planned stop costs them no read of the log. It is called before the instance
// marks itself leaving; flush follows when no request runs any more.
func (c *claimsComponent) warmSuccessors(ctx context.Context) {
	c.mu.Lock()
	var loaded []int
	for p := range c.partitions {
		loaded = append(loaded, p)
	}
	c.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range loaded {
		next := c.ownerCandidates(p, c.d.set.Instance)
		if len(next) == 0 {
			continue
		}
		wg.Go(func() { _, _ = c.client(next[0]).Warm(ctx, &claimpb.WarmRequest{Partition: int32(p)}) })
	}
	wg.Wait()
}

// flush waits until the ends of all attempts are recorded. It returns how many
// are not when ctx ends; their keys then count as unknown.
func (c *claimsComponent) flush(ctx context.Context) int { return c.outbox.flush(ctx) }
