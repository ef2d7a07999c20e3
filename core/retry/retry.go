// Package retry decides whether a failed attempt may be sent again. It keeps
// one budget for each pool, with one lock each, owned by the instance.
package retry

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Eligible reports whether an attempt that ended with the outcome may be sent
// again: the request is idempotent, or the attempt is known not to have run.
func Eligible(idempotent bool, o result.Outcome) bool {
	return o == result.NotRun || idempotent && o == result.Unknown
}

const (
	// reserve is the number of retries that a pool without traffic may make, so
	// that a lone request survives one failed engine.
	reserve = 3
	// budgetWindow is how many recent requests count towards the budget.
	budgetWindow = 1000
	// defaultPercent applies to pools that Configure has not named.
	defaultPercent = 10
)

// Budgets holds the retry budget of each pool.
type Budgets struct {
	mu    sync.RWMutex
	pools map[fleet.PoolID]*budget
	// percent and burst apply to pools that Configure has not named; burst 0 means
	// the reserve and what a window of requests adds.
	percent, burst int
}

// budget is a token bucket: each first attempt adds percent/100 tokens and each
// retry takes one. It is counted in hundredths, so that it is exact.
type budget struct {
	mu      sync.Mutex
	percent int
	burst   int
	tokens  int
}

// NewBudgets returns budgets of 10% for all pools.
func NewBudgets() *Budgets {
	return &Budgets{pools: map[fleet.PoolID]*budget{}, percent: defaultPercent}
}

// SetAll sets, for all pools, the percentage of requests that may be retried and how
// many retries may be saved up, in retries. Where several instances keep to one
// bound, each saves up its share of it, so that the sum holds without a message.
func (b *Budgets) SetAll(percent, burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent, b.burst = percent, max(1, burst)
	for _, p := range b.pools {
		p.mu.Lock()
		p.percent, p.burst = b.percent, b.burst
		p.tokens = min(p.tokens, p.limit())
		p.mu.Unlock()
	}
}

// SetPercent sets the percentage of a pool. It keeps what is left of the budget.
func (b *Budgets) SetPercent(pool fleet.PoolID, percent int) {
	p := b.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.percent = percent
	p.tokens = min(p.tokens, p.limit())
}

func (b *Budgets) pool(id fleet.PoolID) *budget {
	b.mu.RLock()
	p := b.pools[id]
	b.mu.RUnlock()
	if p != nil {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p = b.pools[id]; p == nil {
		p = &budget{percent: b.percent, burst: b.burst, tokens: reserve * 100}
		p.tokens = min(p.tokens, p.limit())
		b.pools[id] = p
	}
	return p
}

func (p *budget) limit() int {
	if p.burst > 0 {
		return p.burst * 100
	}
	return reserve*100 + budgetWindow*p.percent
}

// OnRequest counts a first attempt.
func (b *Budgets) OnRequest(pool fleet.PoolID) {
	p := b.pool(pool)
	p.mu.Lock()
	p.tokens = min(p.tokens+p.percent, p.limit())
	p.mu.Unlock()
}

// TryRetry takes one retry and reports whether there was one.
func (b *Budgets) TryRetry(pool fleet.PoolID) bool {
	p := b.pool(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tokens < 100 {
		return false
	}
	p.tokens -= 100
	return true
}

// Backoff yields waits with decorrelated jitter: each is random between Base
// and three times the one before, at most Cap. The zero value of Prev starts it.
type Backoff struct {
	Base, Cap time.Duration
	Prev      time.Duration
}

// Next returns the next wait. int64n gives a random number below its argument.
func (b *Backoff) Next(int64n func(int64) int64) time.Duration {
	hi := max(3*b.Prev, b.Base+1)
	b.Prev = min(b.Cap, b.Base+time.Duration(int64n(int64(hi-b.Base)+1)))
	return b.Prev
}
