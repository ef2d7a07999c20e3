package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// The shares of an engine's cache hold when entries leave it after less than
// cacheKeep without use and its load is above cacheLoad of its capacity. Until
// then unused share is lent: evictions cost nothing while prompts can be computed
// again within the capacity.
const (
	contentionAge  = 4 * time.Minute
	cacheShareLoad = 0.7
	// cacheFloor is the part of the cache that any account may use, for the same
	// reason as shareFloor.
	cacheFloor = 0.12
)

// An account surges when it would use more than surgeDemand of its share if
// nothing of it were refused. It then gets only a part of its share, so that the
// load and the prefixes of the other accounts, which vary around their shares,
// fit. With whole shares, accounts that did not surge kept 0.98 of their requests
// after 600 s and 0.92 after 1,200 s at today's size.
const (
	surgeDemand        = 1.5
	surgeCacheFraction = 0.6
	surgeLoadFraction  = 0.85
	// refusalSmoothing is the weight of the newest ask in the refused part.
	refusalSmoothing = 0.05
	// maxRefused bounds the estimate of the demand to 20 times the use.
	maxRefused = 0.95
)

// overCacheShare reports whether the account has more than its share of a cache that
// displaces prefixes in use, and the chat is not one of those that keep theirs. A
// chat without a prefix is never one of them.
func (e *engine) overCacheShare(now time.Time, a *PermitRequest) bool {
	if a.Prompt == 0 || a.Chat == 0 {
		return false
	}
	retention, full := e.cache.retention(now, a.Prompt+a.Output)
	if !full || retention >= contentionAge {
		return false
	}
	part := e.cache.retainedFraction(a.Account)
	return part < 1 && (a.mostlyUncached() || retentionOrder(a.Chat) >= part)
}

// surges reports whether the account asks for much more than its share of the
// capacity.
func (e *engine) surges(account fleet.ClientAccountID, capacity int64) bool {
	s := e.accounts[account]
	return s != nil && e.cache.accounts[account].surges(float64(s.load)*e.weights/(s.weight*float64(capacity)))
}

// record records the answer to an ask.
func (s *cacheShare) record(v Verdict) {
	switch {
	case s == nil:
	case v == OverShare:
		s.refused += refusalSmoothing * (1 - s.refused)
	case v == Granted:
		s.refused -= refusalSmoothing * s.refused
	}
}

// surges reports whether an account that uses a multiple of its weighted share
// would use more than surgeDemand of it if nothing were refused.
func (s *cacheShare) surges(used float64) bool {
	return s != nil && used > surgeDemand*(1-min(s.refused, maxRefused))
}

// retainedFraction returns which part of its prefixes an account may keep, 1 when it is
// within its share of the cache. A surging account has cacheYield of its share.
func (c *cacheModel) retainedFraction(account fleet.ClientAccountID) float64 {
	s := c.accounts[account]
	if s == nil || s.tokens == 0 {
		return 1
	}
	used, share := float64(s.tokens)/float64(c.size()), s.weight/c.weights
	if s.surges(used / share) {
		share *= surgeCacheFraction
	}
	return min(max(share, cacheFloor)/used, 1)
}

// retentionOrder places a chat from 0 to 1 in the order in which the chats of an
// account over its share keep their prefixes. It does not change, so that the
// prefixes of the others age out.
func retentionOrder(c fleet.ChatKey) float64 {
	return float64(fleet.Mix(uint64(c), 21)>>11) / (1 << 53)
}
