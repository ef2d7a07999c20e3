// Package feedlog keeps a copy of a followed table that can be handed on to other
// instances: its rows with the versions of their last changes. A Log belongs to one
// table of one instance and is safe for concurrent use. It performs no I/O.
package feedlog

import (
	"sync"

	"cyclamenhitch/core/store"
)

// Log is the copy of one table.
type Log struct {
	mu   sync.Mutex
	rows map[string]store.Entry
	// head is the version up to which the copy is complete; changes after floor can
	// be handed on.
	head, floor uint64
	known       bool
	changed     chan struct{}
}

// maxRemoved bounds the removed rows that are kept, so that their removal can be
// handed on.
const maxRemoved = 2048

// New returns the log of a table that has not been read.
func New() *Log { return &Log{rows: map[string]store.Entry{}, changed: make(chan struct{})} }

// Reset replaces the copy by the whole table as of a version. It returns false for
// a version older than the copy.
func (l *Log) Reset(entries []store.Entry, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && version < l.head {
		return false
	}
	l.rows = make(map[string]store.Entry, len(entries))
	for _, e := range entries {
		l.rows[e.Key] = e
	}
	l.head, l.floor, l.known = version, version, true
	l.wake()
	return true
}

// Apply adds the changes between two versions of the table. It returns false when
// they do not continue the copy, which then stays as it is.
func (l *Log) Apply(entries []store.Entry, after, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || after > l.head {
		return false
	}
	for _, e := range entries {
		if old, ok := l.rows[e.Key]; !ok || old.Version < e.Version {
			l.rows[e.Key] = e
		}
	}
	if version > l.head {
		l.head = version
	}
	l.forget()
	if len(entries) > 0 {
		l.wake()
	}
	return true
}

// forget drops removed rows when there are many.
func (l *Log) forget() {
	removed := 0
	for _, e := range l.rows {
		if e.Value == nil {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, e := range l.rows {
		if e.Value == nil {
			l.floor = max(l.floor, e.Version)
			delete(l.rows, key)
		}
	}
}

func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the changes after a version, the version that they lead to, and a
// channel that is closed at the next change. It returns store.ErrHistoryGone when
// changes may be missing.
func (l *Log) Since(after uint64) ([]store.Entry, uint64, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known || after < l.floor {
		return nil, 0, l.changed, store.ErrHistoryTruncated
	}
	var out []store.Entry
	for _, e := range l.rows {
		if e.Version > after {
			out = append(out, e)
		}
	}
	return out, max(after, l.head), l.changed, nil
}

// Snapshot returns all rows and their version, and false when the table is not known.
func (l *Log) Snapshot() ([]store.Entry, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]store.Entry, 0, len(l.rows))
	for _, e := range l.rows {
		if e.Value != nil {
			out = append(out, e)
		}
	}
	return out, l.head, l.known
}
