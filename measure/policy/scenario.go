package policy

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/manifest"
)

// Scenario selects the events during a run.
type Scenario string

const (
	Steady Scenario = "steady"
	// Churn replaces a tenth of the engines an hour, takes a data centre out of
	// service and back, and crashes one instance.
	Churn Scenario = "churn"
	// Surge multiplies the requests of the largest account by ten.
	Surge Scenario = "surge"
)

// Run holds the parameters of one measured run.
type Run struct {
	Size               Size
	Scenario           Scenario
	Policy             string
	AdmittersPerEngine int
	Params             admission.Params
	Seed               uint64
	Warmup             time.Duration
	Measured           time.Duration
	// LearnCache omits the engines' cache sizes from the manifest, so that the
	// router has to learn them.
	LearnCache bool
}

// Result holds the measurements of a run.
type Result struct {
	*metrics
	RemoteCallsPerRequest float64
	// BytesPerSecond is the control traffic of the busiest instance and MeanBytes
	// that of all, in bytes a second.
	BytesPerSecond, MeanBytes float64
	Verdicts                  [16]int64
	// MeanWait is the time that a request waited for its warm engine.
	MeanWait time.Duration
}

// surgeCapacity is the absolute capacity of an engine in the surge scenario, as
// a multiple of the mean load before the surge.
const surgeCapacity = 1.5

// Do executes the run.
func (r Run) Do() Result {
	w := newWorld(r.Size, r.Seed)
	if r.LearnCache {
		for i := range w.manifest.Servers {
			w.manifest.Servers[i].CacheTokens = 0
		}
	}
	w.m.from, w.m.until = r.Warmup, r.Warmup+r.Measured
	var routed *routers
	switch r.Policy {
	case "router":
		routed = newRouters(w, max(r.AdmittersPerEngine, 1), r.Params)
		w.policy = routed
	case "uniform":
		w.policy = immediate{uniform{}}
	case "two_choices":
		w.policy = immediate{twoChoices{}}
	case "local_bound":
		w.policy = immediate{newLocalBound(w)}
	case "oracle":
		w.policy = immediate{oracle{}}
	}
	w.startTraffic()
	switch r.Scenario {
	case Churn:
		w.churn(r, routed)
	case Surge:
		w.every(r.Warmup/2, time.Second, w.sampleMean)
		w.at(r.Warmup, func() { w.startSurge(0) })
	}
	w.run(r.Warmup)
	var before int64
	if routed != nil {
		for _, in := range routed.instances {
			in.controlBytes = 0
		}
		before = routed.remoteCalls
		routed.requests = 0
		routed.verdicts, routed.totalWait = [16]int64{}, 0
	}
	w.run(r.Warmup + r.Measured)
	res := Result{metrics: w.m}
	if routed != nil {
		res.RemoteCallsPerRequest = float64(routed.remoteCalls-before) / float64(routed.requests)
		for _, in := range routed.instances {
			b := float64(in.controlBytes) / r.Measured.Seconds()
			res.BytesPerSecond = max(res.BytesPerSecond, b)
			res.MeanBytes += b / float64(len(routed.instances))
		}
		res.Verdicts = routed.verdicts
		res.MeanWait = routed.totalWait / time.Duration(routed.requests)
	}
	return res
}

const (
	replacedPerHour = 0.1
	replaceTime     = 30 * time.Second
)

// churn schedules the faults of the measured period.
func (w *world) churn(r Run, routed *routers) {
	gap := time.Duration(float64(time.Hour) / (replacedPerHour * float64(len(w.engines))))
	for t := r.Warmup + gap/2; t < r.Warmup+r.Measured; t += gap {
		e := w.engines[w.rnd.IntN(len(w.engines))]
		w.at(t, func() { w.takeDown(e) })
		w.at(t+replaceTime, func() {
			e.restart(w.now)
			w.recomputeLoads()
		})
	}
	dc := w.size.DataCentres - 1
	w.at(r.Warmup+r.Measured/6, func() { w.dataCentreOut(dc) })
	w.at(r.Warmup+r.Measured/2, func() { w.dataCentreIn(dc) })
	if routed != nil {
		w.at(r.Warmup+r.Measured/8, func() { routed.crash(1) })
	}
}

func (w *world) takeDown(e *fakeEngine) {
	e.up = false
	w.breakStreams(func(req *request) bool { return req.engine == e })
	e.load = 0
	w.recomputeLoads()
}

// breakStreams ends requests in the order of their chats, so that a run is
// reproducible from its seed.
func (w *world) breakStreams(broken func(*request) bool) int {
	var list []*request
	for _, e := range w.engines {
		for req := range e.running {
			if broken(req) {
				list = append(list, req)
			}
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.chat, b.chat) })
	for _, req := range list {
		w.endRequest(req, false)
	}
	return len(list)
}

func (w *world) dataCentreOut(dc int) {
	w.outDC = dc
	w.recomputeLoads()
	w.configure(func(m *manifest.Manifest) { m.DataCentres[dc].State = manifest.StateOut })
}

// dataCentreIn brings the data centre back with cold caches: its engines were
// restarted meanwhile. An engine that is being replaced stays down.
func (w *world) dataCentreIn(dc int) {
	w.breakStreams(func(req *request) bool { return req.engine.dc == dc })
	for _, e := range w.engines {
		if e.dc == dc && e.up {
			e.restart(w.now)
		}
	}
	w.outDC = -1
	w.recomputeLoads()
	w.configure(func(m *manifest.Manifest) { m.DataCentres[dc].State = manifest.StateIn })
}

// sampleMean adds a sample to the mean load of an engine over time.
func (w *world) sampleMean() {
	for p := range w.pools {
		w.meanSum += w.mean(p)
		w.meanCount++
	}
}

// startSurge sets the capacity and multiplies the chats of the account by ten.
func (w *world) startSurge(account int32) {
	w.surgeAccount = account
	total := w.meanSum / float64(w.meanCount)
	w.configure(func(m *manifest.Manifest) {
		m.Servers = append([]manifest.Server(nil), m.Servers...)
		for i := range m.Servers {
			m.Servers[i].MaxLoadTokens = int(surgeCapacity * total)
			w.engines[i].server = &m.Servers[i]
		}
	})
	live := 0
	for i := range w.chats {
		if w.chats[i].active && w.chats[i].account == account {
			live++
		}
	}
	for range 9 * live {
		w.startChat(w.gap(), account)
	}
}
