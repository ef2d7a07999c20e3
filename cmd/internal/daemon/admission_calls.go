package daemon

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

// client returns the RPC client of an instance.
func (c *admissionComponent) client(m *membership.Member) permitpb.Permits {
	if p, ok := c.clients.Load(m.Peer); ok {
		return p.(permitpb.Permits)
	}
	p, _ := c.clients.LoadOrStore(m.Peer, permitpb.NewPermitsProtobufClient("http://"+m.Peer, c.d.peerClient))
	return p.(permitpb.Permits)
}

// requestPermit requests a permit from the admitters of one engine. A recent refusal
// of another instance for the same account is reused instead. warm states that the
// chat's prefix is expected in the engine's cache.
func (c *admissionComponent) requestPermit(ctx context.Context, st *admissionState, a *admission.PermitRequest, warm bool) admission.Verdict {
	if st.table.Primary(a.Server, c.self) {
		return c.requestFromAdmitters(ctx, st, a)
	}
	if v, ok := c.refusals.Lookup(time.Now(), a, warm); ok {
		return v
	}
	v := c.requestFromAdmitters(ctx, st, a)
	c.refusals.Record(time.Now(), a, warm, v)
	return v
}

// requestFromAdmitters asks the admitters of one engine, the primary first. If an
// admitter does not hold the role, the next one is asked.
func (c *admissionComponent) requestFromAdmitters(ctx context.Context, st *admissionState, a *admission.PermitRequest) admission.Verdict {
	v := admission.NotAdmitter
	for i, m := range st.table.Of(a.Server) {
		if i == maxAdmittersAsked {
			break
		}
		if m.ID == c.self {
			v = c.admitLocally(st, a)
		} else {
			v = c.requestFromPeer(ctx, m, a)
		}
		if v == admission.Granted {
			c.heldPermits.Add(a.Server, m.ID, admission.HeldPermit{Holder: c.self, ID: a.ID, Account: a.Account, Weight: a.Weight, Tokens: a.Tokens}, time.Now())
		}
		if v != admission.NotAdmitter && v != admission.HandoverPending {
			return v
		}
	}
	return v
}

func (c *admissionComponent) requestFromPeer(ctx context.Context, m *membership.Member, a *admission.PermitRequest) admission.Verdict {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	r, err := c.client(m).Ask(ctx, &permitpb.AskRequest{
		Server: string(a.Server), Holder: string(a.Holder), Id: a.ID, Account: string(a.Account),
		Weight: a.Weight, Priority: int32(a.Priority), Chat: uint64(a.Chat), Prompt: int32(a.Prompt), Output: int32(a.Output), Relaxed: a.Relaxed,
	})
	if err != nil {
		// If the admitter has failed, the next one holds the role. The admitter may
		// also have granted the permit before the error, so the permit is released.
		c.heldPermits.End(a.Server, a.ID)
		return admission.NotAdmitter
	}
	a.Tokens = r.Tokens
	return admission.Verdict(r.Verdict)
}

// admitLocally requests a permit from this instance's ledger. The admitter estimates
// the load because it knows all chats of the engine, including those that other
// instances serve.
func (c *admissionComponent) admitLocally(st *admissionState, a *admission.PermitRequest) admission.Verdict {
	now := time.Now()
	cached, used := c.recent.LastUse(a.Chat, a.Server, now)
	c.ledger.Estimate(a, cached, used)
	v := c.ledger.Admit(now, a)
	if v == admission.Granted {
		c.recent.Record(a.Chat, a.Server, a.Prompt+a.Output, now)
	}
	c.loadChanged(st, a.Server, a.Tokens)
	return v
}

// lightLoadRequests is the mean number of requests per engine below which a single
// request changes the pool mean noticeably. Changes are then sent at once: with the
// regular intervals, two engines with a few short requests each were both over the
// load bound.
const lightLoadRequests = 8

// isLightlyLoaded reports whether the mean load of the pool is below
// lightLoadRequests requests of the given number of tokens.
func (c *admissionComponent) isLightlyLoaded(pool fleet.PoolID, tokens int64) bool {
	return c.ledger.Mean(time.Now(), pool) < float64(lightLoadRequests*tokens)
}

// loadChanged starts an exchange or sync at once after a request of a lightly loaded
// pool begins or ends on this instance.
func (c *admissionComponent) loadChanged(st *admissionState, s fleet.ServerID, tokens int64) {
	srv := st.view.Index.Server(s)
	if srv == nil || len(st.table.View.Members) < 2 || !c.isLightlyLoaded(srv.Pool, tokens) {
		return
	}
	if st.table.Primary(s, c.self) {
		c.requestExchange()
	} else {
		wakeLoop(c.syncWake)
	}
}

