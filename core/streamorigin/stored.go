package streamorigin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// minFlushInterval and flushPerInstance give the least time between two writes of one
	// instance: all together write 100 times a second at most. A start is written at once if the
	// last write is that old: what is not written when all instances are killed can't be resumed.
	minFlushInterval = 100 * time.Millisecond
	flushPerInstance = 10 * time.Millisecond
	// quickFlushPerInstance takes the place of flushPerInstance, for 250 writes a second, after a
	// write that took quickWrite at most. A store takes 300 a second and answers within 4 ms until then.
	quickFlushPerInstance = 4 * time.Millisecond
	quickWrite            = 20 * time.Millisecond
	// minSweepInterval is the least time between two looks for rows of ended processes.
	minSweepInterval = 30 * time.Second
)

// Write is a write that is due. Value is nil for a removal.
type Write struct {
	Key   string
	Value []byte
	// Expect is the version that the row must have, 0 for none, if Conditional is set.
	Expect      uint64
	Conditional bool

	pool fleet.PoolID
	row  *historyRow
}

// flushState is what is known of this instance's row of starts.
type flushState struct {
	// dirty is set if the row lacks a start or has a doubtful one.
	dirty bool
	// stored is set if the row may exist.
	stored bool
	// until is when its last start expires.
	until time.Time
	next  time.Time
	// quickNext is next if the write that is under way turns out to be quick, as the last one was if
	// quick is set.
	quickNext time.Time
	quick     bool
	// pools are those with several versions or moved streams at the last look.
	pools map[fleet.PoolID]bool
	// sweepAt is when rows of ended processes are looked for; zero for never.
	sweepAt time.Time
}

// Stored takes over what a read returned. It returns the keys of rows whose streams have all
// expired: of other instances, and of earlier processes of this one. The error names rows that
// cannot be decoded.
func (t *Tracker) Stored(r Read) (own, others []string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Era < t.era {
		return nil, nil, nil
	}
	t.era, t.clockRead, t.clockMillis = r.Era, r.End, r.ClockMillis
	clear(t.stored)
	found := map[fleet.PoolID]bool{}
	for _, row := range r.Rows {
		if name, ok := strings.CutPrefix(row.Key, versionsPrefix); ok {
			id := fleet.PoolID(name)
			h, bad := decodeHistory(row.Value, row.Version)
			if bad != nil {
				err = errors.Join(err, fmt.Errorf("row %q: %w", row.Key, bad))
			}
			if p := t.pools[id]; p != nil {
				found[id] = true
				p.merge(r, h, t.confirmed)
			}
			continue
		}
		if !strings.HasPrefix(row.Key, startsPrefix) || row.Key == t.startsKey {
			continue
		}
		s, bad := decodeStarts(row.Value)
		switch {
		case bad != nil:
			err = errors.Join(err, fmt.Errorf("row %q: %w", row.Key, bad))
		case s.untilMillis+clockMargin.Milliseconds() < r.ClockMillis && isOwn(row.Key, t.instance):
			own = append(own, row.Key)
		case s.untilMillis+clockMargin.Milliseconds() < r.ClockMillis:
			others = append(others, row.Key)
		default:
			t.mergeStarts(r, s)
		}
	}
	for id, p := range t.pools {
		if !found[id] {
			p.merge(r, &historyRow{}, t.confirmed)
		}
	}
	return own, others, err
}

// mergeStarts takes over the starts of another process. One written in an earlier era may have
// been withdrawn since, in a write that the store has lost.
func (t *Tracker) mergeStarts(r Read, s *startsRow) {
	if t.flush.sweepAt.IsZero() {
		t.flush.sweepAt = r.End.Add(minSweepInterval)
	}
	if s.era != r.Era {
		return
	}
	for version, keys := range s.keys {
		for _, k := range keys {
			old, ok := t.stored[k]
			t.stored[k] = storedStart{version, ok && (old.ambiguous || old.version != version)}
		}
	}
}

// merge takes over the stored history; confirmed is the time up to which the entries are known.
// A row of another era, or none, proves nothing, but the versions that it names count.
func (p *pool) merge(r Read, h *historyRow, confirmed time.Time) {
	p.row = h
	// The clock was read before the end of the read, so that the local times are late rather
	// than early.
	local := func(millis int64) time.Time {
		return r.End.Add(-time.Duration(r.ClockMillis-millis) * time.Millisecond)
	}
	for v, left := range h.Versions {
		last := r.End
		if left > 0 && left < r.ClockMillis {
			last = local(left)
		}
		if u := p.versions[v]; u != nil || r.End.Sub(last) <= p.window {
			u = p.use(r.End, v)
			u.last = laterOf(u.last, last)
		}
	}
	switch {
	case h.version == 0 && r.Era <= firstEra:
		p.always = true
	case !h.valid(r.Era):
		return
	case h.SinceMillis == 0:
		p.always = true
	default:
		// A history that begins in a gap of the view does not join what was known before.
		since, known := local(h.SinceMillis), laterOf(confirmed, p.proven)
		if since.Before(p.since) || since.After(known) && r.Start.Sub(known) > maxReadGap {
			p.since, p.always = since, false
		}
	}
	p.proven = r.Start
}

