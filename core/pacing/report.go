package pacing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenhitch/core/fairshare"
	"cyclamenhitch/core/fleet"
)

// Flow identifies the demand of one account in one class at a pool.
type Flow struct {
	// Class is twice the priority, and one more for requests that can only be late; 0 is
	// served first.
	Class int
	// Account is a hash of the account; 0 sums accounts that are not named.
	Account uint32
}

func (f Flow) late() bool { return f.Class%2 == 1 }

// FlowRate is the demand of a flow, in requests per second.
type FlowRate struct {
	Flow
	Rate float64
	// Usual is the mean demand while the pool was not short, which is the weight of the flow.
	Usual float64
	// Accounts is the number of accounts that are summed; 0 counts as 1.
	Accounts int
}

// Report is what one or more instances measured at a pool.
type Report struct {
	// Instances is the number of instances that are summed.
	Instances int
	// Completed and Refused are responses and refusals of the servers per second.
	Completed, Refused float64
	// Busy is the number of requests at the servers.
	Busy float64
	// Calm is set if none of the instances saw a sign of a shortage itself. Such a report adds
	// to the sums but does not make its receiver short: instances would keep one another so.
	Calm bool
	// Flows are the largest demands, at most MaxFlows.
	Flows []FlowRate
}

// MaxFlows limits the flows of one report, which keeps it under 1,000 bytes on the wire: 24
// accounts in two classes and a rest for each class.
const MaxFlows = 60

// add adds another report to r. The flows are not merged.
func (r *Report) add(o *Report) {
	r.Instances += o.Instances
	r.Completed += o.Completed
	r.Refused += o.Refused
	r.Busy += o.Busy
	r.Calm = r.Calm && o.Calm
	r.Flows = append(r.Flows, o.Flows...)
}

// Without returns a sum without one of the reports in it, with at most MaxFlows flows. What o
// has of flows that the sum does not name is in those of account 0.
func (r *Report) Without(o *Report) Report {
	out := *r
	out.Instances = max(0, r.Instances-o.Instances)
	out.Completed, out.Refused, out.Busy = max(0, r.Completed-o.Completed), max(0, r.Refused-o.Refused), max(0, r.Busy-o.Busy)
	out.Flows = slices.Clone(r.Flows)
	for _, less := range o.Flows {
		i, ok := slices.BinarySearchFunc(out.Flows, less.Flow, compareFlow)
		if !ok {
			if i, ok = slices.BinarySearchFunc(out.Flows, Flow{Class: less.Class}, compareFlow); !ok {
				continue
			}
		}
		f := &out.Flows[i]
		f.Rate, f.Usual = max(0, f.Rate-less.Rate), max(0, f.Usual-less.Usual)
	}
	out.Flows = slices.DeleteFunc(out.Flows, func(f FlowRate) bool { return f.Rate+f.Usual < minFlowRate })
	out.Flows = limitFlows(out.Flows, MaxFlows)
	return out
}

// Limit merges the smallest flows by class if there are more than limit. A flow for each class
// remains at least.
func (r *Report) Limit(limit int) { r.Flows = limitFlows(r.Flows, limit) }

func compareFlow(f FlowRate, o Flow) int {
	return cmp.Or(cmp.Compare(f.Class, o.Class), cmp.Compare(f.Account, o.Account))
}

// limitFlows merges equal flows and keeps the largest ones.
func limitFlows(flows []FlowRate, limit int) []FlowRate {
	flows = mergeFlows(flows)
	if len(flows) <= limit {
		return flows
	}
	slices.SortFunc(flows, func(a, b FlowRate) int { return cmp.Compare(b.Rate, a.Rate) })
	keep := max(0, limit-numClasses)
	for i := keep; i < len(flows); i++ {
		flows[i].Account = 0
	}
	return mergeFlows(flows)
}

