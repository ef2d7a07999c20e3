package rollout

import (
	"math"
	"time"
)

// slowFactor is the multiple of the median time of the old version from which an answer is
// slow. Bad versions take several times as long.
const slowFactor = 2

// minSlowExtra is the least time in ms by which a slow answer takes longer than usual. A new
// server needs a connection first, which costs a round trip.
const minSlowExtra = 10

// minTypical is the number of answers of the old version from which the median is used.
const minTypical = 10

// slow returns 1 for a slow answer and 0 for another one; old is set for a server of another
// version. Until a route has enough answers, it is compared with all routes of the pool: an
// instance with little traffic would else see no slow answers during an order. A route that is
// slower than others then counts as slow for both versions.
func (e *evidence) slow(old bool, a *Attempt) uint32 {
	slow := e.isSlow(a)
	if old {
		e.typicalOf(cellID(oldRoute, a.Route)).add(a)
		e.typicalOf(cellID(oldRoute, allRoutes)).add(a)
	}
	return slow
}

// isSlow returns 1 if the time of the answer is slow and 0 otherwise.
func (e *evidence) isSlow(a *Attempt) uint32 {
	route, all := e.typicalOf(cellID(oldRoute, a.Route)), e.typicalOf(cellID(oldRoute, allRoutes))
	if route.ratios.total >= minTypical && route.isSlow(a) || route.ratios.total < minTypical && all.ratios.total >= minTypical && all.isSlow(a) {
		return 1
	}
	return 0
}

// allRoutes is the name under which the times of all routes of a pool are kept.
const allRoutes = "\x00"

func (e *evidence) typicalOf(id CellID) *typicalTime {
	t := e.typical[id]
	if t == nil {
		t = &typicalTime{}
		if len(e.typical) < maxCells {
			e.typical[id] = t
		}
	}
	return t
}

// ratio returns the time of an answer in ms, what is expected at the load of the server, and
// the quotient of both.
func (t *typicalTime) ratio(a *Attempt) (took, expected, ratio float64) {
	took = float64(a.Took) / float64(time.Millisecond)
	if expected = float64(a.Expected) / float64(time.Millisecond); expected <= 0 {
		expected = t.line.at(float64(a.Running))
	}
	expected = max(expected, minExpected)
	return took, expected, took / expected
}

func (t *typicalTime) isSlow(a *Attempt) bool {
	took, expected, ratio := t.ratio(a)
	usual := t.ratios.median()
	return ratio > slowFactor*usual && took > usual*expected+minSlowExtra
}

func (t *typicalTime) add(a *Attempt) {
	took, _, ratio := t.ratio(a)
	if a.Expected <= 0 {
		t.line.add(float64(a.Running), took)
		if t.line.n < 2 {
			return // there was nothing to compare the first one with
		}
	}
	t.ratios.add(ratio)
}

// minExpected is the least expected time, in ms.
const minExpected = 0.1

// typicalTime describes the times of the versions in use on one route.
type typicalTime struct {
	// line is the time in ms by the number of requests that the server runs.
	line line
	// ratios are the times as multiples of the expected ones.
	ratios histogram
}

// line is a linear regression that forgets old values.
type line struct{ n, x, y, xx, xy float64 }

const (
	// maxLine is the number of values at which their weights are halved.
	maxLine = 2000
	// minOfMean limits the extrapolation to other loads, as a fraction of the mean.
	minOfMean = 0.2
)

func (l *line) add(x, y float64) {
	l.n, l.x, l.y, l.xx, l.xy = l.n+1, l.x+x, l.y+y, l.xx+x*x, l.xy+x*y
	if l.n >= maxLine {
		l.n, l.x, l.y, l.xx, l.xy = l.n/2, l.x/2, l.y/2, l.xx/2, l.xy/2
	}
}

// at returns the value of the line at x, 0 without any values.
func (l *line) at(x float64) float64 {
	if l.n == 0 {
		return 0
	}
	meanX, meanY, slope := l.x/l.n, l.y/l.n, 0.0
	if variance := l.xx/l.n - meanX*meanX; variance > 1e-9 && l.n >= minTypical {
		slope = max(0, (l.xy/l.n-meanX*meanY)/variance)
	}
	return max(minOfMean*meanY, meanY+slope*(x-meanX))
}

// histogram counts positive values in buckets of a constant ratio.
type histogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

const (
	histogramBuckets = 160
	// bucketsPerDoubling and lowestExponent place the buckets from 2^-10 to 2^30.
	bucketsPerDoubling = 4
	lowestExponent     = -10
	// maxHistogram is the count at which all counts are halved, so that old values fade.
	maxHistogram = 2000
)

func (h *histogram) add(v float64) {
	i := int((math.Log2(max(v, 1e-9)) - lowestExponent) * bucketsPerDoubling)
	h.counts[min(max(i, 0), histogramBuckets-1)]++
	if h.total++; h.total < maxHistogram {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// median returns the middle of the bucket that contains the median.
func (h *histogram) median() float64 {
	n := uint32(0)
	for i, c := range h.counts {
		if n += c; 2*n >= h.total {
			return math.Exp2((float64(i)+0.5)/bucketsPerDoubling + lowestExponent)
		}
	}
	return 0
}
