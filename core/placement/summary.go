package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// PoolSummary is the state of a pool in aggregate.
type PoolSummary struct {
	Servers, Out, Cold, Suspect int
	// Leaving are the servers that announced their leaving to this instance, Paused those
	// that asked it for a pause.
	Leaving, Paused int
	// TokensPerMilli is the prompt processing rate of the engines, 0 for plain services.
	TokensPerMilli float64 `json:",omitempty"`
	// SlowestPacePercent is the highest pace that is expected of a server now, 0 if none
	// stated its pace.
	SlowestPacePercent float64 `json:",omitempty"`
	// LongTokensPerMilli is the limit of long prompts that this instance sends, in tokens
	// per ms, 0 if there is none.
	LongTokensPerMilli float64 `json:",omitempty"`
	// BrittleLimit is the lowest number of refusals within one second that a brittle server of
	// the pool bears, 0 if none is brittle.
	BrittleLimit int `json:",omitempty"`
	// Running is the number of known requests in progress, over all instances.
	Running int
}

// Summary returns the aggregate state of each pool for operators.
func (b *Balancer) Summary(now time.Time) map[fleet.PoolID]PoolSummary {
	out := map[fleet.PoolID]PoolSummary{}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		sum := PoolSummary{Servers: len(p.list), LongTokensPerMilli: p.longLimit.limit}
		if p.brittle != nil {
			sum.BrittleLimit, _ = p.brittle.statements.Known(now)
		}
		for _, s := range p.list {
			sum.Running += s.load().Running
			if !s.pace.at.IsZero() {
				sum.SlowestPacePercent = max(sum.SlowestPacePercent, 100*s.pace.factor(now))
			}
			if s.Engine {
				sum.TokensPerMilli = p.tokensPerMs()
			}
			if s.Out {
				sum.Out++
			}
			if s.cold(now) {
				sum.Cold++
			}
			if s.notices.leaving {
				sum.Leaving++
			}
			if s.paused(now) {
				sum.Paused++
			}
			if s.suspect(now) {
				sum.Suspect++
			}
		}
		p.mu.Unlock()
		out[id] = sum
	}
	return out
}
