package placement

import (
	"container/list"
	"slices"
)

// Part is one part of a prompt. Prompts that begin with the same parts share them
// in an engine's cache.
type Part struct {
	ID     uint64
	Tokens int
}

// prefixCache models which parts an engine keeps, least recently used first out.
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

// cachedTokens is how many tokens of the prompt need not be read: a part counts only
// with all parts before it.
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

// add notes that the engine has read the parts.
func (c *prefixCache) add(parts []Part) {
	// The first part is the most useful one, so that it becomes the most recent.
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