func mergeFlows(flows []FlowRate) []FlowRate {
	slices.SortFunc(flows, func(a, b FlowRate) int {
		return compareFlow(a, b.Flow)
	})
	out := flows[:0]
	for _, f := range flows {
		if n := len(out); n > 0 && out[n-1].Flow == f.Flow {
			last := &out[n-1]
			last.Rate += f.Rate
			last.Usual += f.Usual
			if f.Account == 0 {
				last.Accounts = max(1, last.Accounts) + max(1, f.Accounts)
			}
			continue
		}
		out = append(out, f)
	}
	return out
}

// numClasses is the number of classes, of priorities 0 to 9.
const numClasses = 20

type peerReport struct {
	at time.Time
	Report
}

// peerTTL is how long a peer's report counts. Reports come each 200 ms and up to 0.5 s later
// through relays.
const peerTTL = 1500 * time.Millisecond

// Report returns what this instance measured. ok is false while the pool is not short of
// capacity, which needs no report.
func (p *Pool) Report(now time.Time) (r Report, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wake(now) // the room or the number of instances may have changed
	if !p.short(now) {
		return Report{}, false
	}
	return p.own(now), true
}

func (p *Pool) own(now time.Time) Report {
	r := Report{Instances: 1, Completed: p.completed.read(now), Refused: p.refused.read(now), Busy: float64(p.running), Calm: !now.Before(p.shortUntil)}
	for f, d := range p.flows {
		v := d.read(now)
		if v < minFlowRate && d.usual < minFlowRate {
			delete(p.flows, f)
			continue
		}
		r.Flows = append(r.Flows, FlowRate{Flow: f, Rate: v, Usual: d.usual})
	}
	total := 0.0
	for i := range r.Flows {
		if !r.Flows[i].late() {
			total += r.Flows[i].Rate
		}
	}
	if total > 0 {
		// The rates of single flows need a longer window than their sum. Late requests are
		// left out: those of all callers that return after an outage are no lasting demand.
		surge := min(maxSurge, max(1/maxSurge, p.arrived.read(now)/total))
		for i := range r.Flows {
			if !r.Flows[i].late() {
				r.Flows[i].Rate *= surge
			}
		}
	}
	r.Flows = limitFlows(r.Flows, MaxFlows)
	return r
}

// maxSurge limits the correction of the rates of flows by that of their sum.
const maxSurge = 4.0

// minFlowRate is the demand per second below which a flow is forgotten: 3 s after its last
// request.
const minFlowRate = 0.005

// SetPeer stores the report of a peer, or of the instances that a relay sums.
func (p *Pool) SetPeer(id fleet.InstanceID, now time.Time, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[id] = peerReport{now, r}
	if !r.Calm {
		p.peersShortUntil = later(p.peersShortUntil, now.Add(peerTTL))
	}
}

// maxSumFlows limits the flows of a sum from which the digests of a round are derived.
const maxSumFlows = 4 * MaxFlows

// Sum returns the sum of what this instance and the peers for which include is true measured,
// with up to maxSumFlows flows; Without derives digests from it. ok is false while there is
// nothing to report.
func (p *Pool) Sum(now time.Time, include func(fleet.InstanceID) bool) (r Report, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.short(now) {
		return Report{}, false
	}
	r = p.own(now)
	for id, peer := range p.peers {
		if now.Sub(peer.at) < peerTTL && include(id) {
			r.add(&peer.Report)
		}
	}
	r.Flows = limitFlows(r.Flows, maxSumFlows)
	return r, true
}

// Peer returns the report of a peer if it counts.
func (p *Pool) Peer(now time.Time, id fleet.InstanceID) Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer, ok := p.peers[id]; ok && now.Sub(peer.at) < peerTTL {
		return peer.Report
	}
	return Report{}
}

