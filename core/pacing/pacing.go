// Package pacing decides which requests an instance sends to a pool of plain servers that is
// short of capacity, in which order, and which it refuses. It addresses demand of 1.2 to 3
// times the capacity of a small pool, spread over many instances, and the return of all
// callers after an outage. A Pool holds what this instance measured and what its peers
// report, under its own lock; the instance owns one for each pool. The package performs no
// I/O and reads no clock.
package pacing

import (
	"math"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// Item describes a request that asks to be sent.
type Item struct {
	// Priority is 0 (first) to 9.
	Priority int
	// Account is a hash of the account, not 0, and Route one of the route.
	Account, Route uint32
	// Weight is the account's weight; 0 counts as 1.
	Weight float64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Objective is the target time to the response; 0 means none.
	Objective time.Duration
	// Refused is set if a server has refused the request as full before.
	Refused bool

	class int
}

// Reason is why a request is refused.
type Reason int

const (
	// OverShare means that the account has used up its share of the pool.
	OverShare Reason = iota
	// NoRoom means that no room is expected while the request may wait.
	NoRoom
)

// Refusal is a decision not to send a request.
type Refusal struct {
	Reason Reason
	// After is the time until room is likely, spread over requests.
	After time.Duration
}

// Ticket is a request's permission to be sent, or its place in the queue until Ready.
type Ticket struct {
	item    Item
	latest  time.Time
	entered time.Time
	sent    time.Time
	ready   chan struct{}
	granted bool
}

// Ready is closed once the request may be sent.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Latest is when the request stops waiting.
func (t *Ticket) Latest() time.Time { return t.latest }

// Outcome is how a send ended.
type Outcome int

const (
	// Completed means that the server responded.
	Completed Outcome = iota
	// Full means that the server refused the request without running it.
	Full
	// Lost means that the server gave no usable response.
	Lost
)

// Pool paces the requests of this instance to one pool.
type Pool struct {
	mu               sync.Mutex
	slots, instances int
	flows            map[Flow]*demand
	weights          map[uint32]float64
	// completed and refused count per second.
	completed, refused rate
	// arrived counts the requests that are not late over surgeWindow.
	arrived rate
	// response is the mean response time and fastest the lowest one lately.
	response, fastest time.Duration
	peers             map[fleet.InstanceID]peerReport
	shares            map[Flow]float64
	sharesAt          time.Time
	// learned counts the updates of the usual demands.
	learned int
	// capacity is what the servers are expected to complete per second, allowed what the whole
	// fleet may send, and drift the factor between them.
	capacity, allowed, drift float64
	// limiting is set while the allowed rate is below the demand.
	limiting bool
	// usual is the time that first attempts have, as the slowly falling highest one.
	usual map[origin]time.Duration
	// shortUntil follows the signs that this instance saw, peersShortUntil those of peers.
	shortUntil, peersShortUntil time.Time
	running                     int
	// caution scales the load that is aimed at; refusals lower it.
	caution float64
	queue   []*Ticket
	counts  Counts
}

// Counts are totals since the start and the present state, for metrics.
type Counts struct {
	Sent, Waited, OverShare, NoRoom, Full int64
	// Running is the number of requests at servers, Queued of those that wait.
	Running, Queued int
	// AllowedPerSecond is the rate of the whole fleet, 0 while the pool is not short.
	AllowedPerSecond float64
	// Short is set after signs of a shortage, Limiting while the demand exceeds AllowedPerSecond.
	Short, Limiting bool
}

// NewPool returns a Pool without measurements.
func NewPool() *Pool {
	return &Pool{
		flows: map[Flow]*demand{}, usual: map[origin]time.Duration{}, weights: map[uint32]float64{}, peers: map[fleet.InstanceID]peerReport{},
		shares: map[Flow]float64{}, caution: 1, drift: 1, instances: 1, arrived: rate{window: surgeWindow},
	}
}

// SetRoom sets the slots of the servers that take requests, and the number of instances.
func (p *Pool) SetRoom(slots, instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.instances = slots, max(1, instances)
}

const (
	// roundsAtServers is the load aimed at, as a multiple of the slots: one request runs and
	// two wait for each slot. With fewer, slots idle while other servers queue; a queue of
	// four rounds keeps room for a surge.
	roundsAtServers = 3
	// windowFactor is how many times its even part of that load one instance may have at the
	// servers at once. While shares limit what is sent, bursts of single instances are allowed
	// for; before, all callers may come at once.
	windowFactor        = 1.5
	limitedWindowFactor = 2
	minLimitedWindow    = 2
	// cautionStep and cautionRecovery change caution with each refusal and completion;
	// minCaution keeps one request for each slot.
	cautionStep     = 0.95
	cautionRecovery = 0.002
	minCaution      = 0.5
)

func (p *Pool) targetLoad() float64 {
	return max(1, p.caution*roundsAtServers*float64(p.slots))
}

func (p *Pool) window() int {
	if p.slots <= 0 {
		return math.MaxInt
	}
	even := p.targetLoad() / float64(p.instances)
	if p.limiting {
		return max(minLimitedWindow, int(math.Round(limitedWindowFactor*even)))
	}
	return max(1, int(math.Round(windowFactor*even)))
}

const (
	// shortTime is how long a pool counts as short after a sign of it.
	shortTime = 2 * time.Second
	// slowFactor is the response time relative to the lowest one that is such a sign.
	slowFactor = 1.6
	// slowLoad is the least load for that sign, relative to the slots, if all instances have
	// what this one has. Below it, response times differ by the kind of request.
	slowLoad = 0.7
	// fastestGrowth lets the lowest response time rise with each response.
	fastestGrowth = 0.002
	// responseWeight is the weight of a new response time.
	responseWeight = 0.1
)

func (p *Pool) short(now time.Time) bool {
	return now.Before(p.shortUntil) || now.Before(p.peersShortUntil)
}

// Enter asks to send a request. random is in [0, 1) and decides which requests of an account
// beyond its share are refused, and spreads the time of return. The request may be sent once
// the ticket is ready; Done or Leave ends it.
func (p *Pool) Enter(now time.Time, item Item, random float64) (*Ticket, *Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.due(now, &item)
	late := due.Before(now.Add(p.margin()))
	item.class = 2 * min(max(0, item.Priority), maxPriority)
	flow := Flow{item.class, item.Account}
	if late {
		flow.Class++
	}
	if late && p.limiting {
		item.class++
	}
	if !item.Refused {
		p.observe(now, &item, flow)
		p.updateShares(now)
		share, limited := p.shares[flow]
		if !limited {
			share, limited = p.shares[Flow{flow.Class, 0}]
		}
		if limited && random >= share {
			p.counts.OverShare++
			return nil, &Refusal{OverShare, p.after(now, &item, (random-share)/(1-share))}
		}
	}
	t := &Ticket{item: item, entered: now, latest: p.latest(now, &item, due, late), ready: make(chan struct{})}
	if p.running < p.window() && len(p.queue) == 0 {
		p.grant(now, t)
		return t, nil
	}
	p.shortUntil = later(p.shortUntil, now.Add(shortTime))
	pos, _ := slices.BinarySearchFunc(p.queue, t, order)
	if p.expectedWait(now, pos) > t.latest.Sub(now) || len(p.queue) >= maxQueue {
		p.counts.NoRoom++
		return nil, &Refusal{NoRoom, p.after(now, &item, random)}
	}
	p.queue = slices.Insert(p.queue, pos, t)
	p.counts.Waited++
	p.wake(now) // the window may have grown
	return t, nil
}

// maxQueue limits the requests that wait in one instance for one pool.
const maxQueue = 1024

func (p *Pool) observe(now time.Time, item *Item, flow Flow) {
	if p.flows[flow] == nil && len(p.flows) >= maxTrackedFlows {
		flow.Account = 0
	}
	f := p.flows[flow]
	if f == nil {
		f = &demand{}
		p.flows[flow] = f
	}
	f.add(now, 1)
	if !flow.late() {
		p.arrived.add(now, 1)
	}
	if _, known := p.weights[item.Account]; item.Weight <= 0 || item.Weight == 1 {
		delete(p.weights, item.Account)
	} else if known || len(p.weights) < maxTrackedFlows {
		p.weights[item.Account] = item.Weight
	}
}

// maxTrackedFlows limits the flows of one pool; further accounts share one flow per class.
const maxTrackedFlows = 4096

func (p *Pool) grant(now time.Time, t *Ticket) {
	t.granted, t.sent = true, now
	p.running++
	p.counts.Sent++
	close(t.ready)
}

// Leave ends a ticket that was not sent. It reports whether the request was still waiting.
func (p *Pool) Leave(now time.Time, t *Ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.granted {
		p.running--
		p.wake(now)
		return false
	}
	if i := slices.Index(p.queue, t); i >= 0 {
		p.queue = slices.Delete(p.queue, i, i+1)
	}
	return true
}

// Refuse returns the refusal of a request that has waited in vain.
func (p *Pool) Refuse(now time.Time, item *Item, random float64) *Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.NoRoom++
	return &Refusal{NoRoom, p.after(now, item, random)}
}

