package policy

import (
	"time"

	"cyclamenhitch/core/admission"
)

// detectionTime is the longest time until instances detect a failure.
const detectionTime = 3 * time.Second

// Fault is the fault injected in a recovery run.
type Fault string

const (
	NoFault        Fault = "none"
	KillInstance   Fault = "instance"
	KillDataCentre Fault = "data_centre"
	CutRegion      Fault = "region_cut"
)

// regionCutDuration is how long a region is partitioned off.
const regionCutDuration = 2 * time.Minute

// secondStats counts the requests and prompt tokens of one second of virtual time.
type secondStats struct {
	offered, refused int64
	prompt, hit      int64
	overBound        bool
}

// recovery records a run with a fault by second.
type recovery struct {
	r             *routers
	fault         time.Duration
	seconds       []secondStats
	ratio         float64 // largest after the fault
	brokenStreams int     // streams ended by the fault
	primariesLost int     // live engines whose primary admitter was killed
	// unadmitted holds the live engines whose primary admitter was killed and that
	// have not been sent a request since.
	unadmitted      map[*fakeEngine]bool
	readmittedAfter time.Duration
}

func (c *recovery) now(w *world) *secondStats {
	i := int(w.now / time.Second)
	for len(c.seconds) <= i {
		c.seconds = append(c.seconds, secondStats{})
	}
	return &c.seconds[i]
}

func (c *recovery) offered(w *world, ok bool) {
	s := c.now(w)
	s.offered++
	if !ok {
		s.refused++
	}
}

func (c *recovery) admitted(w *world, req *request, e *fakeEngine, hit int) {
	s := c.now(w)
	s.prompt += int64(req.prompt)
	s.hit += int64(hit)
	if c.unadmitted[e] {
		delete(c.unadmitted, e)
		c.readmittedAfter = w.now - c.fault
	}
}

// checkRatios compares the load of each live engine with the mean of the engines
// of its pool on the same side of the partition.
func (c *recovery) checkRatios(w *world) {
	s := c.now(w)
	for _, p := range w.pools {
		var load, n [2]float64
		side := func(e *fakeEngine) int {
			if c.r.inCut(e.dc) {
				return 1
			}
			return 0
		}
		for _, e := range p {
			if e.up {
				load[side(e)] += float64(e.load)
				n[side(e)]++
			}
		}
		for _, e := range p {
			if i := side(e); e.up && load[i] > 0 {
				ratio := float64(e.load) * n[i] / load[i]
				s.overBound = s.overBound || ratio > loadBound
				if w.now > c.fault {
					c.ratio = max(c.ratio, ratio)
				}
			}
		}
	}
}

// recoveryRun runs a fleet with one fault and returns its record.
func recoveryRun(size Size, fault Fault, seed uint64, at, end time.Duration) *recovery {
	w := newWorld(size, seed)
	r := newRouters(w, 1, admission.Params{})
	w.policy = r
	c := &recovery{r: r, fault: at, unadmitted: map[*fakeEngine]bool{}}
	w.m.recovery = c
	w.startTraffic()
	w.every(0, 100*time.Millisecond, func() { c.checkRatios(w) })
	w.at(at, func() { c.injectFault(w, fault) })
	w.run(end)
	return c
}

func (c *recovery) injectFault(w *world, fault Fault) {
	r := c.r
	var dead func(i int) bool
	switch fault {
	case KillInstance:
		victim := r.busiest()
		dead = func(i int) bool { return r.instances[i] == victim }
	case KillDataCentre:
		dead = func(i int) bool { return i%w.size.DataCentres == 0 }
		c.brokenStreams += w.breakStreams(func(req *request) bool { return req.engine.dc == 0 })
		for _, e := range w.engines {
			if e.dc == 0 {
				w.takeDown(e)
			}
		}
	case CutRegion:
		c.brokenStreams = r.cut(regionCutDuration, detectionTime)
		return
	default:
		return
	}
	c.brokenStreams += r.kill(dead, detectionTime)
	for _, e := range w.engines {
		if e.up && r.byID[r.table.Of(e.server.Name)[0].ID].down {
			c.unadmitted[e] = true
		}
	}
	c.primariesLost = len(c.unadmitted)
}

// busiest returns the instance that is primary admitter of the most engines, and
// the first of them on a tie.
func (r *routers) busiest() *instance {
	count := map[*instance]int{}
	for _, e := range r.w.engines {
		count[r.byID[r.table.Of(e.server.Name)[0].ID]]++
	}
	best := r.instances[0]
	for _, in := range r.instances {
		if count[in] > count[best] {
			best = in
		}
	}
	return best
}

// Recovery is the outcome of a fault.
type Recovery struct {
	// Bound and Refusals are the times from the fault to the end of the last
	// second in which an engine was over the load bound, and in which refusals
	// were above their level before the fault.
	Bound, Refusals time.Duration
	OverBound       time.Duration // seconds in which an engine was over it
	RefusedPct      float64       // of the requests during recovery
	ReuseLostPct    float64       // against the same run without the fault
}

// Refusals are back at their level before the fault when a second, or the refusalWindow seconds from
// it on, refuse at most refusalNoise above the level: without a fault, single
// requests of today's fleet are refused for the load bound (4 of 8,700 in 150 s
// with seed 2).
const (
	refusalWindow = 10
	refusalNoise  = 0.005
)

func sum(ss []secondStats) (t secondStats) {
	for _, s := range ss {
		t.offered += s.offered
		t.refused += s.refused
		t.prompt += s.prompt
		t.hit += s.hit
	}
	return t
}

// outcome compares the seconds from one time to another with base, the same run
// without the fault. The time of recovery lasts until the bound holds, refusals
// are at their level and each engine has an admitter.
func (c *recovery) outcome(base *recovery, from, to time.Duration) Recovery {
	var out Recovery
	at, stop := int(c.fault/time.Second), int(to/time.Second)
	share := func(s secondStats) float64 { return float64(s.refused) / float64(max(s.offered, 1)) }
	smooth := func(i int) float64 { return share(sum(c.seconds[i:min(i+refusalWindow, stop)])) }
	level := 0.0
	for i := at - 2*refusalWindow; i <= at-refusalWindow; i++ {
		level = max(level, smooth(i))
	}
	at = int(from / time.Second)
	for i := at; i < stop; i++ {
		end := time.Duration(i+1-at) * time.Second
		if c.seconds[i].overBound {
			out.Bound = end
			out.OverBound += time.Second
		}
		if share(c.seconds[i]) > level+refusalNoise && smooth(i) > level+refusalNoise {
			out.Refusals = end
		}
	}
	until := at + int((max(out.Bound, out.Refusals, c.readmittedAfter)+time.Second-1)/time.Second)
	a, b := sum(c.seconds[at:until]), sum(base.seconds[at:until])
	out.RefusedPct = 100 * share(a)
	reuse := func(s secondStats) float64 { return float64(s.hit) / float64(max(s.prompt, 1)) }
	if b.hit > 0 {
		out.ReuseLostPct = 100 * (1 - reuse(a)/reuse(b))
	}
	return out
}
