package claims

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/breaker"
	"cyclamenhitch/core/claims"
	"cyclamenhitch/core/store"
)

// Settings of the simulated fleet, as the daemon uses them by default.
const (
	callTimeout   = time.Second
	maxConcurrent = 8
	// tableCallsPerSecond is what the table service carries, reads and writes together.
	tableCallsPerSecond = 2300
	// headPolls and leaseCalls are the other table calls of a fleet, a second.
	headPolls  = 20.0
	leaseCalls = 20.0
	// retryAfter is the wait that a refused caller is told; callerPatience is how
	// long it repeats the call (assumed).
	retryAfter     = time.Second
	callerPatience = 10 * time.Second
)

var errCall = errors.New("call failed")

// Outage describes one run: the service is down from 20 s on for Down. Silent
// services take calls and never answer; others refuse connections.
type Outage struct {
	Instances       int
	ClaimsPerSecond float64
	Duration        time.Duration
	Unresponsive    bool
	// NoBreaker sends every call, as a comparison.
	NoBreaker bool
}

// RecoveryStats is what happened during an outage and after it.
type RecoveryStats struct {
	// RateRestored is the time from the return until the claims granted within a second
	// reach the offered rate, which includes repeated calls from the outage;
	// LastPartition until each partition granted one, LastRefusal until the last
	// claim made after the return is refused.
	RateRestored, LastPartition, LastRefusal time.Duration
	// Calls that reached the service: the most in a second, and at once, while it
	// is down (after the first 5 s) and in the 5 s after its return.
	OutageCallsPerSecond, OutageConcurrent, RecoveryCallsPerSecond, RecoveryConcurrent int
	// BreakersClosed is the time until all instances' breakers are closed.
	BreakersClosed time.Duration
}

// service is the table service behind one breaker for each instance.
type service struct {
	l                      *loop
	t                      *table
	outage                 Outage
	outageStart, outageEnd time.Time
	nextFree               time.Time
	running                int
	perSecond              map[int]int // by second since the start
	peakConcurrent         map[int]int // most, by second
}

type client struct {
	s       *service
	b       *breaker.Breaker
	pending []*pendingCall
}

type pendingCall struct {
	run  func()
	done bool
}

func (s *service) down() bool { return !s.l.now.Before(s.outageStart) && s.l.now.Before(s.outageEnd) }

func (s *service) second() int { return int(s.l.now.Sub(epoch) / time.Second) }

// serve takes one call; done receives whether it was answered and executes it.
func (s *service) serve(done func(ok bool)) {
	s.running++
	s.perSecond[s.second()]++
	s.peakConcurrent[s.second()] = max(s.peakConcurrent[s.second()], s.running)
	end := func(ok bool) { s.running--; done(ok) }
	if s.down() {
		d := time.Millisecond
		if s.outage.Unresponsive {
			d = callTimeout
		}
		s.l.after(d, func() { end(false) })
		return
	}
	if s.nextFree.Before(s.l.now) {
		s.nextFree = s.l.now
	}
	d := s.nextFree.Sub(s.l.now) + s.l.latency()
	s.nextFree = s.nextFree.Add(time.Second / tableCallsPerSecond)
	s.l.after(min(d, callTimeout), func() { end(d <= callTimeout) })
}

// call sends fn through the breaker, as adapters/platform does: it waits for a
// slot until the deadline.
func (c *client) call(done func(ok bool)) {
	if c.s.outage.NoBreaker {
		c.s.serve(done)
		return
	}
	w := &pendingCall{}
	w.run = func() {
		if w.done {
			return
		}
		switch d := c.b.Acquire(c.s.l.now); d {
		case breaker.Wait:
			c.pending = append(c.pending, w)
		case breaker.Reject:
			w.done = true
			c.s.l.after(0, func() { done(false) })
		default:
			w.done = true
			start := c.s.l.now
			c.s.serve(func(ok bool) {
				ok = ok && !c.b.Slow(c.s.l.now.Sub(start))
				c.b.Done(d == breaker.Probe, !ok, c.s.l.now)
				c.wake()
				done(ok)
			})
		}
	}
	w.run()
	c.s.l.after(callTimeout, func() {
		if !w.done {
			w.done = true
			done(false)
		}
	})
}

func (c *client) wake() {
	ws := c.pending
	c.pending = nil
	for _, w := range ws {
		w.run()
	}
}

// recoveryFleet is a fleet of instances with the owners of all partitions.
type recoveryFleet struct {
	s           *service
	clients     []*client
	nodes       []*node
	grantTimes  []time.Time
	firstGrants map[int]time.Time // first grant after the return, by partition
	lastID      uint64
	lastRefusal time.Time // last
}

