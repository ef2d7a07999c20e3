package rollout

import (
	"fmt"
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// A version is bad if its rate of failures is too unlikely at the rate that is accepted.
const (
	// verdictThreshold is the negative logarithm of the largest probability of the bad answers
	// at the accepted rate: 10 is one in 22,000 at one look at one rate. Looks follow each other
	// with little new evidence, so that a roll-out has some ten independent ones.
	verdictThreshold = 10
	// moveThreshold applies in the move, in which there are few looks and little time: 6 is one
	// in 400.
	moveThreshold = 6
	// doubtThreshold is the same for the evidence that stops a larger part of the requests.
	doubtThreshold = 3
	// rateMargin is the multiple of the old version's rate that is accepted.
	rateMargin = 1.5
	// Rates that are accepted even if the old version has lower ones. With 4 of 100 answers
	// bad, 50 bad answers are enough for a verdict.
	acceptedFailed = 0.01
	acceptedSlow   = 0.1
	acceptedLost   = 0.25
	// minOtherShare is the part of the bad answers that has to come from other servers than
	// the worst one, if several are observed, and minOther their least number.
	minOtherShare = 0.25
	minOther      = 3
)

// measure is one kind of bad attempts.
type measure struct {
	name     string
	accepted float64
	bad, all func(Cell) uint32
}

var measures = []measure{
	{"failed", acceptedFailed, func(c Cell) uint32 { return c.Failed }, func(c Cell) uint32 { return c.Answers }},
	{"slow", acceptedSlow, func(c Cell) uint32 { return c.Slow }, func(c Cell) uint32 { return c.Answers }},
	{"lost", acceptedLost, func(c Cell) uint32 { return c.Lost }, func(c Cell) uint32 { return c.Answers + c.Lost }},
}

// windows are the times over which evidence is judged besides the time since the order. Faults
// that begin late or under load would else be diluted by the good answers before.
var windows = [...]time.Duration{1500 * time.Millisecond, 4 * time.Second}

// snapshotInterval is the time between two snapshots of the counters for the windows.
const snapshotInterval = 500 * time.Millisecond

// snapshot is the sum of the counters of all instances at a time.
type snapshot struct {
	at    time.Time
	cells Cells
}

// minus returns the attempts since earlier counters.
func (c Cells) minus(o Cells) Cells {
	out := make(Cells, len(c))
	less := func(a, b uint32) uint32 { return a - min(a, b) }
	for id, x := range c {
		y := o[id]
		if d := (Cell{less(x.Answers, y.Answers), less(x.Failed, y.Failed), less(x.Slow, y.Slow), less(x.Lost, y.Lost)}); d != (Cell{}) {
			out[id] = d
		}
	}
	return out
}

// periods returns the attempts since the order and those in the windows up to now. It takes a
// snapshot if the last one is old enough.
func (e *evidence) periods(now time.Time, own fleet.DataCentreID) []Cells {
	sum := Cells{}
	for _, cells := range e.dataCentres(own) {
		sum.addAll(cells)
	}
	out := []Cells{sum}
	for _, w := range windows {
		for i := len(e.snapshots) - 1; i >= 0; i-- {
			if s := &e.snapshots[i]; now.Sub(s.at) >= w {
				out = append(out, sum.minus(s.cells))
				break
			}
		}
	}
	if n := len(e.snapshots); n == 0 || now.Sub(e.snapshots[n-1].at) >= snapshotInterval {
		e.snapshots = append(e.snapshots, snapshot{now, sum})
		if longest := windows[len(windows)-1]; len(e.snapshots) > int(longest/snapshotInterval)+2 {
			e.snapshots = e.snapshots[1:]
		}
	}
	return out
}

// judge returns why the version is bad, or "" if the evidence is below the threshold.
func (e *evidence) judge(sum Cells, threshold float64) string {
	var allNew, allOld Cell
	var servers []Cell
	for id, c := range sum {
		switch id & kindMask {
		case oldRoute:
			allOld = allOld.plus(c)
		case newRoute:
			allNew = allNew.plus(c)
		case newServer:
			servers = append(servers, c)
		}
	}
	for _, m := range measures {
		if !m.isSpread(servers) {
			continue
		}
		if m.exceeds(allNew, allOld, threshold) {
			return m.describe("all routes", allNew, allOld)
		}
		for id, c := range sum {
			old := sum[id&^kindMask] // the same route at other versions
			if id&kindMask == newRoute && m.exceeds(c, old, threshold) {
				return m.describe("route "+e.name(id), c, old)
			}
		}
	}
	return ""
}

func (m *measure) describe(what string, c, old Cell) string {
	return fmt.Sprintf("%s: %d of %d %s, %d of %d at other versions", what, m.bad(c), m.all(c), m.name, m.bad(old), m.all(old))
}

// exceeds reports whether the rate of the new version is higher than accepted.
func (m *measure) exceeds(c, old Cell, threshold float64) bool {
	n, bad := float64(m.all(c)), float64(m.bad(c))
	// One bad answer more than seen: without answers of the old version there is no verdict.
	accepted := max(m.accepted, rateMargin*float64(m.bad(old)+1)/float64(m.all(old)+2))
	return accepted < 1 && n > 0 && bad/n > accepted && n*divergence(bad/n, accepted) > threshold
}

// divergence is the Kullback-Leibler divergence of two probabilities. The probability of a
// rate of at least p in n trials of probability q is at most exp(-n*divergence(p, q)).
func divergence(p, q float64) float64 {
	d := 0.0
	if p > 0 {
		d += p * math.Log(p/q)
	}
	if p < 1 {
		d += (1 - p) * math.Log((1-p)/(1-q))
	}
	return d
}

// isSpread reports whether the bad attempts come from several servers, or only one was used.
func (m *measure) isSpread(servers []Cell) bool {
	total, worst, used := uint32(0), uint32(0), 0
	for _, c := range servers {
		total += m.bad(c)
		worst = max(worst, m.bad(c))
		if m.all(c) > 0 {
			used++
		}
	}
	other := total - worst
	return used < 2 || other >= minOther && float64(other) >= minOtherShare*float64(total)
}
