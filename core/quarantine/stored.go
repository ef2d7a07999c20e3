package quarantine

import (
	"encoding/json"
	"errors"
	"slices"
	"time"
)

// StoreAction is a write that this instance owes to the store.
type StoreAction struct {
	Part PartKey
	// Key and Value are the row to write; a nil Value removes it.
	Key   string
	Value []byte
	// Again is set if the row may have been stored before an older copy of the store lost it.
	Again bool
	// copies counts how often the stored rows had been lost when the write became due.
	copies int
	// level is that of the row.
	level int
}

// removalTime is how long an instance tries to remove an obsolete row. One that stays does
// not count for longer than evidenceTTL.
const removalTime = 30 * time.Second

// Pending returns the writes that this instance owes to the store: the evidence of blocked
// parts that it has to store, and rows of parts that are no longer blocked.
func (t *Tracker) Pending(now time.Time) ([]StoreAction, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []StoreAction
	for key, since := range t.obsolete {
		switch {
		case now.Sub(since) > removalTime:
			delete(t.obsolete, key)
		case t.isEligible(key, 0):
			out = append(out, StoreAction{Part: key, Key: key.String(), copies: t.copies})
		}
	}
	for key, r := range t.records {
		since := r.blockedSince
		if last := r.lastStrike(); last.After(since) {
			since = last
		}
		if !r.blocked || r.storedLevel > r.failedTrials() || !t.isEligible(key, now.Sub(since)) {
			continue
		}
		value, err := encodeRow(now, r)
		if err != nil {
			return nil, err
		}
		r.offered = true
		out = append(out, StoreAction{Part: key, Key: key.String(), Value: value, Again: t.copies > 0, copies: t.copies, level: r.failedTrials() + 1})
	}
	return out, nil
}

// Done records that a write of Pending has taken effect.
func (t *Tracker) Done(now time.Time, a StoreAction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.copies != t.copies {
		return // the store has lost the write, or may have
	}
	_, released := t.obsolete[a.Part]
	if a.Value == nil {
		delete(t.obsolete, a.Part)
	} else if r := t.records[a.Part]; r != nil && !released {
		r.storedLevel, r.changedAt = max(r.storedLevel, a.level), now
	}
}

// ForgetStored records that the store has returned as an older copy: what it holds is
// unknown, so that all blocked parts are stored again.
func (t *Tracker) ForgetStored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies++
	for _, r := range t.records {
		r.storedLevel = 0
	}
}

const (
	// releaseMemory is how long a released part is remembered: for two older copies of the
	// store in a row, 8 s each, and the outages before them.
	releaseMemory = time.Minute
	maxReleased   = 256
)

// release records that a stored part is no longer blocked. The caller holds mu.
func (t *Tracker) release(now time.Time, key PartKey) {
	for k, at := range t.released {
		if now.Sub(at) >= releaseMemory || len(t.released) >= maxReleased {
			delete(t.released, k)
		}
	}
	t.obsolete[key], t.released[key] = now, now
}

// Copies returns how often the store has returned as an older copy.
func (t *Tracker) Copies() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copies
}

// MergeStored merges evidence read from the store. Rows of parts that were released after
// their last crash, which an older copy of the store shows again, are removed instead. copies
// is the result of Copies before the read: if the store has returned as an older copy since
// then, the rows do not tell what it holds.
func (t *Tracker) MergeStored(now time.Time, list []Evidence, copies int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := list[:0:0]
	for _, e := range list {
		at, ok := t.released[e.Part]
		if copies != t.copies {
			e.StoredLevel = 0
		}
		if !ok || slices.ContainsFunc(e.Strikes, func(s Strike) bool { return now.Add(-s.Age).After(at) }) {
			kept = append(kept, e)
			continue
		}
		t.obsolete[e.Part] = now
	}
	t.merge(now, kept)
}

// row is the stored form of the evidence about a part. Times are Unix milliseconds.
type row struct {
	Depth  int  `json:"depth"`
	Proven bool `json:"proven"`
	// Level is Evidence.StoredLevel.
	Level   int         `json:"level"`
	Strikes []rowStrike `json:"strikes"`
}

type rowStrike struct {
	Crash   Crash  `json:"crash"`
	Account uint64 `json:"account"`
	AtMs    int64  `json:"at_ms"`
}

func encodeRow(now time.Time, r *record) ([]byte, error) {
	w := row{Depth: r.depth, Proven: r.proven, Level: r.failedTrials() + 1}
	for _, s := range r.strikes {
		w.Strikes = append(w.Strikes, rowStrike{s.crash, s.account, now.Add(s.at.Sub(now)).UnixMilli()})
	}
	return json.Marshal(w)
}

var errNoStrikes = errors.New("row holds no strikes")

// Expired reports whether all strikes are too old to count.
func (e *Evidence) Expired() bool {
	return !slices.ContainsFunc(e.Strikes, func(s Strike) bool { return s.Age < evidenceTTL })
}

// DecodeRow returns the evidence of a stored row. now is the time of day; clocks that
// differ make the evidence older or newer by as much.
func DecodeRow(now time.Time, key string, value []byte) (Evidence, error) {
	part, err := parsePartKey(key)
	if err != nil {
		return Evidence{}, err
	}
	var w row
	if err := json.Unmarshal(value, &w); err != nil {
		return Evidence{}, err
	}
	if len(w.Strikes) == 0 {
		return Evidence{}, errNoStrikes
	}
	// Only evidence of blocked parts is stored.
	e := Evidence{Part: part, Depth: w.Depth, Proven: w.Proven, Contrasted: true, StoredLevel: w.Level}
	for _, s := range w.Strikes[max(0, len(w.Strikes)-maxStrikes):] {
		e.Strikes = append(e.Strikes, Strike{s.Crash, s.Account, max(0, now.Sub(time.UnixMilli(s.AtMs)))})
	}
	return e, nil
}
