package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// Tracker holds the evidence of one instance. It is safe for concurrent use.
type Tracker struct {
	answered answeredParts
	// suspects is the number of records, so that requests skip the lock while there are none.
	suspects atomic.Int64
	// blocked is the current verdict; its map is immutable.
	blocked atomic.Pointer[map[PartKey]*record]

	mu      sync.Mutex
	self    fleet.InstanceID
	live    []fleet.InstanceID
	records map[PartKey]*record
	// poolAnswered is when a request of the pool, by the hash of its ID, was last answered
	// while there were records.
	poolAnswered map[uint64]time.Time
	// uncontrasted is set while a record waits for an answer of its pool.
	uncontrasted bool
	// nextReported is the position in the blocked parts from which the next report goes on;
	// standingAt is when a report last named one that has not changed.
	nextReported int
	standingAt   time.Time
	// obsolete are the parts whose stored evidence is obsolete, with the time since when.
	obsolete map[PartKey]time.Time
	// released is when stored parts were released; copies counts the older copies as which
	// the store has returned.
	released map[PartKey]time.Time
	copies   int
	changes  []Change
}

// Change is a changed verdict.
type Change struct {
	Part PartKey
	// Blocked is set if the part is blocked from now on.
	Blocked bool
	// Incidents is the number of separate crashes without an answer in between.
	Incidents int
	// AllAccounts is set if the part is blocked for all accounts and not only for those whose
	// requests were in progress.
	AllAccounts bool
	// Proven is set if an engine answered a request with the part before.
	Proven bool
}

// maxChanges limits the changes that wait for Changes.
const maxChanges = 256

// Changes returns the changes of verdicts since the last call.
func (t *Tracker) Changes() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.changes
	t.changes = nil
	return out
}

// New returns a Tracker without evidence.
func New(self fleet.InstanceID) *Tracker {
	t := &Tracker{self: self, live: []fleet.InstanceID{self}, records: map[PartKey]*record{}, poolAnswered: map[uint64]time.Time{}, obsolete: map[PartKey]time.Time{}, released: map[PartKey]time.Time{}}
	t.blocked.Store(&map[PartKey]*record{})
	return t
}

// SetInstances sets the live instances, this one included, among which duties are divided.
func (t *Tracker) SetInstances(live []fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.live = live
}

// Crashed records that a server crashed while a request of the account with these parts
// was in progress and not answered. It reports whether the evidence is new.
func (t *Tracker) Crashed(now time.Time, pool fleet.PoolID, crash Crash, account uint64, parts []placement.Part) bool {
	return t.CrashedAt(now, now, pool, crash, account, parts)
}

// CrashedAt is like Crashed for a crash at an earlier time, which is known only now.
func (t *Tracker) CrashedAt(now, at time.Time, pool fleet.PoolID, crash Crash, account uint64, parts []placement.Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for depth, p := range suspectParts(parts) {
		key := KeyOf(pool, p.ID)
		r := t.records[key]
		if r == nil {
			r = t.insert(&record{part: key, depth: depth, proven: t.answered.has(key), owner: account})
		}
		if r.addStrike(strike{crash, account, at}) {
			r.changedAt, changed = now, true
		}
	}
	if changed {
		t.update(now)
	}
	return changed
}

// Answered records that a server began to answer a request with these parts.
func (t *Tracker) Answered(now time.Time, pool fleet.PoolID, parts []placement.Part) {
	suspects := t.suspects.Load() > 0
	for _, p := range suspectParts(parts) {
		key := KeyOf(pool, p.ID)
		t.answered.add(key)
		if suspects {
			t.clear(now, key)
		}
	}
	if suspects {
		t.contrast(now, pool)
	}
}

// contrast records that the pool answers requests.
func (t *Tracker) contrast(now time.Time, pool fleet.PoolID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.poolAnswered[fleet.HashID(string(pool))] = now
	if t.uncontrasted {
		t.update(now)
	}
}

func (t *Tracker) clear(now time.Time, key PartKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[key]
	if r == nil {
		return
	}
	r.trial = trial{}
	if r.clear(now) {
		r.changedAt = now
		t.update(now)
	}
}

// MayRepeat reports whether a request that was in progress at a crash may be sent to
// another server.
func (t *Tracker) MayRepeat(pool fleet.PoolID, parts []placement.Part) bool {
	if t.suspects.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range suspectParts(parts) {
		if r := t.records[KeyOf(pool, p.ID)]; r != nil && r.isAgainstRepeat() {
			return false
		}
	}
	return true
}

// HasSuspect reports whether the prompt holds a part with strikes.
func (t *Tracker) HasSuspect(pool fleet.PoolID, parts []placement.Part) bool {
	if t.suspects.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasOtherSuspect(pool, nil, parts)
}

// insert adds a record. If the account of its first strike has brought up too many parts,
// one of its own goes, and in a full table one of the account with the most. The caller
// holds mu.
func (t *Tracker) insert(r *record) *record {
	held := map[uint64]int{}
	largest := r.owner
	for _, o := range t.records {
		held[o.owner]++
		if held[o.owner] > held[largest] {
			largest = o.owner
		}
	}
	switch {
	case held[r.owner] >= maxRecordsPerAccount:
		t.evict(r.owner)
	case len(t.records) >= maxRecords:
		t.evict(largest)
	}
	t.records[r.part] = r
	return r
}

