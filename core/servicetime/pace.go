package servicetime

import "time"

const (
	// paceWindow is the period in which the present pace is measured: the current one and the
	// one before.
	paceWindow = time.Second
	// minPaceParts is the number of parts from which the present pace is known.
	minPaceParts = 20
	// paceMemory is the number of parts above which earlier ones count half.
	paceMemory = 100_000
)

// gaps sums up times between parts of responses.
type gaps struct {
	sum   time.Duration
	count int
}

func (g gaps) mean() float64 { return float64(g.sum) / float64(g.count) }

// pace compares the time between parts at present with that of all times.
type pace struct {
	window            int64 // number of the current window since the epoch
	current, previous gaps
	all               gaps
}

func (p *pace) add(now time.Time, gap time.Duration) {
	p.advance(now)
	p.current.sum += gap
	p.current.count++
	p.all.sum += gap
	if p.all.count++; p.all.count > paceMemory {
		p.all.sum, p.all.count = p.all.sum/2, p.all.count/2
	}
}

// advance begins the window of now.
func (p *pace) advance(now time.Time) {
	switch w := now.UnixNano() / int64(paceWindow); w - p.window {
	case 0:
	case 1:
		p.window, p.previous, p.current = w, p.current, gaps{}
	default:
		p.window, p.previous, p.current = w, gaps{}, gaps{}
	}
}

// slowdown returns how many times as long the gaps between parts are at present, at least 1.
func (p *pace) slowdown(now time.Time) float64 {
	p.advance(now)
	recent := gaps{p.current.sum + p.previous.sum, p.current.count + p.previous.count}
	if recent.count < minPaceParts {
		return 1
	}
	return max(1, recent.mean()/p.all.mean())
}
