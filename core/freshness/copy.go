package freshness

import (
	"slices"
	"sync"

	"cyclamenhitch/core/store"
)

// maxProofs limits the proofs that wait for the copy; the oldest ones are dropped.
const maxProofs = 8

// Copy tells as of when the copy of a followed table is complete. A long poll states only that
// it was when the poll began; a short read beside it shows which change the copy must have to be
// complete as of the start of that read. A Copy is safe for concurrent use.
type Copy struct {
	mu     sync.Mutex
	at     store.Version
	known  bool
	proofs []proof
}

// proof states that a copy with all changes up to a version is complete as of start.
type proof struct {
	version store.Version
	start   Instant
}

// Version returns the version up to which changes have been applied.
func (c *Copy) Version() (at store.Version, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at, c.known
}

// Applied records that all changes up to a version have been applied. If a proof waited for
// them, it returns as of when the copy is complete.
func (c *Copy) Applied(at store.Version) (start Instant, proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at, c.known = at, true
	return c.settle()
}

// Prove records that a read that began at start has shown the newest change of the table. If
// the copy has it, it is complete as of start.
func (c *Copy) Prove(newest store.Version, start Instant) (_ Instant, proven bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proofs = append(c.proofs, proof{newest, start})
	c.proofs = c.proofs[max(0, len(c.proofs)-maxProofs):]
	return c.settle()
}

// settle removes the proofs that the copy has reached, and those of an era that is over.
func (c *Copy) settle() (start Instant, proven bool) {
	c.proofs = slices.DeleteFunc(c.proofs, func(p proof) bool {
		if p.version.Era != c.at.Era {
			return p.version.Era < c.at.Era
		}
		reached := c.known && p.version.Number <= c.at.Number
		if reached {
			start, proven = max(start, p.start), true
		}
		return reached
	})
	return start, proven
}