// Done ends a request that was sent.
func (p *Pool) Done(now time.Time, t *Ticket, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	switch took := now.Sub(t.sent); o {
	case Completed:
		p.observeResponse(now, took)
	case Full:
		p.counts.Full++
		p.refused.add(now, 1)
		p.caution = max(minCaution, p.caution*cautionStep)
		p.shortUntil = now.Add(shortTime)
	}
	p.wake(now)
}

func (p *Pool) observeResponse(now time.Time, took time.Duration) {
	p.completed.add(now, 1)
	p.caution = min(1, p.caution+cautionRecovery)
	if p.response == 0 {
		p.response, p.fastest = took, took
	}
	p.response += time.Duration(responseWeight * float64(took-p.response))
	p.fastest = min(took, p.fastest+time.Duration(fastestGrowth*float64(p.fastest)))
	atServers := p.completed.read(now) * p.response.Seconds() * float64(p.instances)
	if float64(p.response) > slowFactor*float64(p.fastest) && atServers >= slowLoad*float64(p.slots) {
		p.shortUntil = later(p.shortUntil, now.Add(shortTime))
	}
}

// Counts returns the totals and the state.
func (p *Pool) Counts(now time.Time) Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts
	c.Running, c.Queued, c.Short, c.Limiting = p.running, len(p.queue), p.short(now), p.limiting && p.short(now)
	if c.Short && !math.IsInf(p.allowed, 1) {
		c.AllowedPerSecond = p.allowed
	}
	return c
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
