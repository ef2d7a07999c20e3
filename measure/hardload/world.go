package hardload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Request is one attempt of a caller at an instance.
type Request struct {
	Class   *Class
	Account int
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Key is a random number of the request.
	Key uint64
	// Sends is the number of servers that the instance has sent it to.
	Sends int
	// State belongs to the policy.
	State any

	call     *call
	instance int
	over     bool
}

// call is a request of a caller over its attempts.
type call struct {
	class    *Class
	account  int
	began    time.Time
	attempts int
	eager    bool
	counted  bool
}

// Node is what the policy of one instance may do.
type Node interface {
	// Send sends the request to a server; Ended reports the end.
	Send(r *Request, server int)
	// Refuse answers the caller that the request was not run and when to come back.
	Refuse(r *Request, after time.Duration)
	// At calls f at a time.
	At(t time.Time, f func(now time.Time))
	// Random returns a random number in [0, 1).
	Random() float64
}

// Policy decides for one instance.
type Policy interface {
	// Arrive handles a request of a caller.
	Arrive(now time.Time, r *Request)
	// Ended tells that a send was completed or, with full, refused without being run.
	Ended(now time.Time, r *Request, server int, full bool)
	// Report returns what the instance tells its peers, Apply processes a peer's report.
	Report(now time.Time) any
	Apply(now time.Time, from int, report any)
}

// NewPolicy makes the policy of one instance.
type NewPolicy func(s *Scenario, node Node, instance int) Policy

type event struct {
	at  time.Time
	seq int
	f   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type world struct {
	s        *Scenario
	start    time.Time
	now      time.Time
	seq      int
	events   events
	rng      *rand.Rand
	policies []Policy
	servers  []server
	res      *Result
}

type server struct {
	running int
	queue   []*Request
}

// Run plays the scenario with one policy at all instances.
func Run(s *Scenario, policy NewPolicy) *Result {
	w := &world{s: s, start: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(s.Seed, 1)), servers: make([]server, s.Servers), res: newResult(s)}
	w.now = w.start
	for i := range s.Instances {
		w.policies = append(w.policies, policy(s, &node{w, i}, i))
		w.at(w.start.Add(time.Duration(w.rng.Float64()*float64(s.ReportInterval))), func(now time.Time) { w.report(now, i) })
	}
	w.at(w.start, w.arrive)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.f(w.now)
	}
	return w.res
}

func (w *world) at(t time.Time, f func(now time.Time)) {
	w.seq++
	heap.Push(&w.events, event{t, w.seq, f})
}

func (w *world) report(now time.Time, from int) {
	if now.Sub(w.start) > w.s.End+time.Second {
		return
	}
	r := w.policies[from].Report(now)
	w.at(now.Add(w.s.ReportDelay), func(now time.Time) {
		for to, p := range w.policies {
			if to != from {
				p.Apply(now, from, r)
			}
		}
	})
	w.at(now.Add(w.s.ReportInterval), func(now time.Time) { w.report(now, from) })
}

// arrive makes one call and plans the next.
func (w *world) arrive(now time.Time) {
	since := now.Sub(w.start)
	if since >= w.s.End {
		return
	}
	load := w.s.Calm
	if since >= w.s.SurgeStart {
		load = w.s.Shortage
	}
	c := &call{class: w.drawClass(), account: w.drawAccount(since >= w.s.SurgeStart), began: now, eager: w.rng.Float64() < w.s.Eager, counted: since >= w.s.SurgeStart}
	w.res.arrived(c)
	w.attempt(now, c)
	w.at(now.Add(time.Duration(w.rng.ExpFloat64()/(load*w.s.Capacity())*float64(time.Second))), w.arrive)
}

func (w *world) drawClass() *Class {
	x := w.rng.Float64()
	for i := range w.s.Classes {
		if x -= w.s.Classes[i].Share; x < 0 {
			return &w.s.Classes[i]
		}
	}
	return &w.s.Classes[len(w.s.Classes)-1]
}

func (w *world) drawAccount(surge bool) int {
	share := func(i int) float64 {
		if surge && i >= w.s.Accounts-w.s.Surging {
			return w.s.SurgeFactor / float64(i+1)
		}
		return 1 / float64(i+1)
	}
	sum := 0.0
	for i := range w.s.Accounts {
		sum += share(i)
	}
	x := w.rng.Float64() * sum
	for i := range w.s.Accounts {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return w.s.Accounts - 1
}

func (w *world) attempt(now time.Time, c *call) {
	deadline := c.began.Add(c.class.Deadline)
	if !now.Before(deadline) {
		return
	}
	if since := now.Sub(w.start); since >= w.s.SurgeStart && since < w.s.OutageEnd {
		// No instance accepts a connection: the caller tries until the end of the outage.
		w.at(w.start.Add(w.s.OutageEnd).Add(time.Duration(w.rng.Float64()*float64(20*time.Millisecond))), func(now time.Time) { w.attempt(now, c) })
		return
	}
	c.attempts++
	i := w.rng.IntN(w.s.Instances)
	w.policies[i].Arrive(now, &Request{Class: c.class, Account: c.account, Deadline: deadline, Key: w.rng.Uint64(), call: c, instance: i})
}

type node struct {
	w        *world
	instance int
}

func (n *node) Random() float64                       { return n.w.rng.Float64() }
func (n *node) At(t time.Time, f func(now time.Time)) { n.w.at(t, f) }

// sendTime is the time from an instance to a server.
const sendTime = time.Millisecond

func (n *node) Send(r *Request, to int) {
	w := n.w
	r.Sends++
	w.res.sent(r.call)
	w.at(w.now.Add(sendTime), func(now time.Time) {
		s := &w.servers[to]
		switch {
		case s.running < w.s.Slots:
			w.begin(now, to, r)
		case len(s.queue) < w.s.Queue:
			s.queue = append(s.queue, r)
		default:
			w.res.full(r.call)
			w.at(now.Add(sendTime), func(now time.Time) { w.policies[n.instance].Ended(now, r, to, true) })
		}
	})
}

// begin runs a request. The work of one varies by half.
func (w *world) begin(now time.Time, to int, r *Request) {
	s := &w.servers[to]
	s.running++
	speed := 1.0
	if w.s.Speed != nil {
		speed = w.s.Speed(to, now.Sub(w.start))
	}
	work := time.Duration((0.5 + w.rng.Float64()) * float64(r.Class.Work) / speed)
	w.at(now.Add(work), func(now time.Time) {
		s.running--
		w.at(now.Add(sendTime), func(now time.Time) {
			w.res.answered(r, now)
			w.policies[r.instance].Ended(now, r, to, false)
		})
		for len(s.queue) > 0 && s.running < w.s.Slots {
			next := s.queue[0]
			s.queue = s.queue[1:]
			if now.Before(next.Deadline) { // the caller of others has left
				w.begin(now, to, next)
				continue
			}
			w.at(now, func(now time.Time) { w.policies[next.instance].Ended(now, next, to, false) })
		}
	})
}

// Retries of callers.
const (
	honouredShare = 3
	eagerAttempts = 4
	attempts      = 2
)

func (n *node) Refuse(r *Request, after time.Duration) {
	w, c := n.w, r.call
	if r.over {
		panic("refused twice")
	}
	r.over = true
	w.res.refused(c)
	limit := attempts
	if c.eager {
		limit, after = eagerAttempts, 0
	}
	if c.attempts >= limit {
		return
	}
	after = min(after, r.Deadline.Sub(w.now)/honouredShare)
	w.at(w.now.Add(max(after, 0)+sendTime), func(now time.Time) { w.attempt(now, c) })
}
