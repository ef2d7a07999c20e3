package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// shareRefusalTTL and capacityRefusalTTL are the mean lifetimes of a cached
	// OverShare and OverCapacity refusal. A full engine completes one request
	// every 170 ms.
	shareRefusalTTL    = 3 * time.Second
	capacityRefusalTTL = 100 * time.Millisecond
	// probeFraction is the fraction of requests that are sent despite a cached
	// refusal, to detect freed capacity before the entry expires.
	probeFraction = 1.0 / 32
	// refusalSlots bounds the memory to 128 KiB. Refusals that collide in a slot
	// replace each other, which costs one extra permit request.
	refusalSlots = 4096
)

// refusalEntry is a cached refusal of an account by an engine.
type refusalEntry struct {
	key      uint64 // of account, engine and warm; 0 means empty
	until    int64  // UnixNano
	order    float64
	priority int8
	verdict  Verdict
}

// RefusalCache holds the recent refusals of accounts by engines at a serving
// instance, which then does not send similar requests to the admitters.
type RefusalCache struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	slots [refusalSlots]refusalEntry
}

// NewRefusalCache returns an empty cache; seed randomises the entry lifetimes.
func NewRefusalCache(seed uint64) *RefusalCache {
	return &RefusalCache{rnd: rand.New(rand.NewPCG(seed, 3))}
}

// slot returns the entry and the key of a request. Chats without a cached prefix
// use separate entries, because they are refused most often and their refusals
// say nothing about chats with a cached prefix.
func (s *RefusalCache) slot(a *PermitRequest, warm bool) (*refusalEntry, uint64) {
	key := fleet.Mix(fleet.HashID(string(a.Account)), fleet.HashID(string(a.Server)))
	if warm {
		key = ^key
	}
	key = max(key, 1)
	return &s.slots[key%refusalSlots], key
}

// refusalOrder ranks the requests of an account by how early an admitter refuses
// them. A chat without a cached prefix has the highest rank, 1; the others rank by
// the order in which they lose their prefixes.
func refusalOrder(a *PermitRequest, warm bool) float64 {
	if !warm {
		return 1
	}
	return retentionOrder(a.Chat)
}

// Lookup returns the refusal that the admitter would most likely return. warm
// reports whether the engine is expected to hold the chat's prefix.
func (s *RefusalCache) Lookup(now time.Time, a *PermitRequest, warm bool) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, a, warm)
	if e == nil || s.rnd.Float64() < probeFraction {
		return Granted, false
	}
	return e.verdict, true
}

// find returns the cached refusal that covers the request, or nil. The refusal of
// a chat with a cached prefix also covers chats without one.
func (s *RefusalCache) find(now time.Time, a *PermitRequest, warm bool) *refusalEntry {
	for _, w := range [...]bool{true, warm} {
		if e, key := s.slot(a, w); e.key == key && now.UnixNano() < e.until && e.covers(refusalOrder(a, warm), a.Priority) {
			return e
		}
	}
	return nil
}

// covers reports whether the cached refusal applies to a request.
func (e *refusalEntry) covers(order float64, priority int) bool {
	return order >= e.order && priority <= int(e.priority)
}

// Record stores the admitter's answer to a permit request.
func (s *RefusalCache) Record(now time.Time, a *PermitRequest, warm bool, v Verdict) {
	mean := capacityRefusalTTL
	switch v {
	case OverShare:
		mean = shareRefusalTTL
	case OverCapacity, Granted:
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.find(now, a, warm)
	if v == Granted {
		for ; known != nil; known = s.find(now, a, warm) {
			*known = refusalEntry{} // there is room again
		}
		return
	}
	until := now.UnixNano() + int64((0.5+s.rnd.Float64())*float64(mean))
	order := refusalOrder(a, warm)
	if known != nil && (until < known.until || !(order <= known.order && a.Priority >= int(known.priority))) {
		return // the one that covers more, or lasts longer, is kept
	}
	e, key := s.slot(a, warm)
	*e = refusalEntry{key: key, until: until, order: order, priority: int8(a.Priority), verdict: v}
}