// valid reports whether the row proves which versions there were.
func (h *historyRow) valid(era uint64) bool { return h.version > 0 && !h.unreadable && h.Era == era }

// millis returns the store's clock at a local time, late rather than early.
func (t *Tracker) millis(at time.Time) int64 {
	return t.clockMillis + (at.Sub(t.clockRead) + clockMargin).Milliseconds()
}

// Work is what is to be done with the store now. Anything but the zero value begins with a read.
type Work struct {
	// Histories are the pools whose history may have to be written.
	Histories []fleet.PoolID
	// Clock is set if the starts can be stored only after a read.
	Clock bool
	// Sweep is set if rows of ended processes are to be removed.
	Sweep bool
}

// Any reports whether there is work.
func (w Work) Any() bool { return len(w.Histories) > 0 || w.Clock || w.Sweep }

// Due returns the work that is due. rank returns the place of this instance among the live
// ones in the order of writers of a pool.
func (t *Tracker) Due(now time.Time, rank func(fleet.PoolID) int) Work {
	t.mu.Lock()
	if t.working.IsZero() {
		t.working = now
	}
	waited := map[fleet.PoolID]time.Duration{}
	if now.Sub(t.confirmed) <= maxViewAge {
		for id, p := range t.pools {
			if !p.checkAt.IsZero() && !now.Before(p.checkAt) && len(p.versions) > 0 {
				waited[id] = now.Sub(laterOf(p.checkAt, t.working))
			}
		}
	}
	f := &t.flush
	w := Work{Clock: t.clockRead.IsZero() && f.dirty && len(f.pools) > 0 && !now.Before(f.next)}
	sweep := !f.sweepAt.IsZero() && !now.Before(f.sweepAt)
	t.mu.Unlock()
	// rank locks the list of peers.
	for id, d := range waited {
		if r := rank(id); r < writers && d >= time.Duration(r)*rankDelay {
			w.Histories = append(w.Histories, id)
		}
	}
	w.Sweep = sweep && rank("") == 0
	return w
}

// Histories returns the histories of pools that differ from what was read last and are to be
// written.
func (t *Tracker) Histories(now time.Time, pools []fleet.PoolID) []Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Write
	for _, id := range pools {
		p := t.pools[id]
		if p == nil || p.row == nil || p.checkAt.IsZero() || now.Before(p.checkAt) {
			continue
		}
		next, write := t.nextHistory(now, p)
		if !write {
			p.settle(now)
			continue
		}
		value, err := json.Marshal(next)
		if err != nil || len(value) > maxRowBytes {
			p.checkAt = now.Add(minSweepInterval) // so many versions are no history of releases
			continue
		}
		out = append(out, Write{Key: versionsKey(id), Value: value, Expect: p.row.version, Conditional: true, pool: id, row: next})
	}
	return out
}

// settle schedules the next comparison, for versions that may have left by then.
func (p *pool) settle(now time.Time) {
	p.checkAt = time.Time{}
	for v, u := range p.versions {
		if left, in := p.row.Versions[v]; in && left == 0 && !u.listed && now.Sub(u.absent) < closeDelay {
			p.checkBy(u.absent.Add(closeDelay))
		}
	}
}

// nextHistory returns the history with what this instance knows, and whether it is to be
// written. A version in the row stays, so that an older row never replaces a newer one.
func (t *Tracker) nextHistory(now time.Time, p *pool) (*historyRow, bool) {
	have := p.row
	valid := have.valid(t.era)
	next := &historyRow{Era: t.era, Versions: maps.Clone(have.Versions)}
	if next.Versions == nil {
		next.Versions = map[string]int64{}
	}
	write, anyListed := !valid, false
	for _, u := range p.versions {
		anyListed = anyListed || u.listed
	}
	for v, u := range p.versions {
		left, in := next.Versions[v]
		switch {
		case u.listed && (!in || left > 0):
			next.Versions[v], write = 0, true
		case u.listed:
		case in && left > 0:
			// It has served again since, and the store has lost that.
			if at := t.millis(u.seen); !u.seen.IsZero() && at-left > clockMargin.Milliseconds() {
				next.Versions[v], write = at, true
			}
		case !in && p.recent(now, u):
			next.Versions[v], write = t.millis(u.last), true
		// The last version stays, so that restarts of a single server are no change.
		case in && anyListed && now.Sub(u.absent) >= closeDelay:
			next.Versions[v], write = t.millis(now), true
		}
	}
	ownSince := max(1, t.millis(p.since))
	if p.always {
		ownSince = 0
	}
	next.SinceMillis = ownSince
	if valid {
		next.SinceMillis = min(have.SinceMillis, ownSince)
		if have.SinceMillis > t.millis(now.Add(-p.window)) && have.SinceMillis-ownSince > clockMargin.Milliseconds() {
			write = true
		}
	}
	oldest := t.clockMillis + now.Sub(t.clockRead).Milliseconds() - p.window.Milliseconds()
	maps.DeleteFunc(next.Versions, func(_ string, left int64) bool { return left > 0 && left < oldest })
	return next, write && len(next.Versions) > 0
}

