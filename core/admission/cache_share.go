package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Cache shares are enforced when an engine evicts entries unused for less than
// contentionAge and its load is above cacheShareLoad of its capacity. Otherwise
// unused share is lent: evictions cost nothing while there is capacity to recompute
// the prompts.
const (
	contentionAge  = 4 * time.Minute
	cacheShareLoad = 0.7
	// cacheFloor is the fraction of the cache that any account may use, for the same
	// reason as shareFloor.
	cacheFloor = 0.12
)

// An account surges when its demand, with refused requests included, exceeds
// surgeDemand times its share. It then gets only a fraction of its share, to leave
// room for the load and the prefixes of the other accounts, which vary around their
// shares. With whole shares, accounts that did not surge had 0.98 of their requests
// admitted after 600 s and 0.92 after 1,200 s at today's size.
const (
	surgeDemand        = 1.5
	surgeCacheFraction = 0.6
	surgeLoadFraction  = 0.85
	// refusalSmoothing is the weight of the newest request in cacheShare.refused.
	refusalSmoothing = 0.05
	// maxRefused limits the estimated demand to 20 times the usage.
	maxRefused = 0.95
)

// overCacheShare reports whether the account exceeds its share of a cache that evicts
// prefixes in use, and the chat is not among those that retain their prefixes. A
// chat without a cached prefix never is.
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

// record records the answer to a permit request.
func (s *cacheShare) record(v Verdict) {
	switch {
	case s == nil:
	case v == OverShare:
		s.refused += refusalSmoothing * (1 - s.refused)
	case v == Granted:
		s.refused -= refusalSmoothing * s.refused
	}
}

// surges reports whether the demand of an account exceeds surgeDemand times its
// weighted share. used is its usage as a multiple of that share.
func (s *cacheShare) surges(used float64) bool {
	return s != nil && used > surgeDemand*(1-min(s.refused, maxRefused))
}

// retainedFraction returns the fraction of its prefixes that an account may keep, 1 if
// it is within its cache share. The share of a surging account is reduced to
// surgeCacheFraction.
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

// retentionOrder maps a chat to its rank from 0 to 1 among the chats that retain their
// prefixes when their account is over its share. The rank is fixed, so that the
// prefixes of the other chats age out.
func retentionOrder(c fleet.ChatKey) float64 {
	return float64(fleet.Mix(uint64(c), 21)>>11) / (1 << 53)
}
