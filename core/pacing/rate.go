package pacing

import (
	"math"
	"time"
)

// rateWindow is the time constant of measured rates. It covers two rounds of reports.
const rateWindow = 500 * time.Millisecond

// surgeWindow is the time constant of the demand over all accounts. It notices a surge before
// the queues of the servers, which hold 60 to 240 ms of work, are full for long.
const surgeWindow = 150 * time.Millisecond

// rate is an exponentially decaying rate of events per second, over rateWindow unless another
// window is set.
type rate struct {
	value  float64
	at     time.Time
	window time.Duration
}

func (r *rate) seconds() float64 {
	if r.window > 0 {
		return r.window.Seconds()
	}
	return rateWindow.Seconds()
}

func (r *rate) add(now time.Time, n float64) {
	r.value = r.read(now) + n/r.seconds()
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/r.seconds())
}

// demand is what a flow asks this instance for.
type demand struct {
	rate
	// usual is the mean rate while the pool was not short.
	usual float64
}

// usualWindow is the time constant of the usual demand. It exceeds a surge that has not yet
// been noticed by far, and follows the course of a day.
const usualWindow = 30 * time.Second

// learnUsual updates the usual demands, elapsed after the last time. The first ones count more,
// so that an instance that has started knows them soon.
func (p *Pool) learnUsual(now time.Time, elapsed time.Duration) {
	p.learned++
	weight := min(1, max(float64(elapsed)/float64(usualWindow), 1/float64(p.learned)))
	for f, d := range p.flows {
		v := d.read(now)
		if d.usual += weight * (v - d.usual); v < minFlowRate && d.usual < minFlowRate {
			delete(p.flows, f)
		}
	}
}
