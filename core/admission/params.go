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
	HandoverWait = membership.DisagreementBound + PermitLifetime
	// HolderTimeout frees the permits of an instance that sends no list.
	// It covers four lost lists in a row.
	HolderTimeout = 5 * time.Second
	// SyncInterval is the time between two lists of held permits.
	SyncInterval = time.Second
	// ExchangeInterval is the time between two exchanges of pool totals. At 1 s,
	// the mean lagged by up to 2 s.
	ExchangeInterval = 500 * time.Millisecond
	// ReportLag is the largest expected age of an engine's load report.
	ReportLag = 2 * time.Second
	// PauseLimit is the longest pause of an instance that keeps its roles.
	PauseLimit = membership.DisagreementBound
)

// Params are settings of the decisions. The zero value of a field means its
// default.
type Params struct {
	// Margin is the part of the load bound that is kept back, because the pool
	// mean lags and may fall while requests run. Default 0.07.
	Margin float64
	// SoftBound is the multiple of the pool mean above which an engine takes
	// only chats whose prefix it is expected to hold. Default 1.0.
	SoftBound float64
	// LendThreshold is the part of an engine's absolute capacity below which
	// unused account shares are lent. Default 0.9.
	LendThreshold float64
	// RetryAfter is the mean advice of a refusal. Default 1 s.
	RetryAfter time.Duration
	// Seed feeds the randomised advice.
	Seed uint64
}

func (p Params) withDefaults() Params {
	setDefault(&p.Margin, 0.07)
	setDefault(&p.SoftBound, 1.0)
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
	// MaxLoad is the absolute cap in tokens; 0 means none.
	MaxLoad int64
	// ColdLoad and ColdFor describe the ramp of a cold engine.
	ColdLoad int64
	ColdFor  time.Duration
	// AverageCost is the assumed load of a request that an engine reports
	// without its tokens.
	AverageCost int64
}

// Ask is a request for load on one engine.
type Ask struct {
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
	// Tokens is the load: prompt tokens not expected in the cache plus tokens
	// to generate.
	Tokens int64
	// Relaxed allows the hard bound; otherwise the engine must be under the
	// soft bound.
	Relaxed bool
}

// Cost returns the load of a request in tokens, at least 1.
func Cost(prompt, cached, output int) int64 {
	return int64(max(prompt-min(cached, prompt)+output, 1))
}