// sum returns the report of the whole fleet. Instances that do not report are assumed to measure
// the mean of those that do: the capacity is that of the whole pool.
func (p *Pool) sum(now time.Time) Report {
	total := p.own(now)
	for id, r := range p.peers {
		if now.Sub(r.at) >= peerTTL {
			delete(p.peers, id)
			continue
		}
		total.Instances += r.Instances
		total.Completed += r.Completed
		total.Refused += r.Refused
		total.Busy += r.Busy
		total.Flows = append(total.Flows, r.Flows...)
	}
	if total.Instances < p.instances {
		n := float64(p.instances) / float64(max(1, total.Instances))
		total.Completed, total.Refused, total.Busy = n*total.Completed, n*total.Refused, n*total.Busy
		for i := range total.Flows {
			total.Flows[i].Rate *= n
			total.Flows[i].Usual *= n
		}
	}
	total.Flows = mergeFlows(total.Flows)
	return total
}

const (
	// shareInterval is how long the shares of flows are used before they are derived again.
	shareInterval = 100 * time.Millisecond
	// rateGain is the relative change of the allowed rate when the load at the servers is
	// zero instead of the target. Loads are some 300 ms old and a queue of one round drains
	// in 15 to 60 ms, so that a gain above 0.2 makes the rate oscillate.
	rateGain = 0.1
	// slotShare is the part of slots over response time that counts as the capacity while
	// slots are free. Some slots idle beside queues of others.
	slotShare = 0.9
	// capacityFall is the part of the capacity that is forgotten in each shareInterval, until
	// the completions confirm it. They take rateWindow to follow a surge.
	capacityFall = 0.05
	// driftGain changes the factor that corrects for requests that are granted and never
	// sent, for each shareInterval in which the load at the servers is zero.
	driftGain          = 0.03
	minDrift, maxDrift = 0.7, 1.5
)

// allowedRate returns how many requests per second the whole fleet may send.
func (p *Pool) allowedRate(total *Report) float64 {
	if total.Completed <= 0 || p.slots <= 0 {
		return math.Inf(1)
	}
	deviation := min(1, max(-1.5, 1-total.Busy/p.targetLoad()))
	if p.limiting || deviation < 0 {
		p.drift = min(maxDrift, max(minDrift, p.drift*(1+driftGain*deviation)))
	}
	p.capacity = max(total.Completed, (1-capacityFall)*p.capacity)
	if total.Busy < float64(p.slots) && p.response > 0 {
		p.capacity = max(p.capacity, slotShare*float64(p.slots)/p.response.Seconds())
	}
	return p.drift * p.capacity * (1 + rateGain*deviation)
}

// updateShares derives the part of each flow that may be sent.
func (p *Pool) updateShares(now time.Time) {
	elapsed := now.Sub(p.sharesAt)
	if elapsed < shareInterval {
		return
	}
	p.sharesAt = now
	clear(p.shares)
	if !p.short(now) {
		p.drift, p.limiting = 1, false
		p.learnUsual(now, elapsed)
		return
	}
	if !p.limiting {
		p.learnUsual(now, elapsed)
	}
	total := p.sum(now)
	allowed := p.allowedRate(&total)
	p.allowed = allowed
	flows := make([]fairshare.Flow, len(total.Flows))
	for i, f := range total.Flows {
		flows[i] = fairshare.Flow{Class: f.Class, Account: f.Account, Weight: p.weight(&f), Demand: f.Rate}
	}
	fairshare.Fill(allowed, flows)
	p.limiting = false
	for i := range flows {
		if f := &flows[i]; f.Grant < f.Demand {
			p.shares[Flow{f.Class, f.Account}] = f.Grant / f.Demand
			p.limiting = true
		}
	}
}

// minWeight is the weight of a flow without usual demand, in requests per second.
const minWeight = 0.5

// weight is the usual demand, so that an account that surges keeps what it had and large
// accounts aren't cut to what small ones use, times the account's configured weight.
func (p *Pool) weight(f *FlowRate) float64 {
	w := max(f.Usual, minWeight*float64(max(1, f.Accounts)))
	if configured := p.weights[f.Account]; configured > 0 {
		w *= configured
	}
	return w
}
