package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Command asks an owner to record a claim or the end of an attempt, or to look up
// a key. The owner sets Rec.At. A claim that is still queued after Expires is
// dropped, because its caller has been refused by then.
type Command struct {
	ID      uint64
	Rec     Record
	Expires time.Time

	// opsAtArrival is the number of operations that the owner had started when the
	// command arrived.
	opsAtArrival uint64
}

// Result is the result of a command. Seq is the row that holds a Stored outcome.
type Result struct {
	ID      uint64
	Verdict Verdict
	Seq     uint64
}

// OpKind is the type of a store operation.
type OpKind int

// Kinds of operations.
const (
	OpGet OpKind = iota + 1
	OpPut
	OpQuery
	OpDelete
	OpGetObject
	OpPutObject
	OpListObjects
	OpDeleteObject
)

// Op is one store operation requested by an Owner or a Sweeper.
type Op struct {
	Kind   OpKind
	Row    store.Row // Partition and Sort; for OpPut the whole row
	Expect uint64
	Object string // for OpListObjects the name prefix
	After  string // for OpListObjects the name to list after
	Limit  int    // maximum number of names listed
	// Records is the number of records in the log row that OpPut writes.
	Records int
	Body    []byte
}

// Reply is the result of an operation.
type Reply struct {
	Err   error
	Row   store.Row
	Rows  []store.Row
	Body  []byte
	Names []string
}

// Execute performs an operation of an Owner.
func Execute(ctx context.Context, t store.Table, o store.Objects, op Op) Reply {
	var r Reply
	switch op.Kind {
	case OpGet:
		r.Row, r.Err = t.Get(ctx, op.Row.Partition, op.Row.Sort)
	case OpPut:
		r.Err = t.Put(ctx, op.Row, op.Expect)
	case OpQuery:
		r.Rows, r.Err = t.Query(ctx, op.Row.Partition, op.Row.Sort, queryLimit)
	case OpDelete:
		r.Err = t.Delete(ctx, op.Row.Partition, op.Row.Sort)
	case OpGetObject:
		r.Body, r.Err = o.GetObject(ctx, op.Object)
	case OpPutObject:
		r.Err = o.PutObject(ctx, op.Object, op.Body)
	}
	return r
}

func logName(partition int) string            { return fmt.Sprintf("claims/%03d", partition) }
func rowName(seq uint64) string               { return fmt.Sprintf("%020d", seq) }
func segmentListRowName(partition int) string { return fmt.Sprintf("%03d", partition) }

// segmentListPartition holds the segment list of each partition, one row each.
const segmentListPartition = "claims-segments"

// ReadOutcome reads the stored outcome of a key from its row. It does not read a
// large body, which is in the object that the outcome names.
func ReadOutcome(ctx context.Context, t store.Table, partition int, seq, key uint64) (Outcome, error) {
	row, err := t.Get(ctx, logName(partition), rowName(seq))
	if errors.Is(err, store.ErrNotFound) {
		return Outcome{}, result.New(result.ClaimUnknown, "stored outcome has expired")
	}
	if err != nil {
		return Outcome{}, result.Wrap(result.StoreUnavailable, err, "stored outcome cannot be read").WithOutcome(result.Unknown)
	}
	rs, err := DecodeRow(row.Data)
	if err != nil {
		return Outcome{}, result.Wrap(result.ClaimUnknown, err, "decoding claim row %d", seq)
	}
	for i := range rs {
		if rs[i].Kind != KindOutcome || rs[i].Key != key {
			continue
		}
		return rs[i].Outcome, nil
	}
	return Outcome{}, result.New(result.ClaimUnknown, "claim row %d has no outcome for the key", seq)
}
