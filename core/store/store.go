// Package store defines the ports to the platform's table service and object
// store. It holds no state; adapters implement the ports.
package store

import (
	"context"
	"errors"
)

// ErrConditionFailed reports that the condition of a write was not met.
var ErrConditionFailed = errors.New("write condition failed")

// ErrNotFound reports that the row or object does not exist.
var ErrNotFound = errors.New("row or object not found")

// Row is one row of the table. Partition and Sort form the key; Version is the
// row's optimistic lock; Writer is a nonce of the last writer, which shows
// whether a write whose reply was lost took effect.
type Row struct {
	Partition, Sort string
	Version         uint64
	Writer          string
	Data            []byte
}

// Table is the transactional table service. Every method may return an error
// with code StoreUnavailable; after one from Put, the write may have taken
// effect: the caller reads the row and compares Writer.
type Table interface {
	// Get reads one row with strong consistency, or returns ErrNotFound.
	Get(ctx context.Context, partition, sort string) (Row, error)
	// Put writes the row on condition that the stored version is expect; 0 means
	// that the row must not exist. Otherwise it returns ErrConditionFailed.
	Put(ctx context.Context, row Row, expect uint64) error
	// Query returns up to limit rows of a partition with Sort at or after from, in
	// order. Fewer than limit rows mean that there are no more.
	Query(ctx context.Context, partition, from string, limit int) ([]Row, error)
	// Delete removes a row; a missing row is not an error.
	Delete(ctx context.Context, partition, sort string) error
}

// Objects is the object store.
type Objects interface {
	// GetObject reads an object, or returns ErrNotFound.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// PutObject writes an object; writing the same name again replaces it.
	PutObject(ctx context.Context, name string, body []byte) error
}
