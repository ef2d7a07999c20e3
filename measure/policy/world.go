package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Size describes a fleet and its traffic.
type Size struct {
	Name                                string
	Instances, Engines, Models, Regions int
	DataCentres, Accounts, Chats        int
	Rate                                float64 // requests per second
}

// Fleet sizes that the requirements name. The request rate of today's fleets is not stated;
// it is set to the target's load for each engine.
var (
	Today  = Size{"today", 6, 10, 1, 1, 4, 10, 36_000, 60}
	Target = Size{"target", 370, 600, 25, 3, 6, 18_000, 2_200_000, 3_600}
)

const (
	loadBound    = 1.25
	turnGap      = 60 * time.Second // mean time between two turns of a chat
	continueProb = 0.85             // probability of another turn
	tokenTime    = 30 * time.Millisecond
	prefillTime  = 300 * time.Microsecond // for each uncached prompt token
	maxPrompt    = 8000
	cacheTokens  = 3_000_000 // for each engine, about 1,200 chats
	coldLoad     = 2000
	coldSeconds  = 60
	// meanRequest is the mean time of a request, for the number of chats in
	// progress at the start.
	meanRequest = 10 * time.Second
)

type chat struct {
	prefix  int32 // prompt tokens of the last turn with its answer
	account int32
	active  bool
}

// request is one turn of a chat.
type request struct {
	chat           int32
	prompt, output int
	engine         *fakeEngine
	cost           int64
	done           bool
	finish         func(ok bool) // reports the end of the request to the policy
	holder         *instance     // instance that serves the request; set by the router policy
}

// policy places requests.
type policy interface {
	// place calls then with the engine of the request, or with nil to refuse.
	place(w *world, req *request, then func(*fakeEngine))
}

// world is the true state of one run.
type world struct {
	clock
	size         Size
	rnd          *rand.Rand
	manifest     *manifest.Manifest
	index        *manifest.Index
	engines      []*fakeEngine
	pools        [][]*fakeEngine
	poolLoad     []int64   // of the eligible engines
	poolSize     []float64 // sum of the engines' weights in the mean
	chats        []chat
	outDC        int // -1 means none
	surgeAccount int32
	policy       policy
	onChange     []func() // called after the index changed
	m            *metrics
	numbers      map[*fakeEngine]int
	scratch      []*fakeEngine
	// meanSum and meanCount give the mean load before a surge.
	meanSum   float64
	meanCount int
}

func newWorld(size Size, seed uint64) *world {
	w := &world{size: size, rnd: rand.New(rand.NewPCG(seed, 1)), outDC: -1, surgeAccount: -1, m: &metrics{}, numbers: map[*fakeEngine]int{}}
	w.manifest = buildManifest(size)
	w.index = manifest.NewIndex(1, w.manifest)
	w.pools = make([][]*fakeEngine, size.Models)
	w.poolLoad = make([]int64, size.Models)
	w.poolSize = make([]float64, size.Models)
	for i := range w.manifest.Servers {
		p := i % size.Models
		e := newFakeEngine(&w.manifest.Servers[i], p, dcOf(size, i), cacheTokens)
		w.numbers[e] = len(w.engines)
		w.engines = append(w.engines, e)
		w.pools[p] = append(w.pools[p], e)
		w.poolSize[p]++
	}
	w.chats = make([]chat, size.Chats)
	for i := range w.chats {
		w.chats[i] = chat{prefix: int32(300 + w.rnd.IntN(3000)), account: int32(accountOf(size, i))}
	}
	return w
}

func (w *world) engineNumber(e *fakeEngine) int { return w.numbers[e] }

// dcOf spreads the engines of each pool evenly over the data centres.
func dcOf(size Size, engine int) int { return engine / size.Models % size.DataCentres }

// accountOf gives account a a share of the chats proportional to 1/a.
func accountOf(size Size, chat int) int {
	u := float64(fleet.Mix(uint64(chat), 7)>>11) / (1 << 53)
	return min(int(math.Exp(u*math.Log(float64(size.Accounts+1))))-1, size.Accounts-1)
}

func buildManifest(size Size) *manifest.Manifest {
	m := &manifest.Manifest{Format: 1}
	for i := range size.DataCentres {
		m.DataCentres = append(m.DataCentres, manifest.DataCentre{
			Name: fleet.DataCentreID(fmt.Sprintf("dc%d", i)), Region: fleet.RegionID(fmt.Sprintf("region%d", i%size.Regions)), State: manifest.StateIn,
		})
	}
	for i := range size.Models {
		m.Pools = append(m.Pools, manifest.Pool{
			Name: fleet.PoolID(fmt.Sprintf("model%d", i)), Kind: manifest.KindModel, LoadBound: loadBound,
			ExpectedOutputTokens: 400, ColdStartLoad: coldLoad, ColdStartSeconds: coldSeconds, RetryPercent: 10,
		})
	}
	for i := range size.Engines {
		m.Servers = append(m.Servers, manifest.Server{
			Name: fleet.ServerID(fmt.Sprintf("engine%d", i)), Pool: m.Pools[i%size.Models].Name,
			DataCentre: m.DataCentres[dcOf(size, i)].Name, Weight: 1, State: manifest.StateIn, CacheTokens: cacheTokens,
		})
	}
	for i := range size.Accounts {
		m.Accounts = append(m.Accounts, manifest.Account{Name: fleet.ClientAccountID(fmt.Sprintf("account%d", i)), Weight: 1000 / float64(i+1)})
	}
	return m
}

