package hardload

import (
	"fmt"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/retry"
)

const poolID fleet.PoolID = "p"

// Limits of sends, as in the product: three for each request and a retry budget.
const (
	maxSends = 3
	// retryPercent and fleetRetryBurst are 0.7 of the users' bound of 0.2 and 180.
	retryPercent    = 14
	fleetRetryBurst = 126
)

// base holds what all policies use.
type base struct {
	s       *Scenario
	node    Node
	board   *placement.Balancer
	budgets *retry.Budgets
}

func newBase(s *Scenario, node Node, policy placement.Policy) *base {
	b := &base{s, node, placement.NewBalancer(policy), retry.NewBudgets()}
	b.budgets.SetAll(retryPercent, fleetRetryBurst/s.Instances)
	list := make([]placement.Server, s.Servers)
	for i := range list {
		list[i] = placement.Server{ID: serverID(i), Address: fmt.Sprint(i), Slots: s.Slots}
	}
	b.board.SetServers(poolID, list)
	ids := make([]fleet.InstanceID, s.Instances)
	for i := range ids {
		ids[i] = instanceID(i)
	}
	b.board.SetInstances(ids[0], ids)
	return b
}

func serverID(i int) fleet.ServerID     { return fleet.ServerID(fmt.Sprintf("s%d", i)) }
func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprintf("i%d", i)) }

// attemptState is what the instance keeps of a request.
type attemptState struct {
	tried       []fleet.ServerID
	reservation *placement.Reservation
	ticket      *pacing.Ticket
}

func state(r *Request) *attemptState {
	if r.State == nil {
		r.State = &attemptState{}
	}
	return r.State.(*attemptState)
}

// send places a request by the product's ranking. It returns false if no server is left.
func (b *base) send(now time.Time, r *Request) bool {
	st := state(r)
	ask := &placement.Request{Key: r.Key, Objective: r.Class.Target}
	ranked, _ := b.board.Rank(now, poolID, ask, func(id fleet.ServerID) bool {
		for _, t := range st.tried {
			if t == id {
				return true
			}
		}
		return false
	})
	if len(ranked) > 0 && ranked[0].RoomAt.After(now) && ranked[0].RoomAt.Before(r.Deadline) {
		b.node.At(ranked[0].RoomAt, func(now time.Time) {
			if !b.send(now, r) {
				b.node.Refuse(r, 0)
			}
		})
		return true
	}
	for _, c := range ranked {
		if t := b.board.Reserve(now, poolID, c, ask); t != nil {
			st.reservation = t
			st.tried = append(st.tried, c.ID)
			var i int
			fmt.Sscanf(c.Address, "%d", &i)
			b.node.Send(r, i)
			return true
		}
	}
	return false
}

// release ends the send of a request and reports whether it may be sent again.
func (b *base) release(now time.Time, r *Request, full bool) (again bool) {
	st := state(r)
	if !full {
		st.reservation.OnFirstOutput(now)
		st.reservation.Release(now, placement.Ended)
		return false
	}
	st.reservation.Release(now, placement.Refused)
	return r.Sends < maxSends && now.Before(r.Deadline) && b.budgets.TryRetry(poolID)
}

// Report implements Policy.
func (b *base) Report(time.Time) any {
	loads, _ := b.board.DrainReport(0)
	return loads
}

// Apply implements Policy.
func (b *base) Apply(now time.Time, from int, report any) {
	b.board.SetPeerLoads(instanceID(from), now, report.(map[fleet.ServerID]placement.Load))
}

// before is the product without the mechanism service_pacing.
type before struct{ *base }

// Before returns the policy of the product without pacing.
func Before(s *Scenario, node Node, _ int) Policy {
	return &before{newBase(s, node, placement.DefaultPolicy())}
}

// Arrive implements Policy.
func (p *before) Arrive(now time.Time, r *Request) {
	p.budgets.OnRequest(poolID)
	if !p.send(now, r) {
		p.node.Refuse(r, 300*time.Millisecond)
	}
}

// Ended implements Policy.
func (p *before) Ended(now time.Time, r *Request, _ int, full bool) {
	if again := p.release(now, r, full); full && (!again || !p.send(now, r)) {
		p.node.Refuse(r, 0)
	}
}

// choice is a policy that sends each request to a server at once.
type choice struct {
	*base
	own  []int
	peer map[int][]int
	two  bool
}

// LeastLoaded sends to the server with the lowest known load.
func LeastLoaded(s *Scenario, node Node, _ int) Policy { return newChoice(s, node, false) }

// RandomOfTwo sends to the less loaded of two servers drawn at random.
func RandomOfTwo(s *Scenario, node Node, _ int) Policy { return newChoice(s, node, true) }

func newChoice(s *Scenario, node Node, two bool) *choice {
	return &choice{base: newBase(s, node, placement.DefaultPolicy()), own: make([]int, s.Servers), peer: map[int][]int{}, two: two}
}

func (p *choice) load(server int) int {
	n := p.own[server]
	for _, l := range p.peer {
		n += l[server]
	}
	return n
}

func (p *choice) Arrive(now time.Time, r *Request) {
	if r.Sends == 0 {
		p.budgets.OnRequest(poolID)
	}
	draw := func() int { return int(p.node.Random() * float64(p.s.Servers)) }
	best := draw()
	if p.two {
		if o := draw(); p.load(o) < p.load(best) {
			best = o
		}
	} else {
		for i := range p.own {
			if p.load(i) < p.load(best) {
				best = i
			}
		}
	}
	p.own[best]++
	p.node.Send(r, best)
}

func (p *choice) Ended(now time.Time, r *Request, server int, full bool) {
	p.own[server]--
	switch {
	case !full:
	case r.Sends < maxSends && now.Before(r.Deadline) && p.budgets.TryRetry(poolID):
		p.Arrive(now, r)
	default:
		p.node.Refuse(r, 0)
	}
}

func (p *choice) Report(time.Time) any { return append([]int(nil), p.own...) }

func (p *choice) Apply(_ time.Time, from int, report any) { p.peer[from] = report.([]int) }

// queued is an instance with a queue in the order of arrival and an even part of the room.
type queued struct {
	*base
	waiting []*Request
	running int
}

// FirstComeFirstServed keeps requests beyond an even part of twice the slots in a queue.
func FirstComeFirstServed(s *Scenario, node Node, _ int) Policy {
	return &queued{base: newBase(s, node, placement.DefaultPolicy())}
}

func (p *queued) Arrive(now time.Time, r *Request) {
	p.budgets.OnRequest(poolID)
	p.waiting = append(p.waiting, r)
	p.next(now)
	p.node.At(r.Deadline, func(time.Time) {
		for i, q := range p.waiting {
			if q == r {
				p.waiting = append(p.waiting[:i:i], p.waiting[i+1:]...)
				return
			}
		}
	})
}

func (p *queued) next(now time.Time) {
	window := max(2, 4*p.s.Servers*p.s.Slots/p.s.Instances)
	for p.running < window && len(p.waiting) > 0 {
		r := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !p.send(now, r) {
			p.node.Refuse(r, 0)
			continue
		}
		p.running++
	}
}

func (p *queued) Ended(now time.Time, r *Request, _ int, full bool) {
	p.running--
	if again := p.release(now, r, full); full && (!again || !p.send(now, r)) {
		p.node.Refuse(r, 0)
	} else if full {
		p.running++
	}
	p.next(now)
}
