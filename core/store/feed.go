package store

import (
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
	// Version is the table version of the row's last change.
	Version uint64
}

// Reader reads tables and their change feeds. Errors have the code
// StoreUnavailable unless stated otherwise.
type Reader interface {
	// Snapshot reads a consistent snapshot of a table and its version.
	Snapshot(ctx context.Context, table string) ([]Entry, uint64, error)
	// Changes returns the rows changed after a version, and the version to continue
	// from. It waits up to wait for a change, and returns ErrHistoryTruncated if
	// changes may be missing.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Entry, uint64, error)
}

// Feed is a table service with change feeds.
type Feed interface {
	Reader
	// Set writes a row unconditionally.
	Set(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row; a missing row is not an error.
	Remove(ctx context.Context, table, key string) error
}
