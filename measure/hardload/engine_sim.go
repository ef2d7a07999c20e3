// Package hardload simulates hard loads in virtual time and without network. Files that
// begin with engine_ hold the simulation of model engines: instances that place requests by
// core/placement, with reports of the other instances that are some hundred ms old, and
// engines that process prompts in chunks. A run owns all its state; it is not safe for
// concurrent use.
package hardload

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// Kind is a kind of request. Times are virtual.
type Kind struct {
	Name string
	// Shared and Own are the prompt tokens that the requests of an account share and those
	// of the request alone.
	Shared, Own int
	// PerSecond is the number of requests per second over all instances.
	PerSecond        float64
	Target, Deadline time.Duration
	// Urgency orders the requests at an engine, 0 first.
	Urgency int
	// Output is the mean number of output tokens.
	Output int
}

// EngineWorld describes a run.
type EngineWorld struct {
	Seed              uint64
	Instances         int
	Engines           int
	Slots             int
	TokensPerMs       float64
	Kinds             []Kind
	Accounts          int
	Seconds           float64
	SlowestToFastest  float64 // ratio of the rates of the engines
	Noise             float64 // share by which the speed of an engine varies
	LagMin, LagMax    time.Duration
	Load              func(at time.Duration) float64 // factor of the rates
	HotAccounts       int                            // accounts at hotFactor times their share
	Policy            placement.Policy
	Choose            Chooser // nil selects core/placement
	CacheTokens       int
	FirstComeAtEngine bool // engines ignore the urgency
}

const (
	hotFactor        = 8
	reportInterval   = 200 * time.Millisecond
	chunkTokens      = 2048
	fetchTokensPerMs = 100
	stepTime         = 5 * time.Millisecond
	decodeTime       = 60 * time.Microsecond // of a step for each request that generates
	pollInterval     = 25 * time.Millisecond
)

var simEpoch = time.Unix(1_700_000_000, 0)

// job is one request.
type job struct {
	kind, account   int
	seq             uint64
	arrived, sent   time.Duration
	ask             placement.Request
	urgency         int
	left, out       int // prompt tokens to process and output tokens to generate
	first           time.Duration
	refused, opened bool
	in              *simInstance
	ticket          *placement.Reservation
}

type simEngine struct {
	id             fleet.ServerID
	rate           float64
	running, queue []*job
	cached         map[uint64]bool
	stepping       bool
	coming         int // requests whose parts are fetched
	pace           float64
}

func (e *simEngine) load() int { return len(e.running) + len(e.queue) + e.coming }

type simInstance struct {
	id    fleet.InstanceID
	b     *placement.Balancer
	loads map[fleet.ServerID]placement.Load // last report that reached the others
}

// Chooser selects an engine by the loads that the instance knows.
type Chooser func(rnd *rand.Rand, known []placement.Load) int

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type engineRun struct {
	EngineWorld
	rnd       *rand.Rand
	now       time.Duration
	events    simQueue
	seq       int
	engines   []*simEngine
	index     map[fleet.ServerID]*simEngine
	instances []*simInstance
	totals    map[fleet.ServerID]placement.Load
	weights   []float64
	jobs      []*job
	// windows counts sends and sends over the load bound by 5 s.
	windows map[int][2]int
}

func (r *engineRun) after(d time.Duration, do func()) {
	r.seq++
	heap.Push(&r.events, simEvent{r.now + d, r.seq, do})
}

func (r *engineRun) time() time.Time { return simEpoch.Add(r.now) }

// RunEngines simulates a world and returns what became of its requests.
func RunEngines(w EngineWorld) *EngineResult {
	r := &engineRun{EngineWorld: w, rnd: rand.New(rand.NewPCG(w.Seed, 77)), index: map[fleet.ServerID]*simEngine{}, totals: map[fleet.ServerID]placement.Load{}, windows: map[int][2]int{}}
	var list []placement.Server
	for i := range w.Engines {
		speed := 1 + (max(1, w.SlowestToFastest)-1)*float64(i)/float64(max(1, w.Engines-1))
		e := &simEngine{id: fleet.ServerID(fmt.Sprint("e", i)), rate: w.TokensPerMs * speed, cached: map[uint64]bool{}, pace: 1}
		r.engines, r.index[e.id] = append(r.engines, e), e
		list = append(list, placement.Server{ID: e.id, Address: fmt.Sprint("10.0.0.1:", i), Slots: w.Slots, Engine: true, CacheTokens: w.CacheTokens, FetchTokensPerMs: fetchTokensPerMs})
	}
	var ids []fleet.InstanceID
	for i := range w.Instances {
		in := &simInstance{id: fleet.InstanceID(fmt.Sprint("r", i)), b: placement.NewBalancer(w.Policy)}
		in.b.SetServers("p", list)
		r.instances, ids = append(r.instances, in), append(ids, in.id)
	}
	for _, in := range r.instances {
		in.b.SetInstances(in.id, ids)
		r.after(time.Duration(r.rnd.Int64N(int64(reportInterval))), func() { r.report(in) })
	}
	for i := range w.Accounts {
		weight := 1 / float64(1+i/4)
		if i < w.HotAccounts {
			weight *= hotFactor
		}
		r.weights = append(r.weights, weight)
	}
	for k := range w.Kinds {
		r.arrivals(k)
	}
	end := time.Duration(w.Seconds * float64(time.Second))
	for len(r.events) > 0 && r.now < end+20*time.Second {
		e := heap.Pop(&r.events).(simEvent)
		r.now = e.at
		e.do()
	}
	return r.result()
}

