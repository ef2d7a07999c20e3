package admission

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// refusalStep is the weight of the newest search in an account's rate.
	refusalStep = 0.05
	// refusedMuch is the rate from which an account's searches are short. An
	// account that is refused now and then keeps its full search: with a short
	// one, accounts that did not surge kept 0.72 of their requests.
	refusedMuch = 0.6
	// refusalMemory is how long an account's rate lasts without a request.
	refusalMemory = 10 * time.Second
	// shortSearch is the number of servers asked meanwhile. With all six, an
	// account that surged tenfold caused 95 KB/s of permit calls at one instance.
	shortSearch = 1
	// maxRefusals bounds the memory; the surging accounts are few.
	maxRefusals = 4096
)

type refusalKey struct {
	account fleet.ClientAccountID
	pool    fleet.PoolID
}

type refusalRate struct {
	rate float64
	at   time.Time
}

// Refusals remembers which accounts are mostly over their share, so that more of
// their requests are refused early instead of asking every server.
type Refusals struct {
	mu    sync.Mutex
	rates map[refusalKey]refusalRate
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals { return &Refusals{rates: map[refusalKey]refusalRate{}} }

// Note records the result of a search.
func (r *Refusals) Note(now time.Time, account fleet.ClientAccountID, pool fleet.PoolID, v Verdict) {
	refused := v == OverShare || v == OverLoad
	k := refusalKey{account, pool}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.rates[k]
	if !ok && !refused {
		return
	}
	if now.Sub(e.at) > refusalMemory {
		e.rate = 0
	}
	target := 0.0
	if refused {
		target = 1
	}
	e.rate += refusalStep * (target - e.rate)
	e.at = now
	if len(r.rates) >= maxRefusals && !ok {
		clear(r.rates)
	}
	r.rates[k] = e
}

// Search returns how many of n ranked servers to ask.
func (r *Refusals) Search(now time.Time, account fleet.ClientAccountID, pool fleet.PoolID, n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.rates[refusalKey{account, pool}]; ok && e.rate > refusedMuch && now.Sub(e.at) <= refusalMemory {
		return min(n, shortSearch)
	}
	return n
}
