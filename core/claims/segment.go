package claims

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cyclamenhitch/core/store"
)

// segmentRef names an object with the index changes of the rows From to To.
type segmentRef struct {
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Object string `json:"object"`
	// MadeAt is later than the time of every record in the rows, in ms.
	MadeAt int64 `json:"made_at"`
}

// head is the content of the row that lists a partition's segments.
type head struct {
	Segments []segmentRef `json:"segments"`
	// Trimmed is the last row that may be missing, Deleted the last row that
	// was missing when the list was written.
	Trimmed uint64 `json:"trimmed"`
	Deleted uint64 `json:"deleted"`
}

func (o *Owner) loadOp() *Op {
	switch o.phase {
	case phaseHead:
		return &Op{Kind: OpGet, Row: store.Row{Partition: headPartition, Sort: headName(o.cfg.Partition)}}
	case phaseSegments:
		return &Op{Kind: OpGetObject, Object: o.head.Segments[o.loading].Object}
	}
	return o.tailOp()
}

// loaded takes a reply while the owner reads the log.
func (o *Owner) loaded(rep Reply, now time.Time) []Result {
	switch o.phase {
	case phaseHead:
		o.head, o.headVer, o.loading = head{}, 0, 0
		if rep.Err == nil {
			if json.Unmarshal(rep.Row.Data, &o.head) != nil {
				return o.failed(now)
			}
			o.headVer = rep.Row.Version
		}
		o.deleted = o.head.Deleted
		o.nextSegment()
	case phaseSegments:
		if rep.Err != nil || o.idx.load(rep.Body) != nil {
			o.reload()
			return o.failed(now)
		}
		o.tail = o.head.Segments[o.loading].To
		o.loading++
		o.nextSegment()
	case phaseTail:
		for _, row := range rep.Rows {
			rs, err := DecodeRow(row.Data)
			if err != nil || row.Version != o.tail+1 {
				// A gap means that the list of segments is behind the trimming.
				o.reload()
				return o.failed(now)
			}
			o.applyRow(row, rs)
		}
		if len(rep.Rows) < queryLimit {
			o.phase, o.confirmed, o.segmentAt = phaseReady, now, now
		}
	}
	return nil
}

func (o *Owner) nextSegment() {
	o.phase = phaseSegments
	if o.loading == len(o.head.Segments) {
		o.phase = phaseTail
		clear(o.idx.touched)
	}
}

// segmentDue also holds for a slow partition after one generation, so that its
// rows are trimmed in time.
func (o *Owner) segmentDue(now time.Time) bool {
	rows := o.tail - o.covered()
	return rows >= o.cfg.SegmentRows || rows > 0 && now.Sub(o.segmentAt) > generationLength
}

func (o *Owner) covered() uint64 {
	if n := len(o.head.Segments); n > 0 {
		return o.head.Segments[n-1].To
	}
	return 0
}

// upkeep returns a write of low priority: a due segment, its entry in the head
// row, or the deletion of a row past its retention. Appends go first; upkeep uses
// only budget that they leave, so storage grows while load is at the limit.
func (o *Owner) upkeep(now time.Time) (*Op, time.Duration) {
	if o.pending != nil && now.UnixMilli()-o.pending.MadeAt > generationLength.Milliseconds() {
		// A sweeper may delete an old segment that is not listed, so it must not
		// be listed late.
		o.reload()
		return o.loadOp(), 0
	}
	if o.pending == nil && o.segmentDue(now) {
		o.segmentAt = now
		o.pending = &segmentRef{From: o.covered() + 1, To: o.tail, MadeAt: now.UnixMilli()}
		o.pending.Object = objectName(o.cfg.Partition, o.pending.MadeAt, fmt.Sprintf("index-%d-%s", o.tail, o.cfg.NewNonce()))
		o.pendingBody = o.idx.segment()
	}
	if o.pendingBody != nil {
		return &Op{Kind: OpPutObject, Object: o.pending.Object, Body: o.pendingBody}, 0
	}
	var op *Op
	switch {
	case o.pending != nil:
		op = o.headOp(now)
	case o.deleted < o.head.Trimmed:
		op = &Op{Kind: OpDelete, Row: store.Row{Partition: logName(o.cfg.Partition), Sort: rowName(o.deleted + 1)}}
	default:
		return nil, 0
	}
	if wait := o.pace.spareIn(now); wait > 0 {
		return nil, wait
	}
	o.pace.take(now)
	return op, 0
}

// forgottenTo returns the last row whose segment is past its retention. One more
// generation is kept for clock differences between instances.
func (o *Owner) forgottenTo(now int64) uint64 {
	to := o.head.Trimmed
	for _, s := range o.head.Segments {
		if forgotten(s.MadeAt, now-generationLength.Milliseconds()) {
			to = s.To
		}
	}
	return to
}

// headOp lists the pending segment. Segments past the retention leave the list,
// except for the last one, which marks where the tail begins.
func (o *Owner) headOp(now time.Time) *Op {
	h := head{Trimmed: o.forgottenTo(now.UnixMilli()), Deleted: o.deleted}
	for _, s := range append(o.head.Segments[:len(o.head.Segments):len(o.head.Segments)], *o.pending) {
		if s.To > h.Trimmed {
			h.Segments = append(h.Segments, s)
		}
	}
	data, err := json.Marshal(h)
	if err != nil {
		return nil
	}
	return &Op{Kind: OpPut, Expect: o.headVer, Row: store.Row{
		Partition: headPartition, Sort: headName(o.cfg.Partition), Version: o.headVer + 1,
		Writer: o.pending.Object, Data: data,
	}}
}

func (o *Owner) upkeepDone(op *Op, rep Reply) {
	switch {
	case op.Kind == OpDelete:
		o.deleted++
	case op.Kind == OpPutObject:
		o.pendingBody = nil
	case errors.Is(rep.Err, store.ErrConditionFailed):
		// Another owner lists segments, or the reply to this write was lost.
		// The list is read again with the whole index.
		o.reload()
	default:
		_ = json.Unmarshal(op.Row.Data, &o.head)
		o.headVer, o.pending = op.Row.Version, nil
	}
}
