// Package claims records requests that must not run twice, as a log for each
// partition in the table. The table is the source of truth. An Owner keeps an
// index of one partition's log; it is an optimisation, and several owners of one
// partition exclude each other by the condition on the next sequence number.
// Owner performs no I/O: it asks for one operation at a time and takes the reply,
// so that a test can place a fault at each step.
package claims

import (
	"time"

	"cyclamenhitch/core/membership"
)

const (
	// Partitions is the default number of logs.
	Partitions = 32
	// WritesPerSecond is the write budget of the whole fleet.
	WritesPerSecond = 300
	// Retention is the shortest time for which a claim is remembered.
	Retention = 48 * time.Hour
	// generationLength is the granularity of forgetting: the index drops whole
	// maps, because a sweep over millions of entries would stall the owner.
	generationLength = 4 * time.Hour
	// withdrawnFor is how long a freed attempt is remembered, so that a late
	// duplicate of its claim message cannot hold the key again.
	withdrawnFor = 10 * time.Minute
	// HolderMargin is added to the deadline of a request before its claim counts
	// as unknown. The engine client notices silence up to 5 s late by default,
	// and the outcome then needs a few store calls of 1 s each.
	HolderMargin = 15 * time.Second
	// ClaimTimeout bounds the wait for a claim. It is two store calls at the default
	// deadline of 1 s, one of which may be a takeover by the second candidate. A
	// claim that is granted later does not run.
	ClaimTimeout = 2 * time.Second
	// SettleTime is how long a new owner finds no key free. Calls may reach the
	// former owner for as long as views of the fleet differ, and each runs at the
	// latest after ClaimWait.
	SettleTime = membership.MaxViewDivergence + ClaimTimeout
	// MaxInlineOutcomeBytes is the largest answer body kept in a row, in bytes.
	MaxInlineOutcomeBytes = 8 << 10
	// maxGroupBytes bounds one row; the table service accepts items of 400 KB.
	maxGroupBytes = 256 << 10
	// maxQueue bounds waiting commands of a partition. At 300 writes/s for 32
	// partitions a full queue drains within seconds.
	maxQueue = 8192
	// staleAfter is how long an index may go without contact to the log before
	// it must read the tail again. It is far below Retention, because a row
	// below the trimmed part could be created a second time.
	staleAfter = time.Hour
	// queryLimit is the number of rows read at a time.
	queryLimit = 256
	// SegmentRows is the number of rows that one index segment covers. A
	// takeover reads all segments and on average half as many rows one by one;
	// at 850,000 claims in a partition 8192 needs half the calls of 4096.
	SegmentRows = 8192
)
