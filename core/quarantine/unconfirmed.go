package quarantine

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// UnconfirmedCrash is a refused connect after the end of a request that nothing but the links of
// the instance shows. Either the server has crashed or the link to it is lost.
type UnconfirmedCrash struct {
	Server fleet.ServerID
	// Entry is what the server's entry stated before the connect, At the time of that.
	Entry EntryState
	At    time.Time
	// Record records the crash.
	Record func()
}

// EntryState is what is known of a server from its entry in the store, which the server writes.
type EntryState struct {
	// Listed is set if there is an entry.
	Listed bool
	// Lapsed is set if the entry is missing and may have expired in an outage of the store.
	Lapsed bool
	// Leaving is set if the server has announced that it leaves.
	Leaving bool
	// StartMillis is the start of the server, in Unix ms; 0 means unknown.
	StartMillis int64
	// Sequence increases with each entry that the server writes; 0 means unknown.
	Sequence uint64
}

const (
	// maxUnconfirmed limits the unconfirmed crashes that are kept.
	maxUnconfirmed = 256
	// maxUnconfirmedTime is how long one is kept. The entry of a crashed server expires 3.6 s after
	// it was written last, and the removal has to reach the instance.
	maxUnconfirmedTime = 6 * time.Second
	// maxEntryDelay is the time in which entries reach an instance, through peers too. A new entry
	// that arrives within it may have been written before the crash.
	maxEntryDelay = time.Second
)

// Unconfirmed decides from the entries of servers which unconfirmed crashes are crashes: a server
// that has crashed starts again, or lets its entry expire without having announced that it leaves;
// one that is out of reach goes on writing its entry. It is safe for concurrent use.
type Unconfirmed struct {
	mu   sync.Mutex
	kept []UnconfirmedCrash
}

// Add keeps an unconfirmed crash until Decide decides it. It reports whether it is the only one.
// Nothing is kept of a server whose entry cannot show a crash.
func (u *Unconfirmed) Add(c UnconfirmedCrash) bool {
	if !c.Entry.Listed || c.Entry.Lapsed || c.Entry.Leaving {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.kept) >= maxUnconfirmed {
		return false
	}
	u.kept = append(u.kept, c)
	return len(u.kept) == 1
}

// Decide takes the current entries of servers. It returns the crashes that they confirm, and
// whether any remain undecided.
func (u *Unconfirmed) Decide(now time.Time, entry func(fleet.ServerID) EntryState) (confirmed []UnconfirmedCrash, remain bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	var open []UnconfirmedCrash
	for _, c := range u.kept {
		e := entry(c.Server)
		switch c.judge(now, e) {
		case entryConfirms:
			confirmed = append(confirmed, c)
		case entryUndecided:
			if now.Sub(c.At) < maxEntryDelay {
				c.Entry.Sequence = e.Sequence
			}
			open = append(open, c)
		}
	}
	u.kept = open
	return confirmed, len(open) > 0
}

// entryVerdict is what the entry of a server says about an unconfirmed crash.
type entryVerdict int

const (
	entryUndecided entryVerdict = iota
	entryConfirms
	entryRefutes
)

func (c *UnconfirmedCrash) judge(now time.Time, e EntryState) entryVerdict {
	age := now.Sub(c.At)
	switch {
	case e.Lapsed, e.Leaving, age >= maxUnconfirmedTime:
		return entryRefutes
	case !e.Listed, c.Entry.StartMillis != 0 && e.StartMillis != c.Entry.StartMillis:
		return entryConfirms
	case age >= maxEntryDelay && e.Sequence > c.Entry.Sequence:
		return entryRefutes
	}
	return entryUndecided
}
