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
	// the instance that takes over when its admitter fails. What the last copy does
	// not hold is counted as whole prompts then, which for a chat that came back is
	// one turn and for a new chat its prompt.
	CopyInterval = 15 * time.Second
	// piggybackInterval is the interval when a message goes to that instance anyway,
	// which saves the 405 bytes of a call.
	piggybackInterval = 5 * time.Second
	// maxCopyRecords bounds the records of one copy, about 11 bytes each. An engine at
	// target size has about 700 records of the last routing.WarmFor; the newest
	// ones are sent.
	maxCopyRecords = 2048
)

// Copy is what the next admitter of an engine must know besides the permits,
// which their holders list.
type Copy struct {
	Server      fleet.ServerID
	Incarnation uint64
	// ColdAge is the time since the cold start; negative means warm.
	ColdAge  time.Duration
	Prefixes []routing.PrefixRecord
	// until is where the next copy begins, and life the receiver's incarnation:
	// a restarted instance has no copies.
	until               time.Time
	receiverIncarnation uint64
}

// sentCopy is the state of one engine's copies.
type sentCopy struct {
	to                  fleet.InstanceID
	receiverIncarnation uint64
	incarnation         uint64
	until               time.Time
}

// CopyScheduler decides which records go to which instance. One goroutine uses it.
type CopyScheduler struct {
	self    fleet.InstanceID
	servers map[fleet.ServerID]sentCopy
	sent    map[fleet.InstanceID]time.Time
}

// NewCopyScheduler returns a state without copies.
func NewCopyScheduler(self fleet.InstanceID) *CopyScheduler {
	return &CopyScheduler{self: self, servers: map[fleet.ServerID]sentCopy{}, sent: map[fleet.InstanceID]time.Time{}}
}

// Due returns the copies to send now, by receiver. The first copy to a receiver
// has all records, later ones what was used since. going says that a message
// goes to the instance anyway. The caller passes what arrived to Delivered.
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

// limitToNewest drops the oldest records beyond maxCopy.
func limitToNewest(ps []routing.PrefixRecord) []routing.PrefixRecord {
	if len(ps) <= maxCopyRecords {
		return ps
	}
	slices.SortFunc(ps, func(a, b routing.PrefixRecord) int { return int(a.Age) - int(b.Age) })
	return ps[:maxCopyRecords]
}

// Delivered notes that copies arrived. Those that did not are part of the next.
func (c *CopyScheduler) Delivered(to fleet.InstanceID, ks []Copy) {
	for _, k := range ks {
		c.servers[k.Server] = sentCopy{to, k.receiverIncarnation, k.Incarnation, k.until}
	}
}

// FullCopies returns all records of servers, for the handover of their ledgers.
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

// ApplyCopy takes what the admitter of an engine sent to this instance.
func (l *Ledger) ApplyCopy(now time.Time, k Copy, recent *routing.RecentChats) {
	l.pendingMu.Lock()
	last, ok := l.copies[k.Server]
	if ok && k.Incarnation < last.incarnation {
		l.pendingMu.Unlock()
		return // overtaken by a later copy
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

// coldState is what a copy tells about the restarts of an engine.
type coldState struct {
	incarnation uint64
	since       time.Time // of the cold start; zero when warm
}

// coldState returns the incarnation of an engine admitted to here and the time
// since its cold start, negative when warm.
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

// restoreColdState continues the ramp of a copied engine, so that an engine which turned
// cold before its admitter failed, or while none was there, is not taken for a
// warm one.
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
// instance's engines when it fails. These are not always the second ones: those
// may admit to as many engines as they are allowed already.
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
