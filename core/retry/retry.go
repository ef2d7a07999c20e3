// Package retry decides whether a failed attempt may be retried. Each pool has its
// own budget and lock; the instance owns the budgets.
package retry

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Eligible reports whether an attempt with this outcome may be retried: the request
// is idempotent, or the attempt is known not to have run.
func Eligible(idempotent bool, o result.Outcome) bool {
	return o == result.NotRun || idempotent && o == result.Unknown
}

const (
	// reserve is the number of retries available to a pool without traffic, so that a
	// lone request survives one failed engine.
	reserve = 3
	// budgetWindow is the number of recent requests that count towards the budget.
	budgetWindow = 1000
	// defaultPercent applies to pools without a percentage set by SetPercent.
	defaultPercent = 10
)

// Budgets holds the retry budget of each pool.
type Budgets struct {
	mu    sync.RWMutex
	pools map[fleet.PoolID]*budget
	// percent and burst apply to pools without a percentage set by SetPercent. A burst of
	// 0 allows the reserve plus the tokens of budgetWindow requests.
	percent, burst int
}

// budget is a token bucket: each first attempt adds percent/100 tokens and each retry
// takes one. Tokens are counted in hundredths to keep the arithmetic exact.
type budget struct {
	mu      sync.Mutex
	percent int
	burst   int
	tokens  int
}

// NewBudgets returns budgets of defaultPercent for all pools.
func NewBudgets() *Budgets {
	return &Budgets{pools: map[fleet.PoolID]*budget{}, percent: defaultPercent}
}

// SetAll sets the percentage of requests that may be retried and the maximum burst of
// retries for all pools. Where several instances share one bound, each gets its share
// of the burst, so that the total holds without coordination.
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

// SetPercent sets the percentage of a pool. Remaining tokens are kept up to the new
// limit.
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

// OnRequest adds the tokens of a first attempt.
func (b *Budgets) OnRequest(pool fleet.PoolID) {
	p := b.pool(pool)
	p.mu.Lock()
	p.tokens = min(p.tokens+p.percent, p.limit())
	p.mu.Unlock()
}

// TryRetry consumes one retry and reports whether one was available.
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

// Backoff yields delays with decorrelated jitter: each is random between Base and
// three times the previous one, at most Cap. A zero Prev starts the sequence.
type Backoff struct {
	Base, Cap time.Duration
	Prev      time.Duration
}

// Next returns the next delay. int64n returns a random number below its argument.
func (b *Backoff) Next(int64n func(int64) int64) time.Duration {
	hi := max(3*b.Prev, b.Base+1)
	b.Prev = min(b.Cap, b.Base+time.Duration(int64n(int64(hi-b.Base)+1)))
	return b.Prev
}
