package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// pace estimates how long work takes on the machine of a server, relative to its usual
// time, from the figures that the server states in its responses. A server that shares its
// machine with others changes its figure several times within 200 ms. It is guarded by the
// lock of its pool.
type pace struct {
	// last is the figure of the last report and mean the average over paceMeanTime, both
	// relative to the usual time. A zero at means that the server never stated a figure.
	last, mean float64
	at         time.Time
}

const (
	// paceFreshTime is the time constant with which the last figure loses its weight
	// against the mean. It is of the order of the interval between two changes.
	paceFreshTime = 60 * time.Millisecond
	// paceMeanTime is the time constant of the mean, several hundred changes.
	paceMeanTime = 3 * time.Second
	// paceForgetTime is the time constant with which the mean returns to the usual pace
	// without reports, so that an avoided server gets requests again, whose responses state
	// the present figure.
	paceForgetTime = 2 * time.Second
	// paceFirstWeight is the weight in the mean of the first report, and of the first one
	// after a long silence: one figure says little about seconds.
	paceFirstWeight = 0.25
	// minPace and maxPace bound the figures that are used.
	minPace, maxPace = 0.25, 10
)

// observe adds a reported figure.
func (p *pace) observe(now time.Time, figure float64) {
	figure = min(maxPace, max(minPace, figure))
	mean, weight := 1.0, paceFirstWeight
	if age := now.Sub(p.at); !p.at.IsZero() {
		mean = p.longTerm(age)
		weight = min(weight, -math.Expm1(-float64(max(0, age))/float64(paceMeanTime)))
	}
	p.last, p.mean, p.at = figure, mean+weight*(figure-mean), now
}

// longTerm is the mean that is expected at an age of the last report.
func (p *pace) longTerm(age time.Duration) float64 {
	if age <= paceFreshTime {
		return p.mean
	}
	return 1 + (p.mean-1)*math.Exp(-float64(age-paceFreshTime)/float64(paceForgetTime))
}

// factor is the expected time of work relative to the usual one, 1 if the server never
// stated its pace. A figure that is slower than the mean counts by its age. One that is
// faster than the mean or than usual does not count: all instances would send to that server
// at once, and it would be slow by the time their requests arrive.
func (p *pace) factor(now time.Time) float64 {
	if p.at.IsZero() {
		return 1
	}
	age := max(0, now.Sub(p.at))
	mean := max(1, p.longTerm(age))
	if p.last <= mean {
		return mean
	}
	return mean + (p.last-mean)*math.Exp(-float64(age)/float64(paceFreshTime))
}

// NotePace records the pace that a server of a pool stated: how long work takes on its
// machine, in percent of the usual time. Values that are not positive numbers are ignored.
func (b *Balancer) NotePace(now time.Time, id fleet.PoolID, server fleet.ServerID, percent float64) {
	if !(percent > 0) || math.IsInf(percent, 1) {
		return
	}
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[server]; s != nil {
		s.pace.observe(now, percent/100)
	}
}
