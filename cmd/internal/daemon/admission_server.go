package daemon

import (
	"context"
	"time"

	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
)

// permitServer serves the calls of other instances. It implements
// permitpb.Permits.
type permitServer struct{ c *admissionComponent }

// Ask implements permitpb.Permits.
func (s *permitServer) Ask(_ context.Context, r *permitpb.AskRequest) (*permitpb.AskReply, error) {
	a := admission.PermitRequest{
		Server: fleet.ServerID(r.Server), Holder: fleet.InstanceID(r.Holder), ID: r.Id,
		Account: fleet.ClientAccountID(r.Account), Weight: r.Weight, Priority: int(r.Priority),
		Chat: fleet.ChatKey(r.Chat), Prompt: int(r.Prompt), Output: int(r.Output), Relaxed: r.Relaxed,
	}
	st := s.c.current()
	if st == nil || !eligible(st.view, st.table.Index, a.Server) {
		return &permitpb.AskReply{Verdict: uint32(admission.Unavailable)}, nil
	}
	v := s.c.admitLocally(st, &a)
	return &permitpb.AskReply{Verdict: uint32(v), Tokens: a.Tokens}, nil
}

// Sync implements permitpb.Permits.
func (s *permitServer) Sync(_ context.Context, r *permitpb.SyncRequest) (*permitpb.SyncReply, error) {
	now := time.Now()
	for _, l := range r.Lists {
		s.c.applyPermitUpdate(now, fleet.InstanceID(r.Holder), admission.PermitUpdate{
			Server: fleet.ServerID(l.Server), Ended: l.Ended, Full: l.Full, Held: decodeHeld(l.Held),
		})
	}
	for _, f := range r.Failed {
		s.c.ledger.Failed(now, fleet.ServerID(f))
		wakeLoop(s.c.pollWake)
	}
	s.c.applyCopies(now, r.Copies)
	return &permitpb.SyncReply{Supports: s.supports(r.Holder)}, nil
}

// Exchange implements permitpb.Permits.
func (s *permitServer) Exchange(_ context.Context, r *permitpb.ExchangeRequest) (*permitpb.ExchangeReply, error) {
	now := time.Now()
	st := s.c.current()
	out := &permitpb.ExchangeReply{Supports: s.supports(r.Holder)}
	for _, p := range r.Pools {
		var loads []admission.EngineLoad
		for _, l := range p.Loads {
			id := fleet.ServerID(l.Server)
			if st != nil && eligible(st.view, st.table.Index, id) {
				loads = append(loads, admission.EngineLoad{Server: id, Load: l.Load, Weight: l.Weight})
			}
		}
		t := s.c.totals.Exchange(now, fleet.PoolID(p.Pool), loads)
		t.Waiting = s.c.totals.Waiting(now, fleet.PoolID(p.Pool), fleet.InstanceID(r.Holder), p.Waiting)
		out.Totals = append(out.Totals, &permitpb.PoolTotal{Pool: p.Pool, Load: t.Load, Weight: t.Weight, Waiting: t.Waiting})
	}
	return out, nil
}

// Slice implements permitpb.Permits.
func (s *permitServer) Slice(_ context.Context, r *permitpb.SliceRequest) (*permitpb.SliceReply, error) {
	now := time.Now()
	x := s.c.d.config.Index()
	out := &permitpb.SliceReply{}
	for _, u := range r.Uses {
		id := fleet.ClientAccountID(u.Account)
		g := &permitpb.AccountGrant{Account: u.Account}
		if a := x.Account(id); a != nil {
			n, owner := s.c.owner.Grant(now, id, a.MaxConcurrent, fleet.InstanceID(r.Holder), int(u.Running), int(u.Want))
			g.Granted, g.Owner = int32(n), owner
		}
		out.Grants = append(out.Grants, g)
	}
	return out, nil
}

// Import implements permitpb.Permits.
func (s *permitServer) Import(_ context.Context, r *permitpb.ImportRequest) (*permitpb.ImportReply, error) {
	now := time.Now()
	for _, l := range r.Ledgers {
		snap := admission.Snapshot{
			Server: fleet.ServerID(l.Server), Incarnation: l.Incarnation, Bias: l.Bias,
			ColdAge: time.Duration(l.ColdAgeMs) * time.Millisecond, Permits: decodeHeld(l.Held),
		}
		s.c.ledger.Import(now, snap)
	}
	s.c.applyCopies(now, r.Copies)
	return &permitpb.ImportReply{}, nil
}

func (c *admissionComponent) applyCopies(now time.Time, cs []*permitpb.Copy) {
	for _, k := range permitpb.DecodeCopies(cs) {
		c.ledger.ApplyCopy(now, k, c.recent)
	}
}

func (s *permitServer) supports(holder string) bool {
	s.c.current() // the members as seen now
	return s.c.takeover.Supports(time.Now(), fleet.InstanceID(holder))
}

// Confirm implements permitpb.Permits.
func (s *permitServer) Confirm(_ context.Context, r *permitpb.ConfirmRequest) (*permitpb.ConfirmReply, error) {
	s.c.current()
	q := admission.Query{Holder: fleet.InstanceID(r.Holder), Digest: r.Digest}
	for _, id := range r.Servers {
		q.Servers = append(q.Servers, fleet.ServerID(id))
	}
	a := s.c.takeover.Answer(time.Now(), q, s.c.heldPermits)
	out := &permitpb.ConfirmReply{Supports: a.Supports, Confirmed: a.Confirmed}
	for id, held := range a.Held {
		out.Lists = append(out.Lists, &permitpb.ServerList{Server: string(id), Held: encodeHeld(held, false)})
	}
	return out, nil
}
