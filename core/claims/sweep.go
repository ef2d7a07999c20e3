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
	// sweepMargin is the number of generations for which an object is kept after
	// its own is forgotten. One covers an outcome that is recorded just after the
	// generation in which its object was written, one the difference of clocks.
	sweepMargin = 2
	// sweepInterval is the time between sweeps of a partition; each costs one
	// read of the table and one list call.
	sweepInterval = time.Hour
	// deleteInterval keeps a partition below 3 deletions in any second, 94 a second
	// for the fleet. At target size, 72 answers a second would be written if all
	// were over MaxInlineOutcome.
	deleteInterval = 340 * time.Millisecond
	// sweepBackoffMax bounds the wait after failed calls.
	sweepBackoffMax = 5 * time.Minute
	// listLimit is the number of names read at a time.
	listLimit = 256
)

func objectPrefix(partition int) string { return fmt.Sprintf("claims/%03d/", partition) }

// objectName begins with the generation of its making, so that names are listed
// oldest first.
func objectName(partition int, at int64, rest string) string {
	return fmt.Sprintf("%sg%08d/%s", objectPrefix(partition), generationOf(at), rest)
}

// OutcomeObject names the object of a large answer. An answer that is recorded
// in a later generation must be written again under the name of that time.
func OutcomeObject(partition int, key, attempt uint64, now time.Time) string {
	return objectName(partition, now.UnixMilli(), fmt.Sprintf("outcome-%016x-%016x", key, attempt))
}

// sweepable reports whether nothing within the retention can refer to an object,
// other than the list of segments. Names of another form are kept.
func sweepable(partition int, name string, now int64) bool {
	rest, ok := strings.CutPrefix(name, objectPrefix(partition)+"g")
	number, _, found := strings.Cut(rest, "/")
	gen, err := strconv.ParseInt(number, 10, 64)
	return ok && found && err == nil && generationOf(now)-gen > int64(Retention/generationLength)+sweepMargin
}

// ObjectSweeper is the part of an object store that a Sweeper needs.
type ObjectSweeper interface {
	// ListObjectsAfter returns up to limit names that begin with prefix and sort
	// after after, in order.
	ListObjectsAfter(ctx context.Context, prefix, after string, limit int) ([]string, error)
	// DeleteObject removes an object; a missing one is not an error.
	DeleteObject(ctx context.Context, name string) error
}

type sweepPhase int

const (
	sweepHead sweepPhase = iota
	sweepList
	sweepDelete
)

// Sweeper deletes the objects of one partition whose generation is past the
// retention: segments that the list of segments does not name, and large
// outcomes. It never changes the log, so it frees no key. Several sweepers of a
// partition, and deletions that are repeated, do no harm: what may be deleted
// stays so. It performs no I/O and is used by one goroutine at a time.
type Sweeper struct {
	partition int
	rng       *rand.Rand
	limit     int // names in a page

	phase    sweepPhase
	listed   map[string]bool // segments in use
	began    time.Time       // before listed was read
	after    string
	last     bool // no older objects follow the names
	names    []string
	next     time.Time
	failures int
}

// NewSweeper returns a sweeper that begins at a random time within the interval,
// so that restarted instances do not sweep at once.
func NewSweeper(partition int, rng *rand.Rand, now time.Time) *Sweeper {
	return &Sweeper{partition: partition, rng: rng, limit: listLimit, next: now.Add(time.Duration(rng.Int64N(int64(sweepInterval))))}
}

// Next returns the next operation, or how long to wait.
func (s *Sweeper) Next(now time.Time) (*Op, time.Duration) {
	if wait := s.next.Sub(now); wait > 0 {
		return nil, wait
	}
	switch s.phase {
	case sweepHead:
		s.began = now
		return &Op{Kind: OpGet, Row: store.Row{Partition: headPartition, Sort: headName(s.partition)}}, 0
	case sweepList:
		return &Op{Kind: OpListObjects, Object: objectPrefix(s.partition), After: s.after, Limit: s.limit}, 0
	}
	return &Op{Kind: OpDeleteObject, Object: s.names[0]}, 0
}

// Reply takes the outcome of the operation returned by Next.
func (s *Sweeper) Reply(op *Op, rep Reply, now time.Time) {
	if rep.Err != nil && !(op.Kind == OpGet && errors.Is(rep.Err, store.ErrNotFound)) {
		s.failed(now)
		return
	}
	s.failures = 0
	switch s.phase {
	case sweepHead:
		var h head
		if rep.Err == nil && json.Unmarshal(rep.Row.Data, &h) != nil {
			s.failed(now)
			return
		}
		s.listed = map[string]bool{}
		for _, seg := range h.Segments {
			s.listed[seg.Object] = true
		}
		s.phase, s.after, s.last = sweepList, "", false
	case sweepList:
		s.take(rep.Names)
	case sweepDelete:
		s.names = s.names[1:]
		s.next = now.Add(deleteInterval)
	}
	if s.phase == sweepDelete && len(s.names) == 0 {
		s.phase = sweepList
		if s.last {
			s.phase = sweepHead
			s.next = now.Add(sweepInterval/2 + time.Duration(s.rng.Int64N(int64(sweepInterval))))
		}
	}
}

// take picks the names to delete from a page, which is sorted by generation.
// Their age counts from the reading of the list of segments: after a long pause
// an object may be old that was not listed then and is now.
func (s *Sweeper) take(names []string) {
	s.phase, s.last = sweepDelete, len(names) < s.limit
	for _, name := range names {
		s.after = name
		if !sweepable(s.partition, name, s.began.UnixMilli()) {
			s.last = true
			break
		}
		if !s.listed[name] {
			s.names = append(s.names, name)
		}
	}
}

// failed starts again from the list of segments after a wait.
func (s *Sweeper) failed(now time.Time) {
	d := min(time.Second<<min(s.failures, 10), sweepBackoffMax)
	s.failures++
	s.phase, s.names = sweepHead, nil
	s.next = now.Add(d/2 + time.Duration(s.rng.Int64N(int64(d))))
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