// report sends the loads of an instance to the others and applies what reached it.
func (r *engineRun) report(in *simInstance) {
	if r.now > time.Duration(r.Seconds*float64(time.Second))+10*time.Second {
		return
	}
	own, placed := in.b.DrainReport(400)
	lag := r.LagMin + time.Duration(r.rnd.Int64N(int64(r.LagMax-r.LagMin)+1)) - reportInterval/2
	r.after(max(0, lag), func() {
		for id, l := range in.loads {
			t := r.totals[id]
			r.totals[id] = placement.Load{Running: t.Running - l.Running, Unread: t.Unread - l.Unread}
		}
		for id, l := range own {
			t := r.totals[id]
			r.totals[id] = placement.Load{Running: t.Running + l.Running, Unread: t.Unread + l.Unread}
		}
		in.loads = own
		rates := in.b.ReadRates()
		for _, other := range r.instances {
			if other == in {
				continue
			}
			other.b.ApplyPeerReadRates(in.id, rates)
			for _, p := range placed {
				other.b.AddPeerPlacement(r.time(), p.Server, p.Parts)
			}
		}
	})
	others := make(map[fleet.ServerID]placement.Load, len(r.totals))
	for id, t := range r.totals {
		l := placement.Load{Running: t.Running - in.loads[id].Running, Unread: t.Unread - in.loads[id].Unread}
		if l != (placement.Load{}) {
			others[id] = l
		}
	}
	in.b.SetPeerLoads("others", r.time(), others)
	in.b.ExpirePeerLoads(r.time())
	r.after(reportInterval-reportInterval/10+time.Duration(r.rnd.Int64N(int64(reportInterval/5))), func() { r.report(in) })
}

// arrivals schedules the next request of a kind.
func (r *engineRun) arrivals(k int) {
	const most = 6 // upper bound of Load
	gap := r.rnd.ExpFloat64() / (r.Kinds[k].PerSecond * most)
	r.after(time.Duration(gap*float64(time.Second)), func() {
		if r.now.Seconds() > r.Seconds {
			return
		}
		if r.rnd.Float64()*most < r.Load(r.now) {
			r.arrive(k)
		}
		r.arrivals(k)
	})
}

func (r *engineRun) arrive(k int) {
	kind := &r.Kinds[k]
	j := &job{kind: k, account: r.pickAccount(), arrived: r.now, seq: uint64(len(r.jobs) + 1), urgency: kind.Urgency}
	j.out = 1 + int(float64(kind.Output)*(0.5+r.rnd.Float64()))
	own := max(1, int(float64(kind.Own)*(0.8+0.4*r.rnd.Float64())))
	j.ask = placement.Request{PromptTokens: kind.Shared + own, Objective: kind.Target, Key: fleet.Mix(j.seq, r.Seed), Account: uint64(j.account + 1)}
	if kind.Shared > 0 {
		j.ask.Parts = append(j.ask.Parts, placement.Part{ID: uint64(k)<<32 | uint64(j.account), Tokens: kind.Shared})
	}
	j.ask.Parts = append(j.ask.Parts, placement.Part{ID: 1<<62 | j.seq, Tokens: own})
	j.in = r.instances[r.rnd.IntN(len(r.instances))]
	r.jobs = append(r.jobs, j)
	r.place(j)
}

func (r *engineRun) pickAccount() int {
	sum := 0.0
	for _, w := range r.weights {
		sum += w
	}
	x := r.rnd.Float64() * sum
	for i, w := range r.weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return 0
}

