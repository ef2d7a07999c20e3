package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// shareRefusalTTL and spareLoad are the mean times for which a refusal for an
	// account's share, or for the capacity, spares the next asks. A full engine
	// ends a request each 170 ms.
	shareRefusalTTL    = 3 * time.Second
	capacityRefusalTTL = 100 * time.Millisecond
	// probeFraction is the part of the asks that is sent all the same, so that freed
	// capacity is noticed before the time has passed.
	probeFraction = 1.0 / 32
	// refusalSlots bounds the memory, 128 KiB. Two refusals in one slot replace each
	// other, which costs an ask.
	refusalSlots = 4096
)

// refusalEntry is a refusal of an account by an engine.
type refusalEntry struct {
	key      uint64 // of account, engine and warm; 0 means empty
	until    int64  // UnixNano
	order    float64
	priority int8
	verdict  Verdict
}

// RefusalCache remembers at a serving instance which engines refused an account just
// now, so that its next asks need not be sent to their admitters.
type RefusalCache struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	slots [refusalSlots]refusalEntry
}

// NewRefusalCache returns an empty memory; seed feeds the spread of its times.
func NewRefusalCache(seed uint64) *RefusalCache {
	return &RefusalCache{rnd: rand.New(rand.NewPCG(seed, 3))}
}

// slot returns the place of the last refusal. Chats without a prefix have their
// own, because their refusals are the most frequent and tell least.
func (s *RefusalCache) slot(a *PermitRequest, warm bool) (*refusalEntry, uint64) {
	key := fleet.Mix(fleet.HashID(string(a.Account)), fleet.HashID(string(a.Server)))
	if warm {
		key = ^key
	}
	key = max(key, 1)
	return &s.slots[key%refusalSlots], key
}

// refusalOrder places the asks of an account in the order in which an admitter
// refuses them, the last first: a chat without a prefix, then the others in the
// order in which they lose their prefixes.
func refusalOrder(a *PermitRequest, warm bool) float64 {
	if !warm {
		return 1
	}
	return retentionOrder(a.Chat)
}

// Lookup returns the refusal that the ask would most likely get. warm says that
// the engine is expected to hold the chat's prefix.
func (s *RefusalCache) Lookup(now time.Time, a *PermitRequest, warm bool) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, a, warm)
	if e == nil || s.rnd.Float64() < probeFraction {
		return Granted, false
	}
	return e.verdict, true
}

// find returns the refusal that covers the ask, or nil. A chat without a prefix
// is refused as well when one with a prefix was.
func (s *RefusalCache) find(now time.Time, a *PermitRequest, warm bool) *refusalEntry {
	for _, w := range [...]bool{true, warm} {
		if e, key := s.slot(a, w); e.key == key && now.UnixNano() < e.until && e.covers(refusalOrder(a, warm), a.Priority) {
			return e
		}
	}
	return nil
}

// covers reports whether an ask is refused when the remembered one was.
func (e *refusalEntry) covers(order float64, priority int) bool {
	return order >= e.order && priority <= int(e.priority)
}

// Record records an admitter's answer to an ask that was sent.
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
