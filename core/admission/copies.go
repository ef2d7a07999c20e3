package admission

import (
	"maps"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/routing"
)

const (
	// CopyInterval is the time between two copies of an engine's prefix records to
	// the instance that takes over when its admitter fails. After a takeover,
	// prefixes missing from the last copy count as uncached: one turn of a returning
	// chat, or the prompt of a new chat.
	CopyInterval = 15 * time.Second
	// piggybackInterval is the interval when another message is sent to that
	// instance anyway, which saves the 405 bytes of a separate call.
	piggybackInterval = 5 * time.Second
	// maxCopyRecords limits the records in one copy, about 11 bytes each. An engine
	// at target size has about 700 records from the last routing.PrefixTTL. The most
	// recent records are sent.
	maxCopyRecords = 2048
)

// Copy is the state of an engine that its next admitter needs besides the permits,
// which their holders report.
type Copy struct {
	Server      fleet.ServerID
	Incarnation uint64
	// ColdAge is the time since the cold start; negative means warm.
	ColdAge  time.Duration
	Prefixes []routing.PrefixRecord
	// until is the time from which the next copy continues, and receiverIncarnation
	// the receiver's incarnation: a restarted instance has lost its copies.
	until               time.Time
	receiverIncarnation uint64
}

// sentCopy describes the last delivered copy of one engine.
type sentCopy struct {
	to                  fleet.InstanceID
	receiverIncarnation uint64
	incarnation         uint64
	until               time.Time
}

// CopyScheduler decides which records to copy to which instance. It is not safe for
// concurrent use.
type CopyScheduler struct {
	self    fleet.InstanceID
	servers map[fleet.ServerID]sentCopy
	sent    map[fleet.InstanceID]time.Time
}

// NewCopyScheduler returns a scheduler that has sent no copies.
func NewCopyScheduler(self fleet.InstanceID) *CopyScheduler {
	return &CopyScheduler{self: self, servers: map[fleet.ServerID]sentCopy{}, sent: map[fleet.InstanceID]time.Time{}}
}

// Due returns the copies to send now, by receiver. The first copy to a receiver
// has all records, later ones those used since. piggyback reports whether another
// message is sent to the instance anyway. The caller passes delivered copies to
// Delivered.
func (c *CopyScheduler) Due(now time.Time, t *Table, l *Ledger, recent *routing.RecentChats, piggyback func(fleet.InstanceID) bool) map[fleet.InstanceID][]Copy {
	next := t.Successors(c.self)
	since := map[fleet.ServerID]time.Time{}
	for s := range c.servers {
		if next[s] == nil {
			delete(c.servers, s)
		}
	}
	for to := range c.sent {
		if t.View.Find(to) == nil {
			delete(c.sent, to)
		}
	}
	for s, m := range next {
		if age := now.Sub(c.sent[m.ID]); age >= CopyInterval || age >= piggybackInterval && piggyback(m.ID) {
			since[s] = time.Time{}
			if last := c.servers[s]; last.to == m.ID && last.receiverIncarnation == m.Incarnation {
				since[s] = last.until
			}
		}
	}
	if len(since) == 0 {
		return nil
	}
	out := map[fleet.InstanceID][]Copy{}
	records := recent.Prefixes(now, now, since)
	for _, s := range slices.Sorted(maps.Keys(since)) {
		to := next[s].ID
		c.sent[to] = now
		k := Copy{Server: s, Prefixes: limitToNewest(records[s]), until: now, receiverIncarnation: next[s].Incarnation}
		k.Incarnation, k.ColdAge = l.coldState(now, s)
		if len(k.Prefixes) > 0 || k.Incarnation != c.servers[s].incarnation {
			out[to] = append(out[to], k)
		}
	}
	return out
}

// limitToNewest drops the oldest records beyond maxCopyRecords.
func limitToNewest(ps []routing.PrefixRecord) []routing.PrefixRecord {
	if len(ps) <= maxCopyRecords {
		return ps
	}
	slices.SortFunc(ps, func(a, b routing.PrefixRecord) int { return int(a.Age) - int(b.Age) })
	return ps[:maxCopyRecords]
}