// place chooses an engine as the placer of an instance does, or waits.
func (r *engineRun) place(j *job) {
	kind := &r.Kinds[j.kind]
	waited, left := r.now-j.arrived, kind.Deadline-(r.now-j.arrived)
	ranked, status := j.in.b.Rank(r.time(), "p", &j.ask, nil)
	if status == placement.Found && r.Choose != nil {
		known, totals := make([]placement.Load, len(r.engines)), j.in.b.Totals()
		for i, e := range r.engines {
			known[i] = totals[e.id]
		}
		ranked = []placement.Candidate{{ID: r.engines[r.Choose(r.rnd, known)].id}}
	}
	if status != placement.Found {
		if waited < max(100*time.Millisecond, kind.Target/2) {
			r.after(pollInterval, func() { r.place(j) })
			return
		}
		j.refused = true
		return
	}
	if r.Choose == nil && ranked[0].MissesDeadline(left) {
		j.refused = true
		return
	}
	j.urgency = max(0, min(9, kind.Urgency+j.in.b.UrgencyShift(&ranked[0], left)))
	j.ticket = j.in.b.Reserve(r.time(), "p", ranked[0], &j.ask)
	j.sent = r.now
	e := r.index[ranked[0].ID]
	r.countSend(e)
	e.coming++
	fetched := ranked[0].Fetched
	if s := r.source(ranked[0].Source); s == nil || s.cachedTokens(j.ask.Parts) < fetched {
		fetched = 0
	}
	r.after(time.Duration(fetched/fetchTokensPerMs)*time.Millisecond, func() {
		e.coming--
		j.left = max(1, j.ask.PromptTokens-max(fetched, e.cachedTokens(j.ask.Parts)))
		e.queue = append(e.queue, j)
		r.step(e)
	})
}

func (r *engineRun) source(address string) *simEngine {
	for i, e := range r.engines {
		if address == fmt.Sprint("10.0.0.1:", i) {
			return e
		}
	}
	return nil
}

func (e *simEngine) cachedTokens(parts []placement.Part) int {
	n := 0
	for _, p := range parts {
		if !e.cached[p.ID] {
			break
		}
		n += p.Tokens
	}
	return n
}

// countSend compares the load of the engine with the load bound.
func (r *engineRun) countSend(e *simEngine) {
	total := 0
	for _, x := range r.engines {
		total += x.load()
	}
	w := r.windows[int(r.now/(5*time.Second))]
	w[0]++
	if float64(e.load()+1) > 2*float64(total+1)/float64(len(r.engines))+3 {
		w[1]++
	}
	r.windows[int(r.now/(5*time.Second))] = w
}

func (r *engineRun) before(a, b *job) int {
	if !r.FirstComeAtEngine && a.urgency != b.urgency {
		return a.urgency - b.urgency
	}
	return cmp.Compare(a.seq, b.seq)
}

// step starts one step of an engine: a chunk of prompt tokens and one output token of each
// request that generates.
func (r *engineRun) step(e *simEngine) {
	if e.stepping || e.load() == e.coming {
		return
	}
	slices.SortFunc(e.queue, r.before)
	for len(e.queue) > 0 && len(e.running) < r.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if r.now-j.arrived > r.Kinds[j.kind].Deadline {
			j.ticket.Release(r.time(), placement.Ended)
			continue
		}
		e.running = append(e.running, j)
	}
	slices.SortFunc(e.running, r.before)
	budget, generating := chunkTokens, 0
	for _, j := range e.running {
		if j.left == 0 {
			generating++
		}
		n := min(j.left, budget)
		j.left, budget = j.left-n, budget-n
	}
	if r.rnd.IntN(4) == 0 {
		e.pace = 1 + r.Noise*r.rnd.ExpFloat64()
	}
	d := e.pace * (float64(chunkTokens-budget)/e.rate*float64(time.Millisecond) + float64(stepTime) + float64(decodeTime)*float64(generating))
	e.stepping = true
	r.after(time.Duration(d), func() {
		e.stepping = false
		r.endStep(e)
		r.step(e)
	})
}

func (r *engineRun) endStep(e *simEngine) {
	kept := e.running[:0]
	for _, j := range e.running {
		late := r.now-j.arrived > r.Kinds[j.kind].Deadline
		if j.left == 0 {
			if !j.opened {
				j.opened, j.first = true, r.now-j.arrived
				j.ticket.OnFirstOutput(r.time())
				for _, p := range j.ask.Parts {
					e.cached[p.ID] = true
				}
			}
			j.out--
		}
		if j.out > 0 && (j.opened || !late) {
			kept = append(kept, j)
			continue
		}
		j.ticket.Release(r.time(), placement.Ended)
	}
	clear(e.running[len(kept):])
	e.running = kept
}
