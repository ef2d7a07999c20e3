// Package lapse decides when a server whose entry has vanished from the store counts
// as gone. Entries run out while the store is away and come back shortly after its
// return. A Grace belongs to one instance; its owner serialises the calls.
package lapse

import "time"

// Grace follows whether the store could be read.
type Grace struct {
	away bool
	back time.Time
}

// Return is how long after the store's return the entries of living servers are back.
const Return = 2 * time.Second

// Lost notes that the store cannot be read.
func (g *Grace) Lost() { g.away = true }

// Read notes that the store could be read.
func (g *Grace) Read(now time.Time) {
	if g.away {
		g.away, g.back = false, now
	}
}

// Keep returns until when a server is kept whose entry is found missing now; a time
// that is not after now means that it is gone.
func (g *Grace) Keep(now time.Time) time.Time {
	if g.away {
		return now.Add(Return)
	}
	return g.back.Add(Return)
}
