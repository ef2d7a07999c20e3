package store

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// ErrHistoryTruncated reports that the requested changes are no longer retained.
// The caller must read the whole table again.
var ErrHistoryTruncated = errors.New("requested changes are no longer retained")

// Entry is one row of a table with a change feed. Value is nil in a change that
// removed the row.
type Entry struct {
	Key   string
	Value []byte
	// Version is the table version of the row's last change, in the era of the read.
	Version uint64
}

// Version is a state of a table. Numbers count in one era only: when the store returns as an
// older copy of itself, a new era begins and numbers are assigned again.
type Version struct {
	// Era is 0 for a store that states none.
	Era, Number uint64
}

// Compare orders versions: negative if v is older than o.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Number, o.Number))
}

// Reader reads tables and their change feeds. Errors have the code
// StoreUnavailable unless stated otherwise.
type Reader interface {
	// Snapshot reads a consistent snapshot of a table and its version.
	Snapshot(ctx context.Context, table string) ([]Entry, Version, error)
	// Changes returns the rows changed after a version, and the version to continue
	// from. It waits up to wait for a change, and returns ErrHistoryTruncated if
	// changes may be missing, as they are after a version of another era.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) ([]Entry, Version, error)
}

// Feed is a table service with change feeds.
type Feed interface {
	Reader
	// Set writes a row unconditionally.
	Set(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row; a missing row is not an error.
	Remove(ctx context.Context, table, key string) error
}
