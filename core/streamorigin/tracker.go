// Package streamorigin decides at which software version a stream began, so that a caller
// that takes the stream up goes on at the same version.
//
// A Tracker belongs to one instance and performs no I/O. It holds the versions that serve each
// pool, the streams that began at this instance, and what was read of the history of versions
// and of the starts that other instances stored. It is safe for concurrent use.
//
// It relies on this: a server whose entry is removed was listed for longer than maxViewAge, and
// a server that starts again under its ID writes its entry within restartMargin.
package streamorigin

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/store"
)

const (
	// maxReadGap is the longest time between two reads of the server entries in which no server
	// comes and goes unseen: an entry stays for three heartbeats at least, some 3.6 s.
	maxReadGap = 2 * time.Second
	// maxViewAge is the age from which on the entries as read last are too old to store what
	// they show, and to exclude that a server started again. One instance that reads from
	// another sees what the store had 2 s ago at times.
	maxViewAge = 3 * time.Second
	// restartMargin is the time before the last entry of an earlier process of a server in
	// which a start may have reached the next process already.
	restartMargin = time.Second
	// expiryMargin is how long after its deadline a stream may still be taken up.
	expiryMargin = 5 * time.Second
	// maxStarts limits the starts that are held, which take some 150 bytes each.
	maxStarts = 32 << 10
)

// Server is a backend server as its entry describes it.
type Server struct {
	ID fleet.ServerID
	// Version is the version of its software; an empty one is a version of its own.
	Version string
	// StartMillis is when it started, in Unix ms by its own clock; 0 means unknown.
	StartMillis int64
	// Sequence changes with each entry that the server writes; 0 means unknown.
	Sequence uint64
}

// Evidence is what an origin was decided by.
type Evidence string

// Kinds of evidence.
const (
	// Unknown means that there is none.
	Unknown Evidence = "unknown"
	// NeedsRows means that the rows of the store may have some, and NeedsEntries that a read of
	// the server entries may confirm one.
	NeedsRows    Evidence = "needs_rows"
	NeedsEntries Evidence = "needs_entries"
	// Local is a start at this instance.
	Local Evidence = "local"
	// SingleVersion means that only one version can have served the pool.
	SingleVersion Evidence = "single_version"
	// Stored is a start that another instance, or an earlier process of this one, stored.
	Stored Evidence = "stored"
)

// Origin is where a stream began. Version holds only if Known.
type Origin struct {
	Version string
	By      Evidence
}

// Known reports whether the version is certain.
func (o Origin) Known() bool { return o.By == Local || o.By == SingleVersion || o.By == Stored }

// Lookup is a question for an origin and what was done for its answer.
type Lookup struct {
	// Arrived is when the caller asked. Other instances may have begun the stream up to then, at
	// servers whose entries this instance has not read.
	Arrived time.Time
	// RowsRead and EntriesAwaited state that a read of the rows, or of the server entries, that
	// began since then has succeeded or is no longer waited for.
	RowsRead, EntriesAwaited bool
	// NoneNewer states that the store answers nobody, and that no peer knows another version of
	// the pool.
	NoneNewer bool
	// Moved states that a configuration in force within the window sent the stream to another
	// pool, so that it may have begun there.
	Moved bool
}

// start is a stream that began at this instance.
type start struct {
	pool    *pool
	version string
	server  fleet.ServerID
	at      time.Time
	expires time.Time
	// doubtful is set if another process of the server may have run it.
	doubtful bool
}

// storedStart is the version in the starts of other instances; ambiguous ones contradict
// each other.
type storedStart struct {
	version   string
	ambiguous bool
}

// Tracker is the knowledge of one instance. Times are readings of its monotonic clock; those
// of the store's clock are in ms.
type Tracker struct {
	instance fleet.InstanceID
	// startsKey is the key of the row with this instance's starts.
	startsKey string

	mu    sync.Mutex
	pools map[fleet.PoolID]*pool
	// confirmed is the time up to which the entries of the servers are known.
	confirmed time.Time
	starts    map[uint64]*start
	// order holds the keys of starts, oldest first.
	order  []uint64
	stored map[uint64]storedStart
	// clockRead and clockMillis are a reading of the store's clock.
	clockRead   time.Time
	clockMillis int64
	era         uint64
	flush       flushState
	// working is when Due was first called, from which on writers wait for each other.
	working time.Time
}

