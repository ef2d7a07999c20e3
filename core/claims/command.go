package claims

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Command asks an owner to record a claim or the end of an attempt. Rec.At is
// set by the owner. A claim that waits until Expires is dropped: its caller has
// been refused by then.
type Command struct {
	ID      uint64
	Rec     Record
	Expires time.Time

	// arrived is the number of operations that the owner had begun by then.
	arrived uint64
}

// Result is the answer to a command. Seq is the row of a Stored outcome.
type Result struct {
	ID      uint64
	Verdict Verdict
	Seq     uint64
}

// OpKind is the kind of an operation on the store.
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

// Op is one operation that an owner asks for.
type Op struct {
	Kind   OpKind
	Row    store.Row // Partition and Sort; for OpPut the whole row
	Expect uint64
	Object string // for OpListObjects the prefix of the names
	After  string // for OpListObjects the name before the first one
	Limit  int    // of names
	// Records is the number of records in a row of the log.
	Records int
	Body    []byte
}

// Reply is the outcome of an operation.
type Reply struct {
	Err   error
	Row   store.Row
	Rows  []store.Row
	Body  []byte
	Names []string
}

// Execute performs op.
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

func logName(partition int) string  { return fmt.Sprintf("claims/%03d", partition) }
func rowName(seq uint64) string     { return fmt.Sprintf("%020d", seq) }
func headName(partition int) string { return fmt.Sprintf("%03d", partition) }

// headPartition holds one row for each partition, which lists its segments.
const headPartition = "claims-segments"

// ReadOutcome reads the stored outcome of a key from its row. A large body stays
// in the object that the outcome names.
func ReadOutcome(ctx context.Context, t store.Table, partition int, seq, key uint64) (Outcome, error) {
	row, err := t.Get(ctx, logName(partition), rowName(seq))
	if errors.Is(err, store.ErrNotFound) {
		return Outcome{}, result.New(result.ClaimUnknown, "the outcome is past its retention")
	}
	if err != nil {
		return Outcome{}, result.Wrap(result.StoreUnavailable, err, "stored outcome cannot be read").WithOutcome(result.Unknown)
	}
	rs, err := DecodeRow(row.Data)
	if err != nil {
		return Outcome{}, result.Wrap(result.ClaimUnknown, err, "row %d", seq)
	}
	for i := range rs {
		if rs[i].Kind != KindOutcome || rs[i].Key != key {
			continue
		}
		return rs[i].Outcome, nil
	}
	return Outcome{}, result.New(result.ClaimUnknown, "row %d has no outcome of the key", seq)
}
