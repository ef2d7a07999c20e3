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

// client returns the calls to an instance.
func (c *admissionComponent) client(m *membership.Member) permitpb.Permits {
	if p, ok := c.clients.Load(m.Peer); ok {
		return p.(permitpb.Permits)
	}
	p, _ := c.clients.LoadOrStore(m.Peer, permitpb.NewPermitsProtobufClient("http://"+m.Peer, c.d.peerClient))
	return p.(permitpb.Permits)
}

// requestPermit asks the admitters of one engine, unless another one refused the account
// just now. warm says that the engine is expected to hold the chat's prefix.
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

// requestFromAdmitters asks the admitters of one engine, the primary first. An admitter without
// the role passes the ask on to the next.
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
		// The admitter may be dead; the next one holds the role then. It may also
		// have granted, so that the permit must be freed.
		c.heldPermits.End(a.Server, a.ID)
		return admission.NotAdmitter
	}
	a.Tokens = r.Tokens
	return admission.Verdict(r.Verdict)
}

// admitLocally asks this instance's ledger. The admitter estimates the load,
// because it sees all chats of the engine, also those served elsewhere.
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

// lightLoadRequests is the number of requests at the pool mean below which one request
// changes the mean noticeably. Changes are then told at once: with the usual
// intervals, two engines with a few short requests were both over the bound.
const lightLoadRequests = 8

// isLightlyLoaded reports whether the pool of the server carries little load, measured in
// requests of the given tokens.
func (c *admissionComponent) isLightlyLoaded(pool fleet.PoolID, tokens int64) bool {
	return c.ledger.Mean(time.Now(), pool) < float64(lightLoadRequests*tokens)
}

// loadChanged tells a light pool about a request that began or ended here.
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

// acquireSlice takes one request from the account's slice and renews it if needed.
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

// renewSlices asks the owners of the accounts for slices.
func (c *admissionComponent) renewSlices(ctx context.Context, st *admissionState, uses []admission.SliceUse) bool {
	byOwner := map[*membership.Member][]admission.SliceUse{}
	for _, u := range uses {
		if m := st.table.AccountOwner(u.Account); m != nil {
			byOwner[m] = append(byOwner[m], u)
		}
	}
	all := true
	for m, us := range byOwner {
		sent := time.Now()
		req := &permitpb.SliceRequest{Holder: string(c.self)}
		for _, u := range us {
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
			all = false
			continue
		}
		for _, g := range r.Grants {
			if g.Owner {
				c.slices.Granted(sent, fleet.ClientAccountID(g.Account), int(g.Granted))
			}
		}
	}
	return all
}

// handoverTries and handoverTimeout bound sending ledgers; without them the
// next primary only waits longer.
const (
	handoverAttempts = 3
	handoverTimeout  = time.Second
)

// sendLedgers hands ledgers, with the prefix records of their engines, to the
// primaries of table t.
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
			c.d.log.Warn("ledgers cannot be handed over", zap.String("to", string(m.ID)), zap.Error(err))
		}
	}
}

// handover ends all roles of the instance before a planned stop and sends the
// ledgers to the instances that take over. The instance goes on serving with
// permits of others.
func (c *admissionComponent) handover() {
	c.stopping.Store(true)
	c.current()
}

// withoutMember returns the members except one.
func withoutMember(v *membership.View, id fleet.InstanceID) *membership.View {
	rest := &membership.View{ChangedAt: v.ChangedAt}
	for _, m := range v.Members {
		if m.ID != id {
			rest.Members = append(rest.Members, m)
		}
	}
	return rest
}

// hasEligibleMember reports whether some member of the region may hold roles.
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