func newRecoveryFleet(seed uint64, o Outage) *recoveryFleet {
	l := newLoop(seed)
	s := &service{l: l, t: newTable(), outage: o, perSecond: map[int]int{}, peakConcurrent: map[int]int{}}
	s.t.retainedRows = 1
	s.outageStart = epoch.Add(20 * time.Second)
	s.outageEnd = s.outageStart.Add(o.Duration)
	f := &recoveryFleet{s: s, firstGrants: map[int]time.Time{}}
	rng := rand.New(rand.NewPCG(seed, 2))
	for range o.Instances {
		c := &client{s: s, b: breaker.New(maxConcurrent, callTimeout/2, rng.Int64N)}
		f.clients = append(f.clients, c)
		// Each instance calls at its part of the rate, with jitter.
		f.poll(c, time.Duration(float64(o.Instances)/(headPolls+leaseCalls)*float64(time.Second)))
	}
	for p := range claims.Partitions {
		c := f.clients[rng.IntN(o.Instances)]
		n := newNode(l, s.t, p, float64(claims.WritesPerSecond)/claims.Partitions)
		n.call = func(op claims.Op, done func(claims.Reply)) {
			c.call(func(ok bool) {
				if !ok {
					done(claims.Reply{Err: errCall})
					return
				}
				done(claims.Execute(context.Background(), s.t, s.t, op))
			})
		}
		f.nodes = append(f.nodes, n)
	}
	return f
}

func (f *recoveryFleet) poll(c *client, interval time.Duration) {
	l := f.s.l
	l.after(interval/2+time.Duration(l.rng.Int64N(int64(interval))), func() {
		c.call(func(bool) {})
		f.poll(c, interval)
	})
}

// claim makes a call, which its caller repeats while it is refused.
func (f *recoveryFleet) claim(key uint64, start time.Time) {
	l := f.s.l
	p := claims.PartitionOf(key, len(f.nodes))
	n := f.nodes[p]
	f.lastID++
	id := f.lastID
	rec := claims.Record{Kind: claims.KindClaim, Key: key, Digest: key, Attempt: id, Until: l.now.Add(time.Minute).UnixMilli()}
	n.submit(id, rec, func(r claims.Result) {
		if r.Verdict != claims.Granted {
			f.lastRefusal = l.now
			if l.now.Sub(start) < callerPatience {
				l.after(retryAfter, func() { f.claim(key, start) })
			}
			return
		}
		f.grantTimes = append(f.grantTimes, l.now)
		if _, ok := f.firstGrants[p]; !ok && !l.now.Before(f.s.outageEnd) {
			f.firstGrants[p] = l.now
		}
		f.lastID++
		n.submit(f.lastID, claims.Record{Kind: claims.KindOutcome, Key: key, Attempt: id, Outcome: claims.Outcome{Status: 200}}, nil)
	})
	l.after(claims.ClaimTimeout, func() {
		if r, ok := n.owner.Withdraw(id, l.now); ok {
			n.deliver([]claims.Result{r})
		}
	})
}

// SimulateOutage runs a fleet through an outage.
func SimulateOutage(seed uint64, o Outage) RecoveryStats {
	f := newRecoveryFleet(seed, o)
	s, l := f.s, f.s.l
	l.arrivals(o.ClaimsPerSecond, func() { f.claim(l.rng.Uint64(), l.now) })
	var out RecoveryStats
	var watch func()
	watch = func() {
		for _, c := range f.clients {
			if state, _ := c.b.State(); state == breaker.Open {
				l.after(100*time.Millisecond, watch)
				return
			}
		}
		out.BreakersClosed = l.now.Sub(s.outageEnd)
	}
	l.after(s.outageEnd.Sub(epoch), watch)
	l.run(s.outageEnd.Add(60 * time.Second).Sub(epoch))
	out.RateRestored, out.LastPartition = f.timeToOfferedRate(), time.Hour
	if len(f.firstGrants) == len(f.nodes) {
		out.LastPartition = 0
		for _, at := range f.firstGrants {
			out.LastPartition = max(out.LastPartition, at.Sub(s.outageEnd))
		}
	}
	out.LastRefusal = max(0, f.lastRefusal.Sub(s.outageEnd))
	back := int(s.outageEnd.Sub(epoch) / time.Second)
	for sec, n := range s.perSecond {
		switch {
		case sec >= back && sec < back+5:
			out.RecoveryCallsPerSecond, out.RecoveryConcurrent = max(out.RecoveryCallsPerSecond, n), max(out.RecoveryConcurrent, s.peakConcurrent[sec])
		case sec >= 25 && sec < back:
			out.OutageCallsPerSecond, out.OutageConcurrent = max(out.OutageCallsPerSecond, n), max(out.OutageConcurrent, s.peakConcurrent[sec])
		}
	}
	return out
}

// timeToOfferedRate returns the time from the return to the end of the first second in
// which as many claims were granted as are offered in a second; an hour if none.
func (f *recoveryFleet) timeToOfferedRate() time.Duration {
	want, i := int(f.s.outage.ClaimsPerSecond), 0
	for j, at := range f.grantTimes {
		for at.Sub(f.grantTimes[i]) >= time.Second || i < j && f.grantTimes[i].Before(f.s.outageEnd) {
			i++
		}
		if !f.grantTimes[i].Before(f.s.outageEnd) && j-i+1 >= want {
			return at.Sub(f.s.outageEnd)
		}
	}
	return time.Hour
}

var _ store.Table = (*table)(nil)
