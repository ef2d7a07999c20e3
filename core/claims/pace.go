package claims

import "time"

// paceBurst is the number of writes that a partition may make at once after a
// quiet time. At half of the budget, bursts of 2, 4 and 8 give a p99 wait of 48,
// 36 and 5 ms; 8 lets the fleet exceed its budget by at most 128 writes, once.
const paceBurst = 8

// pacer is a token bucket for the writes of one partition.
type pacer struct {
	rate   float64
	tokens float64
	at     time.Time
}

func (p *pacer) refill(now time.Time) {
	if !p.at.IsZero() && now.After(p.at) {
		p.tokens = min(paceBurst, p.tokens+now.Sub(p.at).Seconds()*p.rate)
	}
	if p.at.IsZero() || now.After(p.at) {
		p.at = now
	}
}

// until returns the time until the bucket holds n writes.
func (p *pacer) until(now time.Time, n float64) time.Duration {
	p.refill(now)
	if p.rate <= 0 || p.tokens >= n {
		return 0
	}
	return time.Duration((n-p.tokens)/p.rate*float64(time.Second)) + time.Microsecond
}

// wait returns the time until a write is allowed.
func (p *pacer) wait(now time.Time) time.Duration { return p.until(now, 1) }

// spareIn returns the time until a write of low priority would delay no claim.
func (p *pacer) spareIn(now time.Time) time.Duration { return p.until(now, paceBurst) }

// take takes one write.
func (p *pacer) take(now time.Time) {
	p.refill(now)
	p.tokens--
}
