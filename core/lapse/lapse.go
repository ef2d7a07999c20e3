// Package lapse decides when a server whose entry has vanished from the store counts
// as gone. Entries run out while the store is away and come back shortly after its
// return. A Grace belongs to one instance; its owner serialises the calls.
package lapse

import "time"

// EntryGrace follows whether the store could be read.
type EntryGrace struct {
	away bool
	back time.Time
}

// EntryReturnTime is how long after the store's return the entries of living servers are back.
const EntryReturnTime = 2 * time.Second

// StoreFailed notes that the store cannot be read.
func (g *EntryGrace) StoreFailed() { g.away = true }

// StoreRead notes that the store could be read.
func (g *EntryGrace) StoreRead(now time.Time) {
	if g.away {
		g.away, g.back = false, now
	}
}

// KeepUntil returns until when a server is kept whose entry is found missing now; a time
// that is not after now means that it is gone.
func (g *EntryGrace) KeepUntil(now time.Time) time.Time {
	if g.away {
		return now.Add(EntryReturnTime)
	}
	return g.back.Add(EntryReturnTime)
}
