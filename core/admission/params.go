// Package admission grants load on backend servers. Each engine has one primary
// admitter at a time, which keeps a ledger of the load that it granted and
// enforces the load bound, the cold-start ramp and the shares of client accounts.
// State: Ledger (sharded by engine with one lock per shard, owned by the admitting
// instance), Totals (one per pool, owned by the pool's aggregator), AccountOwner and
// Slices (account limits, owned by the account's owner instance and by the serving
// instance).
package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

const (
	// PermitLifetime is how long a permit may be missing from its holder's list
	// before it counts as lost. It exceeds the round trip of a permit call.
	PermitLifetime = 2 * time.Second
	// HandoverWait is how long a new primary waits before its first grant. By then
	// every instance sees it as primary, and the permits of the former primary are
	// either in use and listed, or lost.
	HandoverWait = membership.MaxViewDivergence + PermitLifetime
	// HolderTimeout is how long the permits of a failed instance count after its
	// last message.
	HolderTimeout = 2 * time.Second
	// SyncInterval is the time between two reports of ended permits.
	SyncInterval = time.Second
	// ExchangeInterval is the time between two exchanges of pool totals. At
	// 500 ms, the aggregator of 24 engines received 29 KB/s. Fleets of at most
	// SmallFleet instances use half the interval, because their totals vary more.
	ExchangeInterval = time.Second
	SmallFleet       = 12
	// SettleTime is the time from a change of roles until the new primaries have the
	// permits in use and a second exchange of totals includes them: two ticks of
	// 100 ms, and a call.
	SettleTime = 250 * time.Millisecond
	// ReportLag is the largest expected age of an engine's load report.
	ReportLag = 2 * time.Second
	// MaxPause is the longest pause of an instance that keeps its roles.
	MaxPause = membership.MaxViewDivergence
)

// Params tunes admission decisions. A field with the zero value uses its default.
type Params struct {
	// Margin is the fraction of the load bound that is reserved per second of the
	// exchange interval, because the pool mean is stale. Default 0.028. With a total
	// margin of 0.022, 600 engines reached 1.26 times the mean.
	Margin float64
	// Noise scales the reserve for a mean that falls while requests run: with n
	// running requests in the pool, the total varies by about 1/sqrt(n). Default
	// 2.4.
	Noise float64
	// SoftGap is the distance of the soft bound below the load bound, as a fraction
	// of the pool mean. An engine over its soft bound takes no chats whose prefix it
	// is not expected to hold. Default 0.085.
	SoftGap float64
	// LendThreshold is the fraction of an engine's absolute capacity below which
	// unused account shares are lent. Default 0.9.
	LendThreshold float64
	// RetryAfter is the mean retry delay advised in a refusal. Default 1 s.
	RetryAfter time.Duration
	// Seed seeds the randomisation of the retry delay.
	Seed uint64
}

func (p Params) withDefaults() Params {
	setDefault(&p.Margin, 0.028)
	setDefault(&p.Noise, 2.4)
	setDefault(&p.SoftGap, 0.085)
	setDefault(&p.LendThreshold, 0.9)
	setDefault(&p.RetryAfter, time.Second)
	return p
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Limits are the declared limits of one engine.
type Limits struct {
	Pool      fleet.PoolID
	Weight    float64
	LoadBound float64
	// Reports is set if the server reports its load.
	Reports bool
	// MaxLoad is the absolute cap in tokens; 0 means none.
	MaxLoad int64
	// CacheTokens is the size of the engine's prefix cache; 0 means unknown.
	CacheTokens int64
	// ColdLoad and ColdFor are the initial load and the duration of the cold-start
	// ramp.
	ColdLoad int64
	ColdFor  time.Duration
	// AverageCost is the assumed load of a running request that an engine reports
	// without a token count.
	AverageCost int64
}

// PermitRequest asks an admitter for a permit on one engine.
type PermitRequest struct {
	Server fleet.ServerID
	// Holder and ID identify the permit. A retry with the same pair returns the same
	// permit.
	Holder fleet.InstanceID
	ID     uint64
	// Account and Weight determine the fair share.
	Account fleet.ClientAccountID
	Weight  float64
	// Priority is 0 (lowest) to 9.
	Priority int
	// Prompt and Output are in tokens.
	Chat           fleet.ChatKey
	Prompt, Output int
	// Tokens is the load: prompt tokens not expected in the cache plus tokens to
	// generate. The admitter sets it, because it sees all chats of its engine.
	Tokens int64
	// Relaxed applies the hard bound instead of the soft bound.
	Relaxed bool
}

// Warm reports whether a granted request counted most of the prompt as cached.
func (a *PermitRequest) Warm() bool { return a.Tokens < int64(a.Output+a.Prompt/2) }

// mostlyUncached reports whether most of the prompt counts as not cached.
func (a *PermitRequest) mostlyUncached() bool { return a.Tokens > int64(a.Prompt/2+a.Output) }

// Cost returns the load of a request in tokens, at least 1. A prompt shorter than
// half of the cached prefix is taken for a different text under the same chat id.
func Cost(prompt, cached, output int) int64 {
	if 2*prompt < cached {
		cached = 0
	}
	return int64(max(prompt-min(cached, prompt)+output, 1))
}
