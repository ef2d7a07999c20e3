package storeera

import (
	"cmp"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// goneMemory is how long a server that has left is remembered after its entry was last
	// seen: as RemovalMemory.
	goneMemory = time.Minute
	// maxGone limits the servers that are remembered; the oldest go first.
	maxGone = 4096
)

// Stamp orders the entries that a server writes about itself.
type Stamp struct {
	// Born is when the server started, in Unix ms on its own clock, which may be set back between
	// two starts.
	Born int64
	// Sequence increases with each entry that it writes; 0 means unknown.
	Sequence uint64
}

// Compare orders stamps: negative if s is older than o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Born, o.Born), cmp.Compare(s.Sequence, o.Sequence))
}

// Known is what an instance knows of a server.
type Known struct {
	Stamp Stamp
	// Leaving is set if it accepts no new work, Gone if its entry is missing.
	Leaving, Gone bool
}

// Supersedes reports whether an entry of a server replaces what is known of it, after the
// store has returned as an older copy. live is true for an entry that was written after that
// copy was read in full; then one with an equal stamp replaces it too, because servers
// write theirs again, and one of another process does whatever its clock says.
func Supersedes(known, entry Known, live bool) bool {
	switch c := entry.Stamp.Compare(known.Stamp); {
	case live && entry.Stamp.Born != known.Stamp.Born:
		return true
	case c != 0:
		return c > 0
	case live:
		return true
	}
	return !known.Gone && (!known.Leaving || entry.Leaving)
}

// Servers remembers the last entry of each server that has left, and the processes of servers
// that others have replaced. The zero value is empty.
type Servers struct {
	gone     map[fleet.ServerID]departure
	replaced map[process]time.Time
}

// process is a process of a server that started at a time in Unix ms on its own clock.
type process struct {
	id   fleet.ServerID
	born int64
}

type departure struct {
	stamp Stamp
	entry []byte
	at    time.Time
}

// Left records that a server is gone, with its last entry, as written.
func (s *Servers) Left(now time.Time, id fleet.ServerID, stamp Stamp, entry []byte) {
	if s.gone == nil {
		s.gone = map[fleet.ServerID]departure{}
	}
	if d, ok := s.gone[id]; ok && d.stamp.Compare(stamp) > 0 {
		return
	}
	s.gone[id] = departure{stamp, entry, now}
	if len(s.gone) > maxGone {
		s.expire(now)
	}
}

// Accepted records that an entry of a server counts. known is the stamp of the entry that it
// replaces, zero if there is none. A change of another process shows that the one before has ended.
func (s *Servers) Accepted(now time.Time, id fleet.ServerID, known, stamp Stamp, live bool) {
	if d, ok := s.gone[id]; ok && known == (Stamp{}) {
		known = d.stamp
	}
	delete(s.gone, id)
	delete(s.replaced, process{id, stamp.Born})
	if !live || known == (Stamp{}) || known.Born == stamp.Born {
		return
	}
	if s.replaced == nil {
		s.replaced = map[process]time.Time{}
	}
	s.replaced[process{id, known.Born}] = now
	if len(s.replaced) > maxGone {
		s.expireReplaced(now)
	}
}

// expireReplaced drops the processes that were replaced too long ago, and the oldest if there are none.
func (s *Servers) expireReplaced(now time.Time) {
	var oldest process
	for p, at := range s.replaced {
		if now.Sub(at) >= goneMemory {
			delete(s.replaced, p)
		} else if oldest.id == "" || at.Before(s.replaced[oldest]) {
			oldest = p
		}
	}
	if len(s.replaced) > maxGone {
		delete(s.replaced, oldest)
	}
}

// IsGone reports whether an entry does not supersede the last one of a server that has left, or
// is of a process that another one has replaced. The server is then remembered for longer.
func (s *Servers) IsGone(now time.Time, id fleet.ServerID, stamp Stamp, live bool) bool {
	p := process{id, stamp.Born}
	if at, ok := s.replaced[p]; ok && !live && now.Sub(at) < goneMemory {
		s.replaced[p] = now
		return true
	}
	d, ok := s.gone[id]
	if !ok || now.Sub(d.at) >= goneMemory || Supersedes(Known{Stamp: d.stamp, Gone: true}, Known{Stamp: stamp}, live) {
		return false
	}
	d.at = now
	s.gone[id] = d
	return true
}

// Each calls f with the last entry of each remembered server.
func (s *Servers) Each(now time.Time, f func(id fleet.ServerID, entry []byte)) {
	for id, d := range s.gone {
		if now.Sub(d.at) < goneMemory {
			f(id, d.entry)
		}
	}
}

// expire drops what is too old, and the oldest if nothing is.
func (s *Servers) expire(now time.Time) {
	var oldest fleet.ServerID
	for id, d := range s.gone {
		if now.Sub(d.at) >= goneMemory {
			delete(s.gone, id)
		} else if oldest == "" || d.at.Before(s.gone[oldest].at) {
			oldest = id
		}
	}
	if len(s.gone) > maxGone {
		delete(s.gone, oldest)
	}
}
