package hardload

import (
	"slices"
	"time"

	"cyclamenhitch/core/pacing"
	"cyclamenhitch/core/placement"
)

// paced is the product with the mechanism service_pacing.
type paced struct {
	*base
	pool    *pacing.Pool
	waiting []*Request
}

type pacedReport struct {
	loads  any
	demand pacing.Report
	short  bool
}

// Paced returns the policy of the product with pacing.
func Paced(s *Scenario, node Node, _ int) Policy {
	policy := placement.DefaultPolicy()
	policy.Enabled = placement.Mechanisms(placement.ServicePacing)
	p := &paced{base: newBase(s, node, policy), pool: pacing.NewPool()}
	p.pool.SetRoom(s.Servers*s.Slots, s.Instances)
	return p
}

// Arrive implements Policy.
func (p *paced) Arrive(now time.Time, r *Request) {
	p.budgets.OnRequest(poolID)
	p.enter(now, r, false)
}

func (p *paced) enter(now time.Time, r *Request, refused bool) {
	item := pacing.Item{
		Priority: r.Class.Priority, Account: uint32(r.Account + 1), Route: uint32(r.Class.Priority),
		Deadline: r.Deadline, Objective: r.Class.Target, Refused: refused,
	}
	t, refusal := p.pool.Enter(now, item, p.node.Random())
	if refusal != nil {
		p.node.Refuse(r, refusal.After)
		return
	}
	state(r).ticket = t
	p.waiting = append(p.waiting, r)
	p.sendReady(now)
	p.node.At(t.Latest(), func(now time.Time) {
		i := slices.Index(p.waiting, r)
		if i < 0 || state(r).ticket != t || !p.pool.Leave(now, t) {
			return
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.node.Refuse(r, p.pool.Refuse(now, &item, p.node.Random()).After)
	})
}

// sendReady sends the requests whose tickets are ready.
func (p *paced) sendReady(now time.Time) {
	for i := 0; i < len(p.waiting); {
		r := p.waiting[i]
		select {
		case <-state(r).ticket.Ready():
		default:
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		if !p.send(now, r) {
			p.pool.Leave(now, state(r).ticket)
			p.node.Refuse(r, 0)
		}
	}
}

// Ended implements Policy.
func (p *paced) Ended(now time.Time, r *Request, _ int, full bool) {
	again := p.release(now, r, full)
	outcome := pacing.Completed
	if full {
		outcome = pacing.Full
	}
	p.pool.Done(now, state(r).ticket, outcome)
	p.sendReady(now)
	switch {
	case full && again:
		p.enter(now, r, true)
	case full:
		item := pacing.Item{Deadline: r.Deadline}
		p.node.Refuse(r, p.pool.Refuse(now, &item, p.node.Random()).After)
	}
}

// Report implements Policy.
func (p *paced) Report(now time.Time) any {
	r := pacedReport{loads: p.base.Report(now)}
	r.demand, r.short = p.pool.Report(now)
	return r
}

// Apply implements Policy.
func (p *paced) Apply(now time.Time, from int, report any) {
	r := report.(pacedReport)
	p.base.Apply(now, from, r.loads)
	if r.short {
		p.pool.SetPeer(instanceID(from), now, r.demand)
	}
}
