package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/routing"
)

const (
	// maxCacheEntries bounds the entries of one engine's cache model; at 40 bytes each
	// they take 640 KiB. An engine that caches 3,000,000 tokens holds about 1,200
	// chats.
	maxCacheEntries = 16384
	// unknownSizeTTL is how long a prefix counts as cached while no size is known. The
	// records end then.
	unknownSizeTTL = routing.PrefixTTL
	// learnInterval is the time between two corrections of a learned size: the
	// prompts charged under the old size run for about 10 s.
	learnInterval = 10 * time.Second
	// learnGain smooths the difference of report and ledger, one report a second.
	// A single report differs by 2.5%, so that corrections of each one brought the
	// load ratio from 1.22 to 1.64 in steady state.
	learnGain = 0.1
	// excessHigh and learnLow are the differences, as parts of the load, from which
	// the size counts as too large or too small; learnDown and learnUp are the
	// factors of a correction.
	excessHigh   = 0.04
	excessLow    = -0.02
	shrinkFactor = 0.97
	growFactor   = 1.03
)

// cacheEntry is the prefix of one chat in a cacheModel. prev and next link the
// entries by last use; next also links the free entries.
type cacheEntry struct {
	chat       fleet.ChatKey
	share      *cacheShare
	used       int64 // UnixNano
	tokens     uint32
	prev, next uint32
}

// cacheShare is what one account has in the cache.
type cacheShare struct {
	account fleet.ClientAccountID
	weight  float64
	tokens  int64
	chats   int
	// refused is the recent part of its asks that was refused for a share.
	refused float64
}

// cacheModel estimates which prefixes an engine still caches: the least recently
// used ones leave when the tokens exceed the size of its cache. It allocates
// only while it grows. Its engine's shard guards it.
type cacheModel struct {
	// declared and reported are the size in tokens from the manifest and from the
	// engine; 0 means unknown. Without them the size is learned, and 0 means that
	// no eviction was seen yet.
	declared, reported, learned int64
	learnedAt                   time.Time
	excess                      float64 // smoothed input of learn

	used    int64
	index   map[fleet.ChatKey]uint32
	entries []cacheEntry // entry 0 is the ring's head: next is the newest, prev the oldest
	free    uint32

	accounts   map[fleet.ClientAccountID]*cacheShare
	freeShares []*cacheShare // without chats, for reuse
	weights    float64       // of the accounts with chats

	// since is the start of the model and evicted the last use of the newest entry
	// that left, in UnixNano. What the model does not know has left when it was used
	// after since, because the model saw it, or before evicted.
	since, evicted int64
}

func newCacheModel(now time.Time) *cacheModel {
	return &cacheModel{
		since: now.UnixNano(),
		index: map[fleet.ChatKey]uint32{}, entries: make([]cacheEntry, 1),
		accounts: map[fleet.ClientAccountID]*cacheShare{},
	}
}

// size returns the tokens that the engine caches, or 0 when no limit is known.
func (c *cacheModel) size() int64 {
	switch {
	case c.declared > 0:
		return c.declared
	case c.reported > 0:
		return c.reported
	}
	return c.learned
}

// cached returns how much of a prefix that was last used at the given time is
// expected to be cached still.
func (c *cacheModel) cached(chat fleet.ChatKey, tokens int, used time.Time) int {
	if i, ok := c.index[chat]; ok {
		return min(tokens, int(c.entries[i].tokens))
	}
	if c.evicted > 0 && (used.UnixNano() <= c.evicted || used.UnixNano() > c.since) {
		return 0
	}
	return tokens
}

// record records that the engine caches a prefix of the chat from now on.
func (c *cacheModel) record(now time.Time, a *PermitRequest) {
	tokens := uint32(max(a.Prompt+a.Output, 0))
	i, ok := c.index[a.Chat]
	if ok {
		c.removeFromShare(i)
		c.unlink(i)
	} else {
		if len(c.index) >= maxCacheEntries {
			c.evict()
		}
		i = c.allocate()
		c.index[a.Chat] = i
	}
	s := c.addToShare(a)
	s.tokens += int64(tokens)
	s.chats++
	c.used += int64(tokens)
	head := &c.entries[0]
	c.entries[i] = cacheEntry{a.Chat, s, now.UnixNano(), tokens, 0, head.next}
	c.entries[head.next].prev = i
	head.next = i
	c.shrink(now)
}

