// Package storeera decides what still holds after the store has returned as an older copy
// of itself. The store numbers such returns as eras; versions of an earlier era are void. A
// Tracker holds the newest era of one instance, Switches and Servers what that instance has
// seen of rows whose newer state the store may have lost. All perform no I/O; a Tracker is
// safe for concurrent use, the others are guarded by their owner.
//
// Load addressed: copies 2 to 8 s older than what was acknowledged, also several in a row,
// while requests, restarts and writes go on.
package storeera

import "sync"

// Tracker follows the era of the store.
type Tracker struct {
	// OnRise, unless nil, is called during Observe for each increase, before other calls
	// return the new era. It must not call the Tracker.
	OnRise func(era uint64)

	mu      sync.Mutex
	known   bool
	newest  uint64
	rises   int
	changed chan struct{}
}

// NewTracker returns a tracker that knows no era.
func NewTracker() *Tracker { return &Tracker{changed: make(chan struct{})} }

// Observe records the era of an answer of the store, or one that a peer has seen. It returns
// false if a newer one is known: the answer is then to be dropped.
func (t *Tracker) Observe(era uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.known && era <= t.newest:
		return era == t.newest
	case !t.known:
		t.known, t.newest = true, era
		return true
	}
	t.newest = era
	t.rises++
	if t.OnRise != nil {
		t.OnRise(era)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return true
}

// Newest returns the newest era, and false if none is known.
func (t *Tracker) Newest() (era uint64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest, t.known
}

// Rises returns how often the era has increased since the start, and a channel that is
// closed at the next increase.
func (t *Tracker) Rises() (int, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rises, t.changed
}