// configure puts a changed copy of the manifest in force.
func (w *world) configure(change func(*manifest.Manifest)) {
	m := *w.manifest
	m.DataCentres = append([]manifest.DataCentre(nil), m.DataCentres...)
	change(&m)
	w.manifest = &m
	w.index = manifest.NewIndex(w.index.Version+1, &m)
	for _, f := range w.onChange {
		f()
	}
}

// eligible reports whether the engine counts towards its pool.
func (w *world) eligible(e *fakeEngine) bool { return e.up && e.dc != w.outDC }

// recomputeLoads recomputes the pool sums after engines joined, left or warmed up.
func (w *world) recomputeLoads() {
	clear(w.poolLoad)
	clear(w.poolSize)
	for _, e := range w.engines {
		if w.eligible(e) {
			w.poolLoad[e.pool] += e.load
			w.poolSize[e.pool] += w.rampFraction(e)
		}
	}
}

// rampFraction is the weight of an engine in the mean: a cold engine counts in
// proportion to its progress through the ramp.
func (w *world) rampFraction(e *fakeEngine) float64 {
	if e.coldSince < 0 {
		return 1
	}
	return min(float64(w.now-e.coldSince)/float64(coldSeconds*time.Second), 1)
}

func (w *world) mean(pool int) float64 { return float64(w.poolLoad[pool]) / max(w.poolSize[pool], 1) }

// startTraffic starts the chats in progress and the arrivals of new ones.
func (w *world) startTraffic() {
	live := int(w.size.Rate * (turnGap + meanRequest).Seconds())
	for range live {
		w.startChat(w.gap(), -1)
	}
	w.arrive()
	w.every(0, sampleInterval, func() {
		for _, e := range w.engines {
			e.sample(w.now)
		}
	})
	w.every(0, 100*time.Millisecond, func() {
		w.recomputeLoads()
		w.m.sampleRatios(w)
	})
}

func (w *world) gap() time.Duration { return time.Duration(w.rnd.ExpFloat64() * float64(turnGap)) }

func (w *world) arrive() {
	rate := w.size.Rate * (1 - continueProb)
	w.after(time.Duration(w.rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		w.startChat(0, -1)
		w.arrive()
	})
}

// startChat starts an idle chat after a wait; account -1 means any account.
func (w *world) startChat(wait time.Duration, account int32) {
	for range 1000 {
		c := int32(w.rnd.IntN(len(w.chats)))
		if w.chats[c].active || account >= 0 && w.chats[c].account != account {
			continue
		}
		w.chats[c].active = true
		w.after(wait, func() { w.turn(c) })
		return
	}
}

// turn sends the next prompt of a chat.
func (w *world) turn(id int32) {
	c := &w.chats[id]
	req := &request{chat: id, prompt: int(c.prefix) + 50 + w.rnd.IntN(100), output: 105 + w.rnd.IntN(401)}
	w.policy.place(w, req, func(e *fakeEngine) {
		w.m.offered(w, req, e != nil)
		if e == nil {
			w.scheduleNextTurn(id)
			return
		}
		w.startRequest(req, e)
	})
}

func (w *world) startRequest(req *request, e *fakeEngine) {
	hit := e.cachedPrefix(req.chat, req.prompt)
	req.engine = e
	req.cost = admission.Cost(req.prompt, hit, req.output)
	e.running[req] = struct{}{}
	e.load += req.cost
	if w.eligible(e) {
		w.poolLoad[e.pool] += req.cost
	}
	w.m.admitted(w, req, e, hit)
	e.cachePrefix(req.chat, req.prompt+req.output)
	took := time.Duration(req.output)*tokenTime + time.Duration(req.prompt-hit)*prefillTime
	w.after(took, func() { w.endRequest(req, true) })
}

func (w *world) endRequest(req *request, ok bool) {
	if req.done {
		return
	}
	req.done = true
	e := req.engine
	delete(e.running, req)
	e.load -= req.cost
	if w.eligible(e) {
		w.poolLoad[e.pool] -= req.cost
	}
	if req.finish != nil {
		req.finish(ok)
	}
	c := &w.chats[req.chat]
	if ok {
		c.prefix = int32(req.prompt + req.output)
	}
	if c.prefix > maxPrompt {
		c.prefix = int32(300 + w.rnd.IntN(500)) // a new topic, whose prefix is not cached
		for _, p := range w.pools[e.pool] {
			p.evictPrefix(req.chat)
		}
	}
	w.scheduleNextTurn(req.chat)
}

// scheduleNextTurn schedules the chat's next turn or makes the chat idle.
func (w *world) scheduleNextTurn(id int32) {
	if w.rnd.Float64() < continueProb {
		w.after(w.gap(), func() { w.turn(id) })
		return
	}
	w.chats[id].active = false
	if a := w.chats[id].account; a == w.surgeAccount {
		// Replaces an ended chat of the account, so that the surge continues.
		w.startChat(w.gap(), a)
	}
}
