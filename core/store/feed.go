package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryTruncated reports that the changes asked for are not kept any more; the
// caller reads the whole table again.
var ErrHistoryTruncated = errors.New("history is gone")

// Entry is one row of a table that is followed. Value is nil in a change that
// removed the row.
type Entry struct {
	Key   string
	Value []byte
	// Version is that of the row's last change.
	Version uint64
}

// Reader reads tables whose changes can be followed. Errors carry the code
// StoreUnavailable unless stated otherwise.
type Reader interface {
	// Snapshot reads a whole table as of one moment, with the version of that moment.
	Snapshot(ctx context.Context, table string) ([]Entry, uint64, error)
	// Changes returns the rows changed after a version and the version to go on from.
	// It waits for up to wait for a change, and returns ErrHistoryGone when changes
	// may be missing.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Entry, uint64, error)
}

// Feed is a table service whose changes can be followed.
type Feed interface {
	Reader
	// Set writes a row without a condition.
	Set(ctx context.Context, table, key string, value []byte) error
	// Remove removes a row; a missing row is not an error.
	Remove(ctx context.Context, table, key string) error
}
