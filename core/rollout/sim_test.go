package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	simPool = fleet.PoolID("s")
	simStep = 50 * time.Millisecond
)

// history is one random roll-out.
type history struct {
	seed                 uint64
	instances, servers   int
	perSecond            float64
	duration             time.Duration
	bad                  bool
	failRate, slowFactor float64 // of the new version, where its fault shows
	faultFrom            time.Duration
	underLoad            bool // the fault shows at a server only at the load of the old ones
	oneRoute             bool
	baseFail             float64 // of both versions
	// An event of the history begins at the time and lasts so long.
	outageAt, outage, cutAt, cut, burstAt, crashAt, restartAt time.Duration
}

// world plays a history in virtual time. Reports are exchanged each 200 ms, as in a small fleet.
type world struct {
	history
	rnd     *rand.Rand
	now     time.Time
	order   *Order
	edges   []*Tracker
	starts  []uint64
	servers []Server
	running map[fleet.ServerID]int
	stored  *State
	pending map[int64][]func()

	arrived, exposed, badAnswers int
	fiftieth, lastSent           time.Time
	completed, rolledBack        time.Duration
}

var simEpoch = time.Unix(1_800_000_000, 0)

func (w *world) config() Config {
	return Config{Share: 0.1, Slack: 50, RollbackLimit: 5 * time.Second, MoveShare: 0.25, MaxMove: 10 * time.Second}
}

func (w *world) age() time.Duration { return w.now.Sub(simEpoch) }

func during(at, d, age time.Duration) bool { return d > 0 && age >= at && age < at+d }

// start starts or restarts an instance.
func (w *world) start(i int, known bool) {
	t := New(w.config(), w.rnd.Float64)
	if known {
		t.SetOrders(w.now.Add(-time.Second), w.now.Add(-time.Second), nil, true)
	}
	t.SetServers(w.now, simPool, w.servers)
	w.edges[i] = t
	w.starts[i]++
	if !known {
		w.setOrder(t)
	}
}

func (w *world) setOrder(t *Tracker) {
	t.SetOrders(w.now, w.now, map[fleet.PoolID]*Order{simPool: w.order}, false)
}

// simWarmup is the time before the order, in which instances learn how long answers take.
const simWarmup = 10 * time.Second

func play(h history) *world {
	w := &world{history: h, rnd: rand.New(rand.NewPCG(h.seed, 1)), now: simEpoch.Add(-simWarmup), running: map[fleet.ServerID]int{}, pending: map[int64][]func(){}}
	w.order = &Order{Row: 7, To: "v2", Duration: h.duration}
	for i := range h.servers {
		w.servers = append(w.servers,
			Server{ID: fleet.ServerID(fmt.Sprint("old", i)), Version: "v1", StartMillis: 1, Taking: true},
			Server{ID: fleet.ServerID(fmt.Sprint("new", i)), Version: "v2", StartMillis: 2, Taking: true, ColdUntil: simEpoch.Add(time.Second)})
	}
	w.edges, w.starts = make([]*Tracker, h.instances), make([]uint64, h.instances)
	for i := range w.edges {
		w.start(i, true)
	}
	for step := -int64(simWarmup / simStep); w.age() < h.duration+time.Second; step++ {
		w.now = simEpoch.Add(time.Duration(step) * simStep)
		for i := 0; step == 0 && i < h.instances; i++ {
			w.edges[i].SetOrders(w.now.Add(-time.Second), w.now.Add(-time.Second), nil, false)
			w.setOrder(w.edges[i])
		}
		if w.age() == h.restartAt && h.restartAt > 0 {
			w.start(w.rnd.IntN(h.instances), false)
		}
		for _, f := range w.pending[step] {
			f()
		}
		delete(w.pending, step)
		w.arrive(step)
		if step%4 == 0 {
			w.exchange()
		}
		if step%2 == 0 {
			w.work()
		}
	}
	return w
}

// isCut reports whether an instance has no contact to the store and to peers; a third of them
// is cut off together.
func (w *world) isCut(i int) bool { return i%3 == 0 && during(w.cutAt, w.cut, w.age()) }

