package budget

import "sync"

const (
	// LongBody is the size in bytes above which a request body counts as long.
	LongBody = 256 << 10
	// longPercent is the part of the budget that long bodies may take.
	longPercent = 75
	// accountPercent is the part of what long bodies may take up to which an account gets
	// what is set aside, and that is set aside: an account that holds more can't take it.
	accountPercent = 25
	// unreadPercent is the part of the budget, beside what bodies take, for unread bytes.
	unreadPercent = 20
)

// Bodies is the budget of the request bodies that are in memory. Short bodies always find
// room beside long ones, and an account can't take all that long ones may.
type Bodies struct {
	mu        sync.Mutex
	all, long amount
	unread    amount
	accounts  map[uint64]int64 // bytes of long bodies
	freed     chan struct{}
}

// NewBodies returns a budget of limit bytes.
func NewBodies(limit int64) *Bodies {
	return &Bodies{
		all: amount{limit: limit}, long: amount{limit: limit * longPercent / 100}, unread: amount{limit: limit * unreadPercent / 100},
		accounts: map[uint64]int64{}, freed: make(chan struct{}),
	}
}

// Limit, Used, Highest and Refused are those of all bodies, in bytes.
func (b *Bodies) Limit() int64   { return b.all.Limit() }
func (b *Bodies) Used() int64    { return b.all.Used() }
func (b *Bodies) Highest() int64 { return b.all.Highest() }
func (b *Bodies) Refused() int64 { return b.all.Refused() + b.long.Refused() }

// Take takes n bytes for a body of an account. It reports false, and returns a channel that
// is closed when bytes have been given back, if there is no room.
func (b *Bodies) Take(account uint64, n int64) (ok bool, freed <-chan struct{}) {
	return b.Resize(account, 0, n)
}

// Resize makes what a body of an account has taken n bytes instead of held. Without room it
// reports false, changes nothing and returns a channel as Take does.
func (b *Bodies) Resize(account uint64, held, n int64) (ok bool, freed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(account, -held)
	if n > held && !b.hasRoom(account, n) {
		b.add(account, held)
		return false, b.freed
	}
	b.add(account, n)
	b.all.raiseHighest(b.all.Used())
	b.long.raiseHighest(b.long.Used())
	if n < held {
		b.signal()
	}
	return true, nil
}

// hasRoom reports whether n bytes are free for a body of an account, and counts a refusal.
func (b *Bodies) hasRoom(account uint64, n int64) bool {
	if n > LongBody {
		share := b.long.limit * accountPercent / 100
		if b.accounts[account]+n > share && b.long.Used()+n > b.long.limit-share || b.long.Used()+n > b.long.limit {
			b.long.refused.Add(1)
			return false
		}
	}
	if b.all.Used()+n > b.all.limit {
		b.all.refused.Add(1)
		return false
	}
	return true
}

// add changes what is counted by a body of n bytes, or of -n to take it out again.
func (b *Bodies) add(account uint64, n int64) {
	b.all.used.Add(n)
	if max(n, -n) <= LongBody {
		return
	}
	b.long.used.Add(n)
	if b.accounts[account] += n; b.accounts[account] <= 0 {
		delete(b.accounts, account)
	}
}

func (b *Bodies) signal() {
	close(b.freed)
	b.freed = make(chan struct{})
}

// Pressed reports whether bodies wait for room.
func (b *Bodies) Pressed() bool { return b.unread.Used() > 0 }

// Wait reports whether one more body may wait unread. Each success needs a Waited.
func (b *Bodies) Wait() bool { return b.unread.take(UnreadBytes) }

// Waited ends what Wait began.
func (b *Bodies) Waited() { b.unread.used.Add(-UnreadBytes) }

// Give gives back what Take or Resize has taken.
func (b *Bodies) Give(account uint64, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(account, -n)
	b.signal()
}