// New returns the tracker of an instance. incarnation identifies its process.
func New(instance fleet.InstanceID, incarnation uint64) *Tracker {
	return &Tracker{
		instance: instance, startsKey: startsKey(instance, incarnation),
		pools: map[fleet.PoolID]*pool{}, starts: map[uint64]*start{}, stored: map[uint64]storedStart{},
	}
}

// streamKey identifies a stream of a pool.
func streamKey(p fleet.PoolID, streamID string) uint64 {
	return fleet.Mix(fleet.HashID(string(p)), fleet.HashID(streamID))
}

// SetServers states all servers of a pool that have an entry. window is the longest time in
// which a stream of the pool may be taken up after it began. It reports whether the versions
// that serve the pool have changed.
func (t *Tracker) SetServers(now time.Time, id fleet.PoolID, window time.Duration, servers []Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[id]
	if p == nil {
		p = newPool(id, now)
		t.pools[id] = p
	}
	p.window = max(p.window, window)
	if now.Sub(t.confirmed) > maxViewAge {
		for _, rec := range p.servers {
			rec.unsure = true
		}
	}
	for _, s := range servers {
		if from, doubtful := p.observe(now, s); doubtful {
			t.doubt(p, s.ID, from)
		}
	}
	for _, rec := range p.dropServers(now, servers) {
		t.doubt(p, rec.ID, rec.aliveAt.Add(-restartMargin))
	}
	return p.setVersions(now, servers)
}

// Confirm states that the entries passed to SetServers are complete as of at. It is called
// after SetServers for each read of the entries, also if they have not changed.
func (t *Tracker) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.confirmed) {
		return
	}
	for _, p := range t.pools {
		p.confirm(at, t.confirmed)
	}
	t.confirmed = at
}

// doubt marks the starts at a server since from: its next process may have run them.
func (t *Tracker) doubt(p *pool, server fleet.ServerID, from time.Time) {
	for _, s := range t.starts {
		if s.pool == p && s.server == server && s.at.After(from) && !s.doubtful {
			s.doubtful, t.flush.dirty = true, true
		}
	}
}

// Started records that a server has begun a stream, which may be taken up until its deadline
// and somewhat later. A later call for the same stream replaces an earlier one.
func (t *Tracker) Started(now time.Time, id fleet.PoolID, streamID, version string, server fleet.ServerID, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[id]
	if p == nil {
		return
	}
	key := streamKey(id, streamID)
	if t.starts[key] == nil {
		t.order = append(t.order, key)
	}
	s := &start{pool: p, version: version, server: server, at: now, expires: deadline.Add(expiryMargin)}
	// The entry may have changed since the server was selected.
	if rec := p.servers[server]; rec == nil || rec.Version != version {
		s.doubtful = true
	}
	t.starts[key] = s
	if p.ambiguous(now) {
		t.flush.dirty = true
	}
	t.dropStarts(now)
}

// dropStarts removes expired starts, and the oldest ones beyond the limit.
func (t *Tracker) dropStarts(now time.Time) {
	n := 0
	for n < len(t.order) && (len(t.order)-n > maxStarts || !now.Before(t.starts[t.order[n]].expires)) {
		delete(t.starts, t.order[n])
		n++
	}
	t.order = t.order[n:]
}

