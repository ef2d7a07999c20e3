package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// spareShare and spareLoad are the mean times for which a refusal for an
	// account's share, or for the capacity, spares the next asks. A full engine
	// ends a request each 170 ms.
	spareShare = 3 * time.Second
	spareLoad  = 100 * time.Millisecond
	// spareProbe is the part of the asks that is sent all the same, so that freed
	// capacity is noticed before the time has passed.
	spareProbe = 1.0 / 32
	// sparedSlots bounds the memory, 128 KiB. Two refusals in one slot replace each
	// other, which costs an ask.
	sparedSlots = 4096
)

// sparedSlot is a refusal of an account by an engine.
type sparedSlot struct {
	key      uint64 // of account, engine and warm; 0 means empty
	until    int64  // UnixNano
	order    float64
	priority int8
	verdict  Verdict
}

// Spared remembers at a serving instance which engines refused an account just
// now, so that its next asks need not be sent to their admitters.
type Spared struct {
	mu    sync.Mutex
	rnd   *rand.Rand
	slots [sparedSlots]sparedSlot
}

// NewSpared returns an empty memory; seed feeds the spread of its times.
func NewSpared(seed uint64) *Spared { return &Spared{rnd: rand.New(rand.NewPCG(seed, 3))} }

// slot returns the place of the last refusal. Chats without a prefix have their
// own, because their refusals are the most frequent and tell least.
func (s *Spared) slot(a *Ask, warm bool) (*sparedSlot, uint64) {
	key := fleet.Mix(fleet.HashID(string(a.Account)), fleet.HashID(string(a.Server)))
	if warm {
		key = ^key
	}
	key = max(key, 1)
	return &s.slots[key%sparedSlots], key
}

// askOrder places the asks of an account in the order in which an admitter
// refuses them, the last first: a chat without a prefix, then the others in the
// order in which they lose their prefixes.
func askOrder(a *Ask, warm bool) float64 {
	if !warm {
		return 1
	}
	return keepOrder(a.Chat)
}

// Skip returns the refusal that the ask would most likely get. warm says that
// the engine is expected to hold the chat's prefix.
func (s *Spared) Skip(now time.Time, a *Ask, warm bool) (Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, a, warm)
	if e == nil || s.rnd.Float64() < spareProbe {
		return Granted, false
	}
	return e.verdict, true
}

// find returns the refusal that covers the ask, or nil. A chat without a prefix
// is refused as well when one with a prefix was.
func (s *Spared) find(now time.Time, a *Ask, warm bool) *sparedSlot {
	for _, w := range [...]bool{true, warm} {
		if e, key := s.slot(a, w); e.key == key && now.UnixNano() < e.until && e.covers(askOrder(a, warm), a.Priority) {
			return e
		}
	}
	return nil
}

// covers reports whether an ask is refused when the remembered one was.
func (e *sparedSlot) covers(order float64, priority int) bool {
	return order >= e.order && priority <= int(e.priority)
}

// Note records an admitter's answer to an ask that was sent.
func (s *Spared) Note(now time.Time, a *Ask, warm bool, v Verdict) {
	mean := spareLoad
	switch v {
	case OverShare:
		mean = spareShare
	case OverLoad, Granted:
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.find(now, a, warm)
	if v == Granted {
		for ; known != nil; known = s.find(now, a, warm) {
			*known = sparedSlot{} // there is room again
		}
		return
	}
	until := now.UnixNano() + int64((0.5+s.rnd.Float64())*float64(mean))
	order := askOrder(a, warm)
	if known != nil && (until < known.until || !(order <= known.order && a.Priority >= int(known.priority))) {
		return // the one that covers more, or lasts longer, is kept
	}
	e, key := s.slot(a, warm)
	*e = sparedSlot{key: key, until: until, order: order, priority: int8(a.Priority), verdict: v}
}