// shrink evicts until the rest fits; the newest entry stays.
func (c *cacheModel) shrink(now time.Time) {
	size := c.size()
	for len(c.index) > 1 && (size > 0 && c.used > size || c.declared+c.reported == 0 && c.tail(now) > unknownSizeTTL) {
		c.evict()
	}
}

// tail is the time since the last use of the oldest entry.
func (c *cacheModel) tail(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.entries[c.entries[0].prev].used)
}

// evict drops the least recently used entry.
func (c *cacheModel) evict() {
	i := c.entries[0].prev
	e := &c.entries[i]
	c.evicted = max(c.evicted, e.used)
	delete(c.index, e.chat)
	c.removeFromShare(i)
	c.unlink(i)
	*e = cacheEntry{next: c.free}
	c.free = i
}

// clear empties the model of an engine that lost its cache.
func (c *cacheModel) clear() {
	clear(c.index)
	clear(c.accounts)
	c.entries = c.entries[:1]
	c.entries[0] = cacheEntry{}
	c.used, c.free, c.weights, c.freeShares = 0, 0, 0, nil
}

func (c *cacheModel) allocate() uint32 {
	if i := c.free; i != 0 {
		c.free = c.entries[i].next
		return i
	}
	c.entries = append(c.entries, cacheEntry{})
	return uint32(len(c.entries) - 1)
}

func (c *cacheModel) unlink(i uint32) {
	e := &c.entries[i]
	c.entries[e.prev].next = e.next
	c.entries[e.next].prev = e.prev
}

// removeFromShare takes the tokens of an entry off its account.
func (c *cacheModel) removeFromShare(i uint32) {
	e := &c.entries[i]
	c.used -= int64(e.tokens)
	s := e.share
	s.tokens -= int64(e.tokens)
	if s.chats--; s.chats == 0 {
		c.weights -= s.weight
		delete(c.accounts, s.account)
		c.freeShares = append(c.freeShares, s)
	}
}

func (c *cacheModel) addToShare(a *PermitRequest) *cacheShare {
	s := c.accounts[a.Account]
	if s == nil {
		if n := len(c.freeShares); n > 0 {
			s, c.freeShares = c.freeShares[n-1], c.freeShares[:n-1]
		} else {
			s = &cacheShare{}
		}
		*s = cacheShare{account: a.Account}
		c.accounts[a.Account] = s
	}
	c.weights += a.Weight - s.weight // the weight may have changed
	s.weight = a.Weight
	return s
}

// retention returns how long an entry stays without use. It is at least the age of
// the oldest entry, and unbounded while everything fits.
func (c *cacheModel) retention(now time.Time, more int) (time.Duration, bool) {
	if size := c.size(); size == 0 || c.used+int64(more) <= size {
		return 0, false
	}
	return c.tail(now), true
}

// updateLearnedSize corrects a size that is neither declared nor reported. beyond is the load
// that the engine reports beyond the ledger, as a part of it: prompt tokens that
// the ledger took for cached.
func (c *cacheModel) updateLearnedSize(now time.Time, excess float64) {
	c.excess += learnGain * (excess - c.excess)
	if c.declared > 0 || c.reported > 0 || now.Sub(c.learnedAt) < learnInterval {
		return
	}
	switch {
	case c.excess > excessHigh:
		size := c.used
		if c.learned > 0 {
			size = min(size, c.learned)
		}
		c.learned = max(int64(shrinkFactor*float64(size)), 1)
	case c.excess < excessLow && c.learned > 0:
		c.learned = int64(growFactor*float64(c.learned)) + 1
	default:
		return
	}
	c.learnedAt = now
	c.shrink(now)
}
