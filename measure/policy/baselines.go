package policy

import (
	"math"
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
)

// picker is a baseline that chooses an engine without waiting.
type picker interface {
	pick(w *world, req *request) *fakeEngine
}

// immediate adapts a picker to the policy interface.
type immediate struct{ picker }

func (i immediate) place(w *world, req *request, then func(*fakeEngine)) { then(i.pick(w, req)) }

// uniform picks an eligible engine uniformly at random.
type uniform struct{}

func (uniform) pick(w *world, req *request) *fakeEngine {
	p := w.eligibleOf(req)
	return p[w.rnd.IntN(len(p))]
}

func (w *world) eligibleOf(req *request) []*fakeEngine {
	all := w.pools[int(req.chat)%w.size.Models]
	out := w.scratch[:0]
	for _, e := range all {
		if w.eligible(e) {
			out = append(out, e)
		}
	}
	w.scratch = out
	return out
}

// twoChoices picks the less loaded of two random engines, going by load reports
// that are 2 s old.
type twoChoices struct{}

func (twoChoices) pick(w *world, req *request) *fakeEngine {
	p := w.eligibleOf(req)
	a, b := p[w.rnd.IntN(len(p))], p[w.rnd.IntN(len(p))]
	if b.report(w.now, maxReportLag).Load < a.report(w.now, maxReportLag).Load {
		return b
	}
	return a
}

// localBound is consistent hashing with bounded loads, where each instance
// counts only the load that it placed itself and bounds it by loadBound times
// its own mean.
type localBound struct {
	loads [][]int64 // by instance and engine
	sums  [][]int64 // by instance and pool
}

func newLocalBound(w *world) *localBound {
	l := &localBound{}
	for range w.size.Instances {
		l.loads = append(l.loads, make([]int64, w.size.Engines))
		l.sums = append(l.sums, make([]int64, w.size.Models))
	}
	return l
}

func (l *localBound) pick(w *world, req *request) *fakeEngine {
	in := w.rnd.IntN(w.size.Instances)
	p := w.eligibleOf(req)
	pool := p[0].pool
	cost := int64(req.output + 100)
	limit := loadBound * (float64(l.sums[in][pool]+cost) / float64(len(p)))
	var best *fakeEngine
	top := math.Inf(-1)
	for _, e := range p {
		i := w.engineNumber(e)
		s := fleet.Score(uint64(req.chat)+1, uint64(i)+1000, 1)
		if used := l.loads[in][i]; used > 0 && float64(used+cost) > limit {
			s -= 1e12 // ranks after every engine under the bound
		}
		if s > top {
			top, best = s, e
		}
	}
	i := w.engineNumber(best)
	l.loads[in][i] += cost
	l.sums[in][pool] += cost
	req.finish = func(bool) {
		l.loads[in][i] -= cost
		l.sums[in][pool] -= cost
	}
	return best
}

// oracle knows every cache and every load. It keeps a chat on the engine with
// the longest prefix while that is under the load bound, and otherwise takes
// the least loaded engine. It respects the capacity and the cold-start ramp.
type oracle struct{}

func (oracle) pick(w *world, req *request) *fakeEngine {
	p := w.eligibleOf(req)
	mean := w.mean(p[0].pool)
	var warm, least *fakeEngine
	longest := 0
	for _, e := range p {
		hit := e.cachedPrefix(req.chat, req.prompt)
		cost := admission.Cost(req.prompt, hit, req.output)
		if !w.fits(e, cost) {
			continue
		}
		if least == nil || e.load < least.load {
			least = e
		}
		if hit > longest && float64(e.load+cost) <= loadBound*(mean+float64(cost)/float64(len(p))) {
			longest, warm = hit, e
		}
	}
	if warm != nil {
		return warm
	}
	return least
}

// fits reports whether the engine's capacity and ramp allow the cost.
func (w *world) fits(e *fakeEngine, cost int64) bool {
	if most := int64(e.server.MaxLoadTokens); most > 0 && e.load+cost > most {
		return false
	}
	if e.coldSince < 0 {
		return true
	}
	return e.load+cost <= w.ramp(e)
}

// ramp returns the load cap of a cold engine, computed from the true state.
func (w *world) ramp(e *fakeEngine) int64 {
	age := w.now - e.coldSince
	if e.coldSince < 0 || age >= coldSeconds*time.Second {
		return math.MaxInt64
	}
	return admission.RampCap(admission.LimitsOf(w.index, e.server), age, w.mean(e.pool))
}