// Origin returns at which version a stream of a pool began. It returns NeedsRows and
// NeedsEntries only while the lookup has not done what they ask for.
func (t *Tracker) Origin(now time.Time, id fleet.PoolID, streamID string, l Lookup) Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[id]
	if p == nil {
		return undecided(l)
	}
	key := streamKey(id, streamID)
	// A doubtful start says nothing, but what is known of the whole pool still may.
	began := t.starts[key]
	if began != nil && !began.doubtful {
		switch {
		case t.sameProcess(l.Arrived, began):
			return Origin{began.version, Local}
		case !l.EntriesAwaited:
			return Origin{By: NeedsEntries}
		}
	}
	if s, ok := t.stored[key]; ok && began == nil {
		if s.ambiguous {
			return Origin{By: Unknown}
		}
		return Origin{s.version, Stored}
	}
	if began == nil && t.beganElsewhere(id, streamID) {
		return Origin{By: Unknown}
	}
	if l.Moved {
		return undecided(l)
	}
	if version, ok := p.onlyVersion(now); ok {
		fresh, complete := !t.confirmed.Before(l.Arrived), p.complete(now)
		switch {
		case fresh && complete:
			return Origin{version, SingleVersion}
		case !complete && !l.RowsRead:
			return Origin{By: NeedsRows}
		case !fresh && !l.EntriesAwaited:
			return Origin{By: NeedsEntries}
		// Without proof, an instance that has known the pool for as long as streams live goes
		// on with the only version that it has ever seen there.
		case (fresh || l.NoneNewer) && !p.several && (complete || now.Sub(p.firstSeen) >= p.window):
			return Origin{version, SingleVersion}
		}
	}
	return undecided(l)
}

// beganElsewhere reports whether a stream is known to have begun in another pool than the given
// one. The versions of two pools are those of different software.
func (t *Tracker) beganElsewhere(id fleet.PoolID, streamID string) bool {
	for other := range t.pools {
		key := streamKey(other, streamID)
		if _, ok := t.stored[key]; other != id && (ok || t.starts[key] != nil) {
			return true
		}
	}
	return false
}

// Moved states that a configuration has moved streams between the pools. Their starts are stored
// for as long as the streams may be taken up, since their versions do not tell the pools apart.
func (t *Tracker) Moved(now time.Time, pools []fleet.PoolID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range pools {
		if p := t.pools[id]; p != nil {
			p.movedUntil = laterOf(p.movedUntil, now.Add(p.window))
		}
	}
}

// ConfirmedSince reports whether the entries are known as of a read that began then or later.
func (t *Tracker) ConfirmedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.confirmed.Before(at)
}

// Versions returns the versions that may have begun streams of each pool.
func (t *Tracker) Versions(now time.Time) map[fleet.PoolID][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[fleet.PoolID][]string, len(t.pools))
	for id, p := range t.pools {
		for v, use := range p.versions {
			if p.recent(now, use) {
				out[id] = append(out[id], v)
			}
		}
	}
	return out
}

// Doubtful reports whether another process of its server, with another version, may have begun
// a stream of this instance.
func (t *Tracker) Doubtful(now time.Time, id fleet.PoolID, streamID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.starts[streamKey(id, streamID)]
	return s != nil && s.pool.several && (s.doubtful || now.Sub(t.confirmed) > maxViewAge && !t.sameProcess(now, s))
}

// sameProcess reports whether the entry of the server, as read last, would show if another
// process had run the start. asked is when the stream was asked for.
func (t *Tracker) sameProcess(asked time.Time, s *start) bool {
	if shows := s.at.Add(restartMargin); shows.Before(asked) {
		asked = shows
	}
	return !t.confirmed.Before(asked)
}

func undecided(l Lookup) Origin {
	if !l.RowsRead {
		return Origin{By: NeedsRows}
	}
	return Origin{By: Unknown}
}

// Void forgets which rows are stored, because the store has returned as an older copy.
func (t *Tracker) Void(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.row, p.checkAt = nil, now
	}
	// The next write states the new era, which a read has to show; one of the old era that ends
	// only now is void.
	t.flush.dirty, t.clockRead = true, time.Time{}
	t.era++
}

// Read is one read of all rows of the table.
type Read struct {
	// Start and End are when it began and ended.
	Start, End time.Time
	Rows       []store.Entry
	// ClockMillis is the store's clock during the read.
	ClockMillis int64
	Era         uint64
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
