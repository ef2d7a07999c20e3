// Package entryexpiry decides when a server whose entry is missing from the store is
// considered gone. Entries expire during an outage of the store, because servers
// cannot renew them, and reappear shortly after it. EntryGrace is not safe for
// concurrent use.
package entryexpiry

import "time"

// EntryGrace tracks whether the store is available, and keeps servers whose entries
// expired during an outage.
type EntryGrace struct {
	storeDown   bool
	storeBackAt time.Time
}

// EntryReturnTime is the time after the store's recovery within which live servers have
// renewed their entries.
const EntryReturnTime = 2 * time.Second

// StoreFailed records a failed read of the store.
func (g *EntryGrace) StoreFailed() { g.storeDown = true }

// StoreRead records a successful read of the store.
func (g *EntryGrace) StoreRead(now time.Time) {
	if g.storeDown {
		g.storeDown, g.storeBackAt = false, now
	}
}

// KeepUntil returns until when to keep a server whose entry is found missing at now. If
// that time is not after now, the server is gone.
func (g *EntryGrace) KeepUntil(now time.Time) time.Time {
	if g.storeDown {
		return now.Add(EntryReturnTime)
	}
	return g.storeBackAt.Add(EntryReturnTime)
}
