package policy

import (
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// attempt is the placement of one request on an engine.
type attempt struct {
	r         *routers
	in        *instance
	req       *request
	key       fleet.ChatKey
	ranked    []*manifest.Server
	part      int
	ask       admission.PermitRequest
	place     admission.Placement
	totalWait time.Duration
	then      func(*fakeEngine)
}

func (t *attempt) step() {
	r := t.r
	i, v, wait := t.place.Step(len(t.ranked), func(i int, relaxed bool) admission.Verdict {
		t.ask.Server, t.ask.Relaxed = r.part(t.ranked[i].Name, t.part), relaxed
		if !r.net(t.in).view.IsEligible(r.w.index.Server(t.ranked[i].Name)) {
			return admission.Unavailable
		}
		return r.ask(t.in, &t.ask, t.place.Warm && i == 0)
	})
	if wait > 0 && !t.in.down {
		t.totalWait += wait
		r.w.after(wait, t.step)
		return
	}
	r.verdicts[v]++
	r.totalWait += t.totalWait
	if i < 0 {
		t.then(nil)
		return
	}
	t.send(t.ranked[i].Name)
}

func (t *attempt) send(server fleet.ServerID) {
	r, in, a, req := t.r, t.in, t.ask, t.req
	e := r.parts[a.Server]
	if !e.up || r.severed && in.cutOff != r.inCut(e.dc) {
		r.connectionFailed(in, a)
		t.then(nil)
		return
	}
	req.holder = in
	req.finish = func(ok bool) {
		if in.down {
			return
		}
		if !ok {
			r.connectionFailed(in, a)
			in.recent.Forget(t.key)
			return
		}
		in.holds.End(a.Server, a.ID)
		in.ledger.Release(r.w.time(), a.Server, in.id, a.ID)
		in.recent.Record(t.key, server, req.prompt+req.output, r.w.time())
	}
	t.then(e)
}

// connectionFailed releases the permit and records the failure after the
// connection to an engine broke.
func (r *routers) connectionFailed(in *instance, a admission.PermitRequest) {
	in.holds.End(a.Server, a.ID)
	in.ledger.Release(r.w.time(), a.Server, in.id, a.ID)
	in.ledger.Failed(r.w.time(), a.Server)
}

// admit models the daemon's admitLocally.
func (r *routers) admit(in *instance, a *admission.PermitRequest) admission.Verdict {
	now := r.w.time()
	cached, used := in.recent.LastUse(a.Chat, r.parts[a.Server].server.Name, now)
	in.ledger.Estimate(a, cached, used)
	v := in.ledger.Admit(now, a)
	if v == admission.Granted {
		in.recent.Record(a.Chat, r.parts[a.Server].server.Name, a.Prompt+a.Output, now)
	}
	return v
}

func (r *routers) ask(in *instance, a *admission.PermitRequest, warm bool) admission.Verdict {
	here := r.net(in).table.Primary(a.Server, in.id)
	if !here {
		if v, ok := in.refusals.Lookup(r.w.time(), a, warm); ok {
			return v
		}
	}
	v := r.askAdmitters(in, a)
	if !here {
		in.refusals.Record(r.w.time(), a, warm, v)
	}
	return v
}

func (r *routers) askAdmitters(in *instance, a *admission.PermitRequest) admission.Verdict {
	v := admission.NotAdmitter
	for i, m := range r.net(in).table.Of(a.Server) {
		if i == 2 {
			break
		}
		to := r.byID[m.ID]
		if to == in {
			v = r.admit(in, a)
		} else {
			r.remoteCalls++
			r.countBytes("Ask", in, to, 48+len(a.Server)+len(a.Account)+len(a.Holder), 5)
			if r.lost() || !r.reaches(in, to) {
				continue
			}
			v = r.admit(to, a)
			if r.lost() {
				v = admission.NotAdmitter
				in.holds.End(a.Server, a.ID)
			}
		}
		if v == admission.Granted {
			in.holds.Add(a.Server, m.ID, admission.HeldPermit{Holder: in.id, ID: a.ID, Account: a.Account, Weight: a.Weight, Tokens: a.Tokens}, r.w.time())
		}
		if v != admission.NotAdmitter && v != admission.HandoverPending {
			return v
		}
	}
	return v
}
