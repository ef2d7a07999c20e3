package placement

import (
	"container/list"
	"slices"
)

// Part is one part of a prompt. Prompts that begin with the same parts share them in
// an engine's prefix cache.
type Part struct {
	ID     uint64
	Tokens int
}

// prefixCache is an LRU model of the parts that an engine has cached.
type prefixCache struct {
	limit, used int
	lru         *list.List // of Part, most recent first
	parts       map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), parts: map[uint64]*list.Element{}}
}

// mostRecent returns up to most parts, the most recently used last.
func (c *prefixCache) mostRecent(most int) []Part {
	out := make([]Part, 0, min(most, c.lru.Len()))
	for e := c.lru.Front(); e != nil && len(out) < most; e = e.Next() {
		out = append(out, e.Value.(Part))
	}
	slices.Reverse(out)
	return out
}

// cachedTokens returns the number of prompt tokens that are cached. A part counts
// only if all parts before it are cached.
func (c *prefixCache) cachedTokens(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add records that the engine has processed the parts.
func (c *prefixCache) add(parts []Part) {
	// Insert in reverse order: the first part is the most reusable, so it becomes the
	// most recent.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(p)
		c.used += p.Tokens
	}
	for c.used > c.limit && c.lru.Len() > 0 {
		e := c.lru.Back()
		p := c.lru.Remove(e).(Part)
		delete(c.parts, p.ID)
		c.used -= p.Tokens
	}
}
