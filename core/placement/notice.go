package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// pauseRampTime is the time after a pause in which the load of the server returns
	// gradually.
	pauseRampTime = 2 * time.Second
	// leavingMemory is how long a server that left the list is remembered as leaving, in
	// case its entry returns. maxLeavingNotes limits the servers remembered.
	leavingMemory   = 10 * time.Minute
	maxLeavingNotes = 4096
)

// notices are what a server announced to this instance in its answers.
//
// Invariant: a server that announced its leaving gets no more requests of this instance
// until it starts again or the list shows that it stays.
type notices struct {
	// announced is set once the server has announced anything. Without it the other fields
	// need not be looked at, which saves time in pools of hundreds of servers.
	announced   bool
	leaving     bool
	pausedUntil time.Time
}

// leavingNote remembers that an incarnation of a server is leaving.
type leavingNote struct {
	incarnation int64
	address     string
	at          time.Time
}

// takesRequests reports whether requests may be sent to the server.
func (s *serverState) takesRequests(now time.Time) bool {
	return !s.Out && (!s.notices.announced || !s.notices.leaving && !s.paused(now))
}

func (s *serverState) paused(now time.Time) bool {
	return s.notices.announced && now.Before(s.notices.pausedUntil)
}

// rampShare is the share of its load bound that the server may take after a pause.
func (s *serverState) rampShare(now time.Time) float64 {
	if !s.notices.announced || s.notices.pausedUntil.IsZero() {
		return 1
	}
	return min(1, float64(now.Sub(s.notices.pausedUntil))/float64(pauseRampTime))
}

// NoteLeaving records that a server announced its leaving to this instance, and reports
// whether that is new.
func (b *Balancer) NoteLeaving(now time.Time, server fleet.ServerID) bool {
	changed := false
	b.forServer(server, func(p *pool, s *serverState) {
		if s.notices.leaving {
			return
		}
		s.notices.announced, s.notices.leaving, changed = true, true, true
		p.forgetLeaving(now)
		if len(p.leaving) < maxLeavingNotes {
			p.leaving[server] = leavingNote{s.Incarnation, s.Address, now}
		}
		p.notifyWaiters()
	})
	return changed
}

// NoteLeavingAt is NoteLeaving for the servers at an address other than the named one,
// which rejected a request that was meant for the named one.
func (b *Balancer) NoteLeavingAt(now time.Time, address string, named fleet.ServerID) []fleet.ServerID {
	var at, changed []fleet.ServerID
	b.mu.RLock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if s.Address == address && s.ID != named {
				at = append(at, s.ID)
			}
		}
		p.mu.Unlock()
	}
	b.mu.RUnlock()
	for _, id := range at {
		if b.NoteLeaving(now, id) {
			changed = append(changed, id)
		}
	}
	return changed
}

// NotePause records that a server wants nothing from this instance until a time, and
// reports whether that prolongs an earlier pause.
func (b *Balancer) NotePause(server fleet.ServerID, until time.Time) bool {
	changed := false
	b.forServer(server, func(p *pool, s *serverState) {
		if until.After(s.notices.pausedUntil) {
			s.notices.announced, s.notices.pausedUntil, changed = true, until, true
			p.notifyWaiters()
		}
	})
	return changed
}

// EarliestPauseEnd returns when the first paused server of a pool takes requests again, and
// false if none is paused.
func (b *Balancer) EarliestPauseEnd(now time.Time, id fleet.PoolID) (time.Time, bool) {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	var end time.Time
	for _, s := range p.list {
		if until := s.notices.pausedUntil; !s.Out && !s.notices.leaving && s.paused(now) && (end.IsZero() || until.Before(end)) {
			end = until
		}
	}
	return end, !end.IsZero()
}

// restoreNotices sets the notices of a server after the list was read. old is its state
// before; nil if the server is new to the list or has started again. The caller holds the
// lock of the pool.
func (p *pool) restoreNotices(s *serverState, old *serverState, listed Server) {
	note, known := p.leaving[listed.ID]
	switch {
	case old != nil && old.Server.Draining && !listed.Draining:
		// The list is newer than the announcement: it showed the leaving and now its end.
		s.notices.leaving = false
		delete(p.leaving, listed.ID)
	case known && note.incarnation == listed.Incarnation && note.address == listed.Address:
		s.notices.announced, s.notices.leaving = true, true
	case known:
		delete(p.leaving, listed.ID)
	}
}

// forgetLeaving drops the notes of servers that have been gone for long. The caller holds
// the lock of the pool.
func (p *pool) forgetLeaving(now time.Time) {
	for id, note := range p.leaving {
		if p.servers[id] == nil && now.Sub(note.at) > leavingMemory {
			delete(p.leaving, id)
		}
	}
}
