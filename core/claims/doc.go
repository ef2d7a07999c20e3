// Package claims implements at-most-once execution of requests. Each partition
// has a log of claims in the table, which is the source of truth. An Owner keeps
// an in-memory index of one partition's log as an optimisation. Several owners of
// one partition are safe: each append is conditional on the next sequence number.
// Owner performs no I/O: it returns one operation at a time and is given the
// reply, so that tests can inject a fault at each step.
package claims

import (
	"time"

	"cyclamenhitch/core/membership"
)

const (
	// Partitions is the default number of partitions, each with its own log.
	Partitions = 32
	// WritesPerSecond is the write budget of the whole fleet.
	WritesPerSecond = 300
	// Retention is the minimum time for which a claim is kept.
	Retention = 48 * time.Hour
	// generationLength is the granularity of expiry. The index drops whole maps,
	// because scanning millions of entries would block the owner.
	generationLength = 4 * time.Hour
	// withdrawnRetention is how long a freed attempt is kept, so that a delayed
	// duplicate of its claim message cannot claim the key again.
	withdrawnRetention = 10 * time.Minute
	// HolderMargin is added to the deadline of a request before its claim is
	// treated as unknown. By default the engine client detects a silent engine up
	// to 5 s late, and recording the outcome then takes a few store calls of 1 s.
	HolderMargin = 15 * time.Second
	// ClaimTimeout bounds the wait for a claim. It allows two store calls at the
	// default deadline of 1 s, one of which may be a takeover by the second
	// candidate. A request whose claim is granted later does not run.
	ClaimTimeout = 2 * time.Second
	// SettleTime is how long a new owner reports no key as free. Calls may reach
	// the former owner while membership views differ, and each of them starts at
	// the latest after ClaimTimeout.
	SettleTime = membership.MaxViewDivergence + ClaimTimeout
	// MaxInlineOutcomeBytes is the largest response body that is stored in a row.
	MaxInlineOutcomeBytes = 8 << 10
	// maxRowBytes bounds one row; the table service accepts items of 400 KB.
	maxRowBytes = 256 << 10
	// maxQueue bounds the queued commands of a partition. At 300 writes/s for 32
	// partitions a full queue drains within seconds.
	maxQueue = 8192
	// staleAfter is the time since the last read or append at the tail after
	// which the owner reads the tail again. It is far below Retention, because an
	// owner behind the trimmed rows could create one of them a second time.
	staleAfter = time.Hour
	// queryLimit is the number of rows per query.
	queryLimit = 256
	// SegmentRows is the number of rows that one index segment covers. A
	// takeover reads all segments and on average half as many rows one by one;
	// at 850,000 claims in a partition 8192 needs half the calls of 4096.
	SegmentRows = 8192
)
