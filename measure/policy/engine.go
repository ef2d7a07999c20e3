package policy

import (
	"container/list"
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/manifest"
)

// sampleInterval is the resolution of delayed load reports.
const sampleInterval = 250 * time.Millisecond

// fakeEngine is the true state of one engine.
type fakeEngine struct {
	server *manifest.Server
	pool   int
	dc     int

	up          bool
	incarnation uint64
	coldSince   time.Duration // negative when warm
	load        int64
	running     map[*request]struct{}
	samples     [16]admission.Report // ring buffer, indexed by sample number

	cache      map[int32]*list.Element
	order      list.List // of *cached, most recently used first
	cacheUsed  int
	cacheLimit int // tokens
}

type cached struct {
	chat   int32
	tokens int
}

func newFakeEngine(s *manifest.Server, pool, dc, cacheLimit int) *fakeEngine {
	return &fakeEngine{
		server: s, pool: pool, dc: dc, up: true, incarnation: 1, coldSince: -1, cacheLimit: cacheLimit,
		running: map[*request]struct{}{}, cache: map[int32]*list.Element{},
	}
}

// cachedPrefix returns the number of prompt tokens that are cached.
func (e *fakeEngine) cachedPrefix(chat int32, prompt int) int {
	if el := e.cache[chat]; el != nil {
		return min(el.Value.(*cached).tokens, prompt)
	}
	return 0
}

// cachePrefix caches a prefix and evicts the least recently used ones over the
// limit.
func (e *fakeEngine) cachePrefix(chat int32, tokens int) {
	if el := e.cache[chat]; el != nil {
		c := el.Value.(*cached)
		e.cacheUsed += tokens - c.tokens
		c.tokens = tokens
		e.order.MoveToFront(el)
	} else {
		e.cache[chat] = e.order.PushFront(&cached{chat, tokens})
		e.cacheUsed += tokens
	}
	for e.cacheUsed > e.cacheLimit {
		el := e.order.Back()
		c := el.Value.(*cached)
		e.cacheUsed -= c.tokens
		delete(e.cache, c.chat)
		e.order.Remove(el)
	}
}

func (e *fakeEngine) evictPrefix(chat int32) {
	if el := e.cache[chat]; el != nil {
		e.cacheUsed -= el.Value.(*cached).tokens
		delete(e.cache, chat)
		e.order.Remove(el)
	}
}

// restart empties the cache. The caller has ended the running requests.
func (e *fakeEngine) restart(now time.Duration) {
	e.up = true
	e.incarnation++
	e.coldSince = now
	e.load = 0
	clear(e.cache)
	e.order.Init()
	e.cacheUsed = 0
}

func (e *fakeEngine) sample(now time.Duration) {
	if !e.up {
		e.samples[int(now/sampleInterval)%len(e.samples)] = admission.Report{}
		return
	}
	e.samples[int(now/sampleInterval)%len(e.samples)] = admission.Report{
		Incarnation: e.incarnation, Load: e.load, Running: len(e.running), At: epoch.Add(now),
	}
}

// report returns the sampled state from lag ago.
func (e *fakeEngine) report(now, lag time.Duration) admission.Report {
	t := max(now-lag, 0)
	return e.samples[int(t/sampleInterval)%len(e.samples)]
}
