package placement

import (
	"container/list"
	"slices"
	"time"
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
	lru         *list.List // of *cachedPart, most recent first
	parts       map[uint64]*list.Element
}

// cachedPart is a part that an engine has cached, or will have once it has processed the
// request that brought it.
type cachedPart struct {
	Part
	// processedAt is the known or expected time at which the engine has processed the part.
	processedAt time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), parts: map[uint64]*list.Element{}}
}

// mostRecent returns up to most parts, the most recently used last.
func (c *prefixCache) mostRecent(most int) []Part {
	out := make([]Part, 0, min(most, c.lru.Len()))
	for e := c.lru.Front(); e != nil && len(out) < most; e = e.Next() {
		out = append(out, e.Value.(*cachedPart).Part)
	}
	slices.Reverse(out)
	return out
}

// cachedTokens returns the number of prompt tokens that are cached or being processed: a
// request for the same parts waits for them and does not process them again. A part
// counts only if all parts before it are cached.
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

// processedTokens is cachedTokens without the parts that the engine is still processing.
// Only these can be fetched by another engine.
func (c *prefixCache) processedTokens(now time.Time, parts []Part) int {
	n := 0
	for _, p := range parts {
		e := c.parts[p.ID]
		if e == nil || e.Value.(*cachedPart).processedAt.After(now) {
			break
		}
		n += p.Tokens
	}
	return n
}

// add records that the engine processes the parts and has done so at processedAt.
func (c *prefixCache) add(parts []Part, processedAt time.Time) {
	// Insert in reverse order: the first part is the most reusable, so it becomes the
	// most recent.
	for i := len(parts) - 1; i >= 0; i-- {
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			c.lru.MoveToFront(e)
			if known := e.Value.(*cachedPart); processedAt.Before(known.processedAt) {
				known.processedAt = processedAt
			}
			continue
		}
		c.parts[p.ID] = c.lru.PushFront(&cachedPart{p, processedAt})
		c.used += p.Tokens
	}
	for c.used > c.limit && c.lru.Len() > 0 {
		c.remove(c.lru.Back())
	}
}

func (c *prefixCache) remove(e *list.Element) {
	p := c.lru.Remove(e).(*cachedPart)
	delete(c.parts, p.ID)
	c.used -= p.Tokens
}

// removeUnprocessed removes the parts that the engine has not processed.
func (c *prefixCache) removeUnprocessed(parts []Part, now time.Time) {
	for _, p := range parts {
		if e := c.parts[p.ID]; e != nil && e.Value.(*cachedPart).processedAt.After(now) {
			c.remove(e)
		}
	}
}
