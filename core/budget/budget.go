// Package budget accounts for a resource that many parts of a process share. The parts take
// from a Bytes and give back; a Bytes has no lock and is owned by the instance.
package budget

import "sync/atomic"

// amount is a limited amount of a resource.
type amount struct {
	limit                  int64
	used, highest, refused atomic.Int64
}

// Limit returns the size of the budget.
func (b *amount) Limit() int64 { return b.limit }

// Used and Highest return what is taken now and the most that was taken at once.
func (b *amount) Used() int64    { return b.used.Load() }
func (b *amount) Highest() int64 { return b.highest.Load() }

// Refused returns how often a part was refused more.
func (b *amount) Refused() int64 { return b.refused.Load() }

// Bytes is an amount of memory that is shared. A nil Bytes has no limit.
type Bytes struct{ amount }

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{amount{limit: limit}} }

// take takes n unless that exceeds the limit.
func (b *amount) take(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.raiseHighest(used + n)
			return true
		}
	}
}

func (b *amount) raiseHighest(used int64) {
	for {
		highest := b.highest.Load()
		if used <= highest || b.highest.CompareAndSwap(highest, used) {
			return
		}
	}
}

// Hold is what one owner has taken. It is used by one goroutine at a time.
type Hold struct {
	from *Bytes
	n    int64
}

// Hold returns an empty hold.
func (b *Bytes) Hold() Hold { return Hold{from: b} }

// Resize makes the hold n bytes large. It reports false, and changes nothing, if the budget
// does not have the bytes that are missing.
func (h *Hold) Resize(n int) bool {
	more := int64(n) - h.n
	switch {
	case h.from == nil:
	case more > 0:
		if !h.from.take(more) {
			return false
		}
	default:
		h.from.used.Add(more)
	}
	h.n = int64(n)
	return true
}

// Release gives everything back. It may be called more than once.
func (h *Hold) Release() { h.Resize(0) }