func (w *world) arrive(step int64) {
	rate := w.perSecond
	if during(w.burstAt, 2*time.Second, w.age()) {
		rate *= 3
	}
	mean := rate * simStep.Seconds()
	n := max(0, int(math.Round(mean+math.Sqrt(mean)*w.rnd.NormFloat64())))
	for range n {
		w.request(step, w.rnd.IntN(w.instances))
	}
}

func (w *world) request(step int64, i int) {
	if w.age() >= 0 && w.age() < w.duration {
		w.arrived++
	}
	t := w.edges[i]
	c := t.Choose(w.now, simPool, w.rnd.Uint64(), true)
	best, load := (*Server)(nil), 0
	for at := range w.servers {
		s := &w.servers[(at+1000+int(step)+i)%len(w.servers)]
		gone := w.completed > 0 && s.Version == "v1"
		if n := w.running[s.ID]; !gone && (c == nil || !c.Excludes(s.ID)) && (best == nil || n < load) {
			best, load = s, n
		}
	}
	if best == nil {
		t.Abandon(c)
		return
	}
	t.Placed(c, best.ID, true)
	if best.Version == "v2" && w.completed == 0 {
		w.lastSent = w.now
		if w.age() < w.duration {
			w.exposed++
		}
	}
	w.answer(step, t, best.ID, best.Version == "v2", load)
}

func (w *world) answer(step int64, t *Tracker, id fleet.ServerID, fresh bool, load int) {
	route := []string{"a", "b", "c"}[w.rnd.IntN(3)]
	took := 100 * math.Exp(0.3*w.rnd.NormFloat64()) * (1 + 0.1*float64(load))
	o := Good
	faulty := fresh && w.bad && w.age() >= w.faultFrom && (!w.oneRoute || route == "a") &&
		(!w.underLoad || float64(load+1) >= 0.5*w.perSecond*0.1/float64(w.history.servers))
	switch {
	case w.rnd.Float64() < w.baseFail, faulty && w.rnd.Float64() < w.failRate:
		o = Failed
	case faulty && w.slowFactor > 1:
		took *= w.slowFactor
	}
	// One server of each version crashes and is back after a second.
	if (id == "new0" || id == "old0") && during(w.crashAt, time.Second, w.age()) {
		o, took = Lost, 1
	}
	w.running[id]++
	a := Attempt{Pool: simPool, Route: route, Server: id, Outcome: o, Took: time.Duration(took * float64(time.Millisecond)), Running: load}
	d := t.Begin(w.now, a)
	end := step + 1 + int64(took*float64(time.Millisecond)/float64(simStep))
	w.pending[end] = append(w.pending[end], func() {
		w.running[id]--
		t.End(w.now, d, a)
		if w.completed == 0 && fresh && faulty && (o == Failed || w.slowFactor > 1) {
			if w.badAnswers++; w.badAnswers == 50 {
				w.fiftieth = w.now
			}
		}
	})
}

func (w *world) exchange() {
	for i, t := range w.edges {
		reports := t.Reports(w.now, "z", false, Recipients{Counters: w.instances}).Own
		for j, to := range w.edges {
			if i != j && !w.isCut(i) && !w.isCut(j) && w.rnd.Float64() > 0.05 {
				to.Merge(w.now, Source{fleet.InstanceID(fmt.Sprint(i)), w.starts[i]}, "z", reports)
			}
		}
	}
}

// work lets each instance judge, read and write as cmd/internal/edge does.
func (w *world) work() {
	for i, t := range w.edges {
		t.Judge(w.now, "z")
		tasks := t.Tasks(w.now, func(fleet.PoolID) int { return i }, func(id fleet.ServerID) int { return w.running[id] })
		if w.isCut(i) || during(w.outageAt, w.outage, w.age()) {
			continue
		}
		for _, task := range tasks {
			if t.Stored(w.now, simPool, w.stored, task.Next) {
				s := task.Next
				w.stored = &s
				t.Written(w.now, simPool, s)
			}
		}
	}
	if w.stored != nil && w.completed == 0 && w.stored.Phase == Completed {
		w.completed = w.age()
	}
	if w.stored != nil && w.rolledBack == 0 && w.stored.Phase == RolledBack {
		w.rolledBack = w.age()
	}
}