// acquireSlice takes one request from this instance's slice of the account's
// concurrency limit. If the slice is used up, it asks the owner for a larger one.
func (c *admissionComponent) acquireSlice(ctx context.Context, st *admissionState, acc *manifest.Account) bool {
	ok, running, want := c.slices.Acquire(time.Now(), acc.Name)
	if ok {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	if !c.renewSlices(ctx, st, []admission.SliceUse{{Account: acc.Name, Running: running, Want: want}}) {
		return false
	}
	ok, _, _ = c.slices.Acquire(time.Now(), acc.Name)
	return ok
}

// renewSlices requests slices from the owners of the accounts. It returns false if
// an owner did not answer.
func (c *admissionComponent) renewSlices(ctx context.Context, st *admissionState, uses []admission.SliceUse) bool {
	byOwner := map[*membership.Member][]admission.SliceUse{}
	for _, u := range uses {
		if m := st.table.AccountOwner(u.Account); m != nil {
			byOwner[m] = append(byOwner[m], u)
		}
	}
	allRenewed := true
	for m, ownerUses := range byOwner {
		sent := time.Now()
		req := &permitpb.SliceRequest{Holder: string(c.self)}
		for _, u := range ownerUses {
			req.Uses = append(req.Uses, &permitpb.AccountUse{Account: string(u.Account), Running: int32(u.Running), Want: int32(u.Want)})
		}
		var r *permitpb.SliceReply
		var err error
		if m.ID == c.self {
			r, err = (&permitServer{c}).Slice(ctx, req)
		} else {
			r, err = c.client(m).Slice(ctx, req)
		}
		if err != nil {
			allRenewed = false
			continue
		}
		for _, g := range r.Grants {
			if g.Owner {
				c.slices.Granted(sent, fleet.ClientAccountID(g.Account), int(g.Granted))
			}
		}
	}
	return allRenewed
}

// handoverAttempts and handoverTimeout limit the sending of ledgers. If all attempts
// fail, the next primary admitter waits for HandoverWait before it admits.
const (
	handoverAttempts = 3
	handoverTimeout  = time.Second
)

// sendLedgers sends ledgers and the prefix records of their engines to the primary
// admitters in table t.
func (c *admissionComponent) sendLedgers(t *admission.Table, snaps []admission.Snapshot) {
	byMember := map[*membership.Member]*permitpb.ImportRequest{}
	copies := admission.FullCopies(time.Now(), snaps, c.recent)
	for _, s := range snaps {
		if a := t.Of(s.Server); len(a) > 0 && a[0].ID != c.self {
			r := byMember[a[0]]
			if r == nil {
				r = &permitpb.ImportRequest{}
				byMember[a[0]] = r
			}
			r.Ledgers = append(r.Ledgers, encodeLedger(s))
			r.Copies = append(r.Copies, permitpb.EncodeCopies([]admission.Copy{copies[s.Server]})...)
		}
	}
	for m, req := range byMember {
		var err error
		for range handoverAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
			_, err = c.client(m).Import(ctx, req)
			cancel()
			if err == nil {
				break
			}
		}
		if err != nil {
			c.d.log.Warn("failed to hand over admission ledgers", zap.String("to", string(m.ID)), zap.Error(err))
		}
	}
}

// handover ends all roles of the instance before a planned stop and sends the
// ledgers to the next primary admitters. The instance continues to serve requests
// with permits from them.
func (c *admissionComponent) handover() {
	c.stopping.Store(true)
	c.current()
}

// withoutMember returns the view without one member.
func withoutMember(v *membership.View, id fleet.InstanceID) *membership.View {
	rest := &membership.View{ChangedAt: v.ChangedAt}
	for _, m := range v.Members {
		if m.ID != id {
			rest.Members = append(rest.Members, m)
		}
	}
	return rest
}

// hasEligibleMember reports whether a member of the region may hold roles.
func hasEligibleMember(v *membership.View, region fleet.RegionID) bool {
	return slices.ContainsFunc(v.Members, func(m membership.Member) bool {
		return m.Region == region && m.Eligible && !m.Leaving
	})
}

func encodeLedger(s admission.Snapshot) *permitpb.Ledger {
	l := &permitpb.Ledger{Server: string(s.Server), Incarnation: s.Incarnation, Bias: s.Bias, ColdAgeMs: -1}
	if s.ColdAge >= 0 {
		l.ColdAgeMs = s.ColdAge.Milliseconds()
	}
	l.Held = encodeHeld(s.Permits, true)
	return l
}

func encodeHeld(ps []admission.HeldPermit, holder bool) []*permitpb.Held {
	out := make([]*permitpb.Held, 0, len(ps))
	for _, p := range ps {
		h := &permitpb.Held{Id: p.ID, Account: string(p.Account), Weight: p.Weight, Tokens: p.Tokens}
		if holder {
			h.Holder = string(p.Holder)
		}
		out = append(out, h)
	}
	return out
}

func decodeHeld(hs []*permitpb.Held) []admission.HeldPermit {
	out := make([]admission.HeldPermit, 0, len(hs))
	for _, h := range hs {
		out = append(out, admission.HeldPermit{
			Holder: fleet.InstanceID(h.Holder), ID: h.Id, Account: fleet.ClientAccountID(h.Account), Weight: h.Weight, Tokens: h.Tokens,
		})
	}
	return out
}
