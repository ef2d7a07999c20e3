// Package admission grants load on backend servers. An engine has one primary
// admitter at a time, which keeps a ledger of the load that it granted and
// holds the engine under the load bound, the cold-start ramp and the shares of
// client accounts. State: Ledger (sharded by engine, one lock for each shard,
// owned by the admitting instance), Totals (one for each pool, owned by the
// pool's aggregator), Limits and Slices (account limits, owned by the account's
// owner instance and by the serving instance).
package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

const (
	// PermitLifetime is how long a permit may stay unknown to its holder's list
	// before it counts as lost. It is longer than a permit call with its reply.
	PermitLifetime = 2 * time.Second
	// HandoverWait is how long a new primary waits before its first grant: by
	// then every instance sees it as primary and permits of the earlier one are
	// either used and listed, or lost.
	HandoverWait = membership.MaxViewDivergence + PermitLifetime
	// HolderTimeout is how long the permits of an instance that is not alive any
	// more count after its last message.
	HolderTimeout = 2 * time.Second
	// SyncInterval is the time between two messages about ended permits.
	SyncInterval = time.Second
	// ExchangeInterval is the time between two exchanges of pool totals. At
	// 500 ms, the aggregator of 24 engines received 29 KB/s. Fleets of at most
	// SmallFleet instances use half of it: their totals vary more.
	ExchangeInterval = time.Second
	SmallFleet       = 12
	// SettleTime is the time after a change of roles until the permits in use are
	// listed to the new primaries and a second exchange of totals shows them: two
	// ticks of 100 ms, and a call.
	SettleTime = 250 * time.Millisecond
	// ReportLag is the largest expected age of an engine's load report.
	ReportLag = 2 * time.Second
	// MaxPause is the longest pause of an instance that keeps its roles.
	MaxPause = membership.MaxViewDivergence
)

// Params are settings of the decisions. The zero value of a field means its
// default.
type Params struct {
	// Margin is the part of the load bound that is kept back for each second of
	// the exchange interval, because the pool mean lags. Default 0.028. With a
	// margin of 0.022 in all, 600 engines reached 1.26 times the mean.
	Margin float64
	// Noise scales the part that is kept back because the mean may fall while
	// requests run: with n running requests in the pool, the total varies by
	// about 1/sqrt(n). Default 2.4.
	Noise float64
	// SoftGap is how far under its cap, as a part of the pool mean, an engine
	// stops to take chats whose prefix it is not expected to hold. Default 0.085.
	SoftGap float64
	// LendThreshold is the part of an engine's absolute capacity below which
	// unused account shares are lent. Default 0.9.
	LendThreshold float64
	// RetryAfter is the mean advice of a refusal. Default 1 s.
	RetryAfter time.Duration
	// Seed feeds the randomised advice.
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
	// Reports says that the server reports its load.
	Reports bool
	// MaxLoad is the absolute cap in tokens; 0 means none.
	MaxLoad int64
	// CacheTokens is the size of the engine's prefix cache; 0 means unknown.
	CacheTokens int64
	// ColdLoad and ColdFor describe the ramp of a cold engine.
	ColdLoad int64
	ColdFor  time.Duration
	// AverageCost is the assumed load of a request that an engine reports
	// without its tokens.
	AverageCost int64
}

// PermitRequest is a request for load on one engine.
type PermitRequest struct {
	Server fleet.ServerID
	// Holder and ID identify the permit; asking again with the same pair
	// returns the same permit.
	Holder fleet.InstanceID
	ID     uint64
	// Account and Weight decide the fair share.
	Account fleet.ClientAccountID
	Weight  float64
	// Priority is 0 (lowest) to 9.
	Priority int
	// Chat, Prompt and Output describe the request, in tokens.
	Chat           fleet.ChatKey
	Prompt, Output int
	// Tokens is the load: prompt tokens not expected in the cache plus tokens
	// to generate. The admitter sets it, since it sees all chats of its engine.
	Tokens int64
	// Relaxed allows the hard bound; otherwise the engine must be under the
	// soft bound.
	Relaxed bool
}

// Warm reports whether a granted ask counted most of the prompt as cached.
func (a *PermitRequest) Warm() bool { return a.Tokens < int64(a.Output+a.Prompt/2) }

// mostlyUncached reports whether most of the prompt counts as not cached.
func (a *PermitRequest) mostlyUncached() bool { return a.Tokens > int64(a.Prompt/2+a.Output) }

// Cost returns the load of a request in tokens, at least 1. A prompt of less
// than half of what was cached is another text under the same chat id.
func Cost(prompt, cached, output int) int64 {
	if 2*prompt < cached {
		cached = 0
	}
	return int64(max(prompt-min(cached, prompt)+output, 1))
}