// Delivered records delivered copies. The records of lost copies are sent again in
// the next copy.
func (c *CopyScheduler) Delivered(to fleet.InstanceID, ks []Copy) {
	for _, k := range ks {
		c.servers[k.Server] = sentCopy{to, k.receiverIncarnation, k.Incarnation, k.until}
	}
}

// FullCopies returns copies with all records of the servers, for a ledger handover.
func FullCopies(now time.Time, snaps []Snapshot, recent *routing.RecentChats) map[fleet.ServerID]Copy {
	since := make(map[fleet.ServerID]time.Time, len(snaps))
	for _, s := range snaps {
		since[s.Server] = time.Time{}
	}
	records := recent.Prefixes(now, now.Add(routing.PrefixAgeUnit), since)
	out := make(map[fleet.ServerID]Copy, len(snaps))
	for _, s := range snaps {
		out[s.Server] = Copy{Server: s.Server, Incarnation: s.Incarnation, ColdAge: s.ColdAge, Prefixes: limitToNewest(records[s.Server])}
	}
	return out
}

// ApplyCopy stores a copy received from the admitter of an engine.
func (l *Ledger) ApplyCopy(now time.Time, k Copy, recent *routing.RecentChats) {
	l.pendingMu.Lock()
	last, ok := l.copies[k.Server]
	if ok && k.Incarnation < last.incarnation {
		l.pendingMu.Unlock()
		return // out of order: a later copy was applied already
	}
	st := coldState{incarnation: k.Incarnation}
	if k.ColdAge >= 0 {
		st.since = now.Add(-k.ColdAge)
	}
	l.copies[k.Server] = st
	l.pendingMu.Unlock()
	if ok && k.Incarnation > last.incarnation {
		recent.ForgetServer(k.Server)
	}
	recent.Merge(now, k.Server, k.Prefixes)
}

// coldState is the incarnation and the cold start of an engine, from a copy.
type coldState struct {
	incarnation uint64
	since       time.Time // of the cold start; zero when warm
}

// coldState returns the incarnation of an engine that this instance admits to and
// the time since its cold start, negative when warm.
func (l *Ledger) coldState(now time.Time, server fleet.ServerID) (uint64, time.Duration) {
	sh := l.shard(server)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.engines[server]
	if e == nil || e.rampPart(now) >= 1 {
		if e == nil {
			return 0, -1
		}
		return e.incarnation, -1
	}
	return e.incarnation, now.Sub(e.coldSince)
}

// restoreColdState continues the cold-start ramp recorded in a copy, so that an
// engine that turned cold before its admitter failed, or while it had none, is not
// treated as warm.
func (l *Ledger) restoreColdState(id fleet.ServerID, e *engine) {
	l.pendingMu.Lock()
	st, ok := l.copies[id]
	delete(l.copies, id)
	l.pendingMu.Unlock()
	if ok {
		e.incarnation, e.coldSince = st.incarnation, st.since
	}
}

// Successors returns the instances that become the primary admitters of an
// instance's engines when it fails. These are not always the second admitters,
// which may have reached their engine limit already.
func (t *Table) Successors(self fleet.InstanceID) map[fleet.ServerID]*membership.Member {
	t.successorMu.Lock()
	defer t.successorMu.Unlock()
	if out, ok := t.successors[self]; ok {
		return out
	}
	out := map[fleet.ServerID]*membership.Member{}
	for _, r := range t.byRegion {
		i := slices.IndexFunc(r.members, func(m *membership.Member) bool { return m.ID == self })
		if i < 0 || len(r.members) == 1 {
			continue
		}
		rest := &regionState{
			members: slices.Delete(slices.Clone(r.members), i, i+1),
			hashes:  slices.Delete(slices.Clone(r.hashes), i, i+1),
			servers: r.servers,
		}
		rest.assign(1, func(s fleet.ServerID, members []*membership.Member) {
			if t.Primary(s, self) {
				out[s] = members[0]
			}
		})
	}
	if t.successors == nil {
		t.successors = map[fleet.InstanceID]map[fleet.ServerID]*membership.Member{}
	}
	t.successors[self] = out
	return out
}