// Written states that a write of Histories succeeded.
func (t *Tracker) Written(now time.Time, w Write) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[w.pool]; p != nil && p.row != nil && w.row.Era == t.era {
		p.row = w.row
		p.settle(now)
	}
}

// Flush returns the write of this instance's row of starts if it is due. Its result is passed
// to Flushed.
func (t *Tracker) Flush(now time.Time, instances int) (Write, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.flush
	t.notePools(now, instances)
	if now.Before(f.next) || len(f.pools) == 0 && !f.stored || t.clockRead.IsZero() {
		return Write{}, false
	}
	expired := f.stored && now.After(f.until)
	if !f.dirty && !expired || now.Sub(t.confirmed) > maxViewAge {
		return Write{}, false
	}
	f.next, f.quickNext = now.Add(FlushInterval(instances)), now.Add(flushInterval(instances, quickFlushPerInstance))
	f.dirty = false
	row := t.startsRow(now)
	if len(row.keys) == 0 {
		return Write{Key: t.startsKey}, f.stored
	}
	f.stored = true // also if the response of the write is lost
	return Write{Key: t.startsKey, Value: row.encode()}, true
}

// FlushInterval is the longest time between two writes of one of so many instances: the age from
// which on a start is known to others while several versions serve.
func FlushInterval(instances int) time.Duration { return flushInterval(instances, flushPerInstance) }

// StoredWithin returns the time after which an instance of a fleet of so many has stored the start of
// a stream, judged by how long the last write of this one took.
func (t *Tracker) StoredWithin(instances int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.flush.quick {
		return flushInterval(instances, quickFlushPerInstance)
	}
	return FlushInterval(instances)
}

func flushInterval(instances int, each time.Duration) time.Duration {
	return max(minFlushInterval, time.Duration(instances)*each)
}

// FlushAt returns when the next write of starts is due; zero for never.
func (t *Tracker) FlushAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.flush.dirty || len(t.flush.pools) == 0 {
		return time.Time{}
	}
	return t.flush.next
}

// notePools follows which pools have several versions or moved streams.
func (t *Tracker) notePools(now time.Time, instances int) {
	f := &t.flush
	pools, longest := map[fleet.PoolID]bool{}, minSweepInterval
	for id, p := range t.pools {
		if p.ambiguous(now) {
			pools[id], longest = true, max(longest, p.window)
		}
	}
	if maps.Equal(pools, f.pools) {
		return
	}
	if len(f.pools) == 0 {
		// Spreads the first reads and writes of the fleet.
		interval := FlushInterval(instances)
		f.next = now.Add(time.Duration(fleet.HashID(string(t.instance)) % uint64(interval)))
	}
	f.dirty, f.pools, f.sweepAt = true, pools, now.Add(longest)
}

// startsRow returns the newest starts of pools with several versions or moved streams.
func (t *Tracker) startsRow(now time.Time) *startsRow {
	f := &t.flush
	row, size := &startsRow{era: t.era, keys: map[string][]uint64{}}, 0
	f.until = time.Time{}
	for _, k := range slices.Backward(t.order) {
		s := t.starts[k]
		if s.doubtful || !f.pools[s.pool.id] || !now.Before(s.expires) {
			continue
		}
		need := hashBytes
		if row.keys[s.version] == nil {
			need += len(s.version) + 2*hashBytes
		}
		if size += need; size > maxRowBytes {
			break
		}
		row.keys[s.version] = append(row.keys[s.version], k)
		f.until = laterOf(f.until, s.expires)
	}
	row.untilMillis = t.millis(f.until)
	return row
}

// Flushed states whether the write of Flush succeeded, and how long it took.
func (t *Tracker) Flushed(w Write, ok bool, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flush.quick = ok && took <= quickWrite
	switch {
	case !ok:
		t.flush.dirty = true
	case w.Value == nil:
		t.flush.stored = false
	}
	if t.flush.quick {
		t.flush.next = t.flush.quickNext
	}
}

// Swept states that the rows of ended processes were looked for.
func (t *Tracker) Swept(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flush.sweepAt = time.Time{}
	if len(t.flush.pools) > 0 || len(t.stored) > 0 {
		t.flush.sweepAt = now.Add(minSweepInterval)
	}
}