// evict removes a record of an account: one that is not blocked before those that are, the
// one with the fewest incidents, the oldest of these. The caller holds mu.
func (t *Tracker) evict(owner uint64) {
	var weakest *record
	for _, r := range t.records {
		if r.owner != owner {
			continue
		}
		if weakest == nil || cmp.Or(compareBool(r.blocked, weakest.blocked), cmp.Compare(r.incidents(), weakest.incidents()), r.lastStrike().Compare(weakest.lastStrike())) < 0 {
			weakest = r
		}
	}
	if weakest != nil {
		delete(t.records, weakest.part)
	}
}

// update drops outdated records and publishes the verdict. The caller holds mu.
func (t *Tracker) update(now time.Time) {
	t.uncontrasted = false
	for _, r := range t.records {
		if r.contrasted || len(r.strikes) == 0 {
			continue
		}
		if t.poolAnswered[r.part.Pool].After(r.firstAt) {
			r.contrasted, r.changedAt = true, now
		}
		t.uncontrasted = t.uncontrasted || !r.contrasted
	}
	blocked := judge(t.records)
	for key, r := range t.records {
		was := r.blocked
		r.blocked = blocked[key] != nil
		if r.blocked != was && len(t.changes) < maxChanges {
			t.changes = append(t.changes, Change{Part: key, Blocked: r.blocked, Incidents: r.incidents(), AllAccounts: r.sharedAccounts(), Proven: r.proven})
		}
		if r.blocked && !was {
			r.blockedSince = now
		}
		if was && !r.blocked {
			r.changedAt = now
			if r.storedLevel > 0 || r.offered || t.copies > 0 {
				r.storedLevel, r.offered = 0, false
				t.release(now, key)
			}
		}
		// Answers are reported for a while, so that no instance keeps the strikes.
		if len(r.strikes) == 0 && now.Sub(r.changedAt) > reportTime || now.Sub(r.lastStrike()) > evidenceTTL {
			delete(t.records, key)
			delete(blocked, key)
		}
	}
	t.suspects.Store(int64(len(t.records)))
	t.blocked.Store(&blocked)
}

// Merge adds the evidence of another instance, or of the store. It reports whether any of it
// is new.
func (t *Tracker) Merge(now time.Time, list []Evidence) bool {
	if len(list) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, list)
}

// merge adds evidence and reports whether any of it is new. The caller holds mu.
func (t *Tracker) merge(now time.Time, list []Evidence) bool {
	changed := false
	for i := range list {
		e := &list[i]
		r := t.records[e.Part]
		if r == nil {
			if len(e.Strikes) == 0 {
				continue
			}
			r = t.insert(&record{part: e.Part, depth: e.Depth, proven: t.answered.has(e.Part), owner: e.Strikes[0].Account})
		}
		if r.merge(now, e) {
			r.changedAt, changed = now, true
		}
	}
	if changed {
		t.update(now)
	}
	return changed
}

const (
	// reportTime is how long changed evidence is sent with each report, so that lost
	// datagrams do no harm.
	reportTime = 2 * time.Second
	// maxReported limits the parts with changed evidence in one report, maxReportedStrikes the
	// strikes of each and maxReportStrikes those of all.
	maxReported        = 32
	maxReportedStrikes = 32
	maxReportStrikes   = 256
	// A report in each standingInterval names a blocked part without changes, by turns, with
	// up to maxStandingStrikes strikes, for instances that have just started.
	standingInterval   = time.Second
	maxStandingStrikes = 8
)

// Report returns the evidence for the next report to other instances.
func (t *Tracker) Report(now time.Time) []Evidence {
	if t.suspects.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed, standing []*record
	for _, r := range t.records {
		switch {
		case now.Sub(r.changedAt) < reportTime:
			changed = append(changed, r)
		case r.blocked:
			standing = append(standing, r)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int {
		// Each request that was in progress at a crash has a part of its own, with one strike.
		return cmp.Or(
			-compareBool(a.blocked, b.blocked), compareBool(len(a.strikes) == 1, len(b.strikes) == 1),
			cmp.Compare(b.incidents(), a.incidents()), cmp.Compare(len(b.strikes), len(a.strikes)),
			b.changedAt.Compare(a.changedAt), compareKeys(a.part, b.part),
		)
	})
	slices.SortFunc(standing, func(a, b *record) int { return compareKeys(a.part, b.part) })
	var out []Evidence
	if len(standing) > 0 && now.Sub(t.standingAt) >= standingInterval {
		t.standingAt = now
		t.nextReported = (t.nextReported + 1) % len(standing)
		out = append(out, standing[t.nextReported].evidence(now, maxStandingStrikes))
	}
	room := maxReportStrikes - maxStandingStrikes
	for _, r := range changed[:min(len(changed), maxReported)] {
		e := r.evidence(now, min(room, maxReportedStrikes))
		room -= len(e.Strikes)
		out = append(out, e)
	}
	if len(t.records) > len(changed)+len(standing) {
		t.update(now) // drops what has been reported long enough
	}
	return out
}

// ReportAgain has the parts that are kept from engines reported like changed ones, for an
// instance that has just started. It reports whether there are any.
func (t *Tracker) ReportAgain(now time.Time) bool {
	if t.suspects.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, r := range t.records {
		if r.blocked || r.isAgainstRepeat() {
			r.changedAt, found = now, true
		}
	}
	return found
}

// Summary counts the parts for operators.
type Summary struct {
	// Suspect are the parts with evidence, Blocked those kept away from the engines.
	Suspect, Blocked int
}

// Summary returns the number of parts under suspicion.
func (t *Tracker) Summary() Summary {
	return Summary{Suspect: int(t.suspects.Load()), Blocked: len(*t.blocked.Load())}
}
