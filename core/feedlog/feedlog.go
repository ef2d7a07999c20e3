// Package feedlog keeps a replica of a followed table that can be served to other
// instances: its rows with the versions of their last changes. The replica belongs to one
// era of the store; the first snapshot of a newer era replaces it. A Log belongs to one table
// of one instance, performs no I/O and is safe for concurrent use.
package feedlog

import (
	"sync"

	"cyclamenhitch/core/store"
)

// Log is the replica of one table.
type Log struct {
	mu   sync.Mutex
	rows map[string]store.Entry
	// head is the version up to which the replica is complete; only changes of its era
	// after the number minVersion can be served.
	head       store.Version
	minVersion uint64
	loaded     bool
	changed    chan struct{}
}

// maxRemovedRows limits the removed rows that are kept to report their removal to followers.
const maxRemovedRows = 2048

// New returns the log of a table that has not been read yet.
func New() *Log { return &Log{rows: map[string]store.Entry{}, changed: make(chan struct{})} }

// Reset replaces the replica by a full snapshot of the table. It returns false if the
// snapshot is older than the replica.
func (l *Log) Reset(entries []store.Entry, version store.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loaded && version.Compare(l.head) < 0 {
		return false
	}
	l.rows = make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		l.rows[e.Key] = e
	}
	l.head, l.minVersion, l.loaded = version, version.Number, true
	l.notifyChange()
	return true
}

// Apply applies the changes between two versions of the table. It returns false if they do
// not continue the replica, which then stays unchanged.
func (l *Log) Apply(entries []store.Entry, after, version store.Version) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || after.Era != l.head.Era || version.Era != l.head.Era || after.Number > l.head.Number {
		return false
	}
	for _, e := range entries {
		if old, ok := l.rows[e.Key]; !ok || old.Version < e.Version {
			l.rows[e.Key] = e
		}
	}
	l.head.Number = max(l.head.Number, version.Number)
	l.pruneRemoved()
	if len(entries) > 0 {
		l.notifyChange()
	}
	return true
}

// pruneRemoved deletes the removed rows once there are more than maxRemovedRows.
func (l *Log) pruneRemoved() {
	removed := 0
	for _, e := range l.rows {
		if e.Value == nil {
			removed++
		}
	}
	if removed <= maxRemovedRows {
		return
	}
	for key, e := range l.rows {
		if e.Value == nil {
			l.minVersion = max(l.minVersion, e.Version)
			delete(l.rows, key)
		}
	}
}

func (l *Log) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the changes after a version, the version reached with them, and a
// channel that is closed at the next change. It returns store.ErrHistoryTruncated if changes
// may be missing.
func (l *Log) Since(after store.Version) ([]store.Entry, store.Version, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loaded || after.Era != l.head.Era || after.Number < l.minVersion {
		return nil, store.Version{}, l.changed, store.ErrHistoryTruncated
	}
	var out []store.Entry
	for _, e := range l.rows {
		if e.Version > after.Number {
			out = append(out, e)
		}
	}
	return out, store.Version{Era: l.head.Era, Number: max(after.Number, l.head.Number)}, l.changed, nil
}

// Era returns the era of the replica, 0 if the table has not been read.
func (l *Log) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head.Era
}

// Snapshot returns all rows and their version, and false if the table has not been read.
func (l *Log) Snapshot() ([]store.Entry, store.Version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]store.Entry, 0, len(l.rows))
	for _, e := range l.rows {
		if e.Value != nil {
			out = append(out, e)
		}
	}
	return out, l.head, l.loaded
}
