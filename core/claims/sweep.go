package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"cyclamenhitch/core/store"
)

const (
	// sweepMarginGenerations is the number of generations for which an object is
	// kept after its own generation expired. One covers an outcome that is recorded
	// just after the generation in which its object was written, one covers clock skew.
	sweepMarginGenerations = 2
	// sweepInterval is the mean time between sweeps of a partition. A sweep takes at
	// least one table read and one list call.
	sweepInterval = time.Hour
	// deleteInterval limits a partition to 3 deletions in any second, the fleet to
	// 94 per second. At target size, 72 objects per second would be written if all
	// responses were over MaxInlineOutcomeBytes.
	deleteInterval = 340 * time.Millisecond
	// sweepBackoffMax is the maximum backoff after failed calls.
	sweepBackoffMax = 5 * time.Minute
	// listLimit is the number of names per list call.
	listLimit = 256
)

func objectPrefix(partition int) string { return fmt.Sprintf("claims/%03d/", partition) }

// objectName returns a name that begins with the generation of at, so that objects
// are listed oldest first.
func objectName(partition int, at int64, rest string) string {
	return fmt.Sprintf("%sg%08d/%s", objectPrefix(partition), generationOf(at), rest)
}

// OutcomeObject returns the object name of a large response. If the outcome is
// recorded in a later generation, the object must be written again under the name
// for that time.
func OutcomeObject(partition int, key, attempt uint64, now time.Time) string {
	return objectName(partition, now.UnixMilli(), fmt.Sprintf("outcome-%016x-%016x", key, attempt))
}

// sweepable reports whether an object is so old that no unexpired record refers to
// it. The segment list may still do so. Names of any other form are not sweepable.
func sweepable(partition int, name string, now int64) bool {
	rest, ok := strings.CutPrefix(name, objectPrefix(partition)+"g")
	number, _, found := strings.Cut(rest, "/")
	gen, err := strconv.ParseInt(number, 10, 64)
	return ok && found && err == nil && generationOf(now)-gen > int64(Retention/generationLength)+sweepMarginGenerations
}

// ObjectSweeper is the part of an object store that a Sweeper needs.
type ObjectSweeper interface {
	// ListObjectsAfter returns up to limit names that begin with prefix and sort
	// after the name after, in ascending order.
	ListObjectsAfter(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// DeleteObject removes an object; a missing one is not an error.
	DeleteObject(ctx context.Context, name string) error
}

type sweepPhase int

const (
	sweepSegmentList sweepPhase = iota
	sweepList
	sweepDelete
)

// Sweeper deletes expired objects of one partition: large outcomes, and segments
// that are not in the segment list. It never changes the log, so it frees no key.
// Concurrent sweepers of a partition and repeated deletions are safe, because a
// sweepable object stays sweepable. Sweeper performs no I/O and is not safe for
// concurrent use.
type Sweeper struct {
	partition int
	rng       *rand.Rand
	limit     int // names per list call

	phase     sweepPhase
	inUse     map[string]bool // objects in the segment list
	startedAt time.Time       // before the segment list was read
	after     string
	lastPage  bool // the following pages have no sweepable objects
	names     []string
	nextAt    time.Time
	failures  int
}

// NewSweeper returns a sweeper that starts at a random time within sweepInterval,
// so that instances restarted together do not sweep at the same time.
func NewSweeper(partition int, rng *rand.Rand, now time.Time) *Sweeper {
	return &Sweeper{partition: partition, rng: rng, limit: listLimit, nextAt: now.Add(time.Duration(rng.Int64N(int64(sweepInterval))))}
}

// Next returns the next operation, or how long to wait before the next call.
func (s *Sweeper) Next(now time.Time) (*Op, time.Duration) {
	if wait := s.nextAt.Sub(now); wait > 0 {
		return nil, wait
	}
	switch s.phase {
	case sweepSegmentList:
		s.startedAt = now
		return &Op{Kind: OpGet, Row: store.Row{Partition: segmentListPartition, Sort: segmentListRowName(s.partition)}}, 0
	case sweepList:
		return &Op{Kind: OpListObjects, Object: objectPrefix(s.partition), After: s.after, Limit: s.limit}, 0
	}
	return &Op{Kind: OpDeleteObject, Object: s.names[0]}, 0
}

// Reply processes the reply to the operation returned by Next.
func (s *Sweeper) Reply(op *Op, rep Reply, now time.Time) {
	if rep.Err != nil && !(op.Kind == OpGet && errors.Is(rep.Err, store.ErrNotFound)) {
		s.handleFailure(now)
		return
	}
	s.failures = 0
	switch s.phase {
	case sweepSegmentList:
		var h segmentList
		if rep.Err == nil && json.Unmarshal(rep.Row.Data, &h) != nil {
			s.handleFailure(now)
			return
		}
		s.inUse = map[string]bool{}
		for _, seg := range h.Segments {
			s.inUse[seg.Object] = true
		}
		s.phase, s.after, s.lastPage = sweepList, "", false
	case sweepList:
		s.collectExpired(rep.Names)
	case sweepDelete:
		s.names = s.names[1:]
		s.nextAt = now.Add(deleteInterval)
	}
	if s.phase == sweepDelete && len(s.names) == 0 {
		s.phase = sweepList
		if s.lastPage {
			s.phase = sweepSegmentList
			s.nextAt = now.Add(sweepInterval/2 + time.Duration(s.rng.Int64N(int64(sweepInterval))))
		}
	}
}

// collectExpired selects the names to delete from a page, which is sorted by
// generation. Their age is measured at the time when the segment list was read: a
// segment that has become old during a long pause may have been listed since.
func (s *Sweeper) collectExpired(names []string) {
	s.phase, s.lastPage = sweepDelete, len(names) < s.limit
	for _, name := range names {
		s.after = name
		if !sweepable(s.partition, name, s.startedAt.UnixMilli()) {
			s.lastPage = true
			break
		}
		if !s.inUse[name] {
			s.names = append(s.names, name)
		}
	}
}

// handleFailure restarts the sweep from the segment list after a backoff.
func (s *Sweeper) handleFailure(now time.Time) {
	d := min(time.Second<<min(s.failures, 10), sweepBackoffMax)
	s.failures++
	s.phase, s.names = sweepSegmentList, nil
	s.nextAt = now.Add(d/2 + time.Duration(s.rng.Int64N(int64(d))))
}

// ExecuteSweep performs an operation of a Sweeper.
func ExecuteSweep(ctx context.Context, t store.Table, o ObjectSweeper, op Op) Reply {
	var r Reply
	switch op.Kind {
	case OpGet:
		r.Row, r.Err = t.Get(ctx, op.Row.Partition, op.Row.Sort)
	case OpListObjects:
		r.Names, r.Err = o.ListObjectsAfter(ctx, op.Object, op.After, op.Limit)
	case OpDeleteObject:
		r.Err = o.DeleteObject(ctx, op.Object)
	}
	return r
}
