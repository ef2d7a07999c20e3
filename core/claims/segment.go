package claims

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cyclamenhitch/core/store"
)

// segmentRef refers to an object that holds the index changes of rows From to To.
type segmentRef struct {
	From   uint64 `json:"from"`
	To     uint64 `json:"to"`
	Object string `json:"object"`
	// MadeAt is a Unix time in ms, not before that of any record in the rows.
	MadeAt int64 `json:"made_at"`
}

// segmentList is the content of the row that lists a partition's segments.
type segmentList struct {
	Segments []segmentRef `json:"segments"`
	// Trimmed is the last row that may have been deleted, Deleted the last row
	// known to be deleted when the list was written.
	Trimmed uint64 `json:"trimmed"`
	Deleted uint64 `json:"deleted"`
}

func (o *Owner) loadOp() *Op {
	switch o.phase {
	case phaseSegmentList:
		return &Op{Kind: OpGet, Row: store.Row{Partition: segmentListPartition, Sort: segmentListRowName(o.cfg.Partition)}}
	case phaseSegments:
		return &Op{Kind: OpGetObject, Object: o.segmentList.Segments[o.nextToLoad].Object}
	}
	return o.tailOp()
}

// handleLoadReply processes a reply while the owner loads the log.
func (o *Owner) handleLoadReply(rep Reply, now time.Time) []Result {
	switch o.phase {
	case phaseSegmentList:
		o.segmentList, o.segmentListVersion, o.nextToLoad = segmentList{}, 0, 0
		if rep.Err == nil {
			if json.Unmarshal(rep.Row.Data, &o.segmentList) != nil {
				return o.handleFailure(now)
			}
			o.segmentListVersion = rep.Row.Version
		}
		o.lastDeletedRow = o.segmentList.Deleted
		o.nextSegment()
	case phaseSegments:
		if rep.Err != nil || o.idx.load(rep.Body) != nil {
			o.reload()
			return o.handleFailure(now)
		}
		o.tail = o.segmentList.Segments[o.nextToLoad].To
		o.nextToLoad++
		o.nextSegment()
	case phaseTail:
		for _, row := range rep.Rows {
			rs, err := DecodeRow(row.Data)
			if err != nil || row.Version != o.tail+1 {
				// A gap means that rows were trimmed after the segment list was read.
				o.reload()
				return o.handleFailure(now)
			}
			o.applyRow(row, rs)
		}
		if len(rep.Rows) < queryLimit {
			o.phase, o.tailConfirmedAt, o.segmentStartedAt = phaseReady, now, now
		}
	}
	return nil
}

func (o *Owner) nextSegment() {
	o.phase = phaseSegments
	if o.nextToLoad == len(o.segmentList.Segments) {
		o.phase = phaseTail
		clear(o.idx.changed)
	}
}

// segmentDue reports whether the next segment should be written. A partition with
// few writes gets one after a generation, so that its rows are trimmed in time.
func (o *Owner) segmentDue(now time.Time) bool {
	rows := o.tail - o.lastSegmentedRow()
	return rows >= o.cfg.SegmentRows || rows > 0 && now.Sub(o.segmentStartedAt) > generationLength
}

func (o *Owner) lastSegmentedRow() uint64 {
	if n := len(o.segmentList.Segments); n > 0 {
		return o.segmentList.Segments[n-1].To
	}
	return 0
}

// maintenanceOp returns a low-priority operation: writing a due segment, adding it
// to the segment list, or deleting an expired row. Appends take precedence and
// maintenance uses only the write budget they leave, so storage grows while the
// partition is at its write limit.
func (o *Owner) maintenanceOp(now time.Time) (*Op, time.Duration) {
	if o.pendingSegment != nil && now.UnixMilli()-o.pendingSegment.MadeAt > generationLength.Milliseconds() {
		// A sweeper may already have deleted an unlisted segment of this age, so
		// it must not be listed any more.
		o.reload()
		return o.loadOp(), 0
	}
	if o.pendingSegment == nil && o.segmentDue(now) {
		o.segmentStartedAt = now
		o.pendingSegment = &segmentRef{From: o.lastSegmentedRow() + 1, To: o.tail, MadeAt: now.UnixMilli()}
		o.pendingSegment.Object = objectName(o.cfg.Partition, o.pendingSegment.MadeAt, fmt.Sprintf("index-%d-%s", o.tail, o.cfg.NewNonce()))
		o.pendingSegmentBody = o.idx.segment()
	}
	if o.pendingSegmentBody != nil {
		return &Op{Kind: OpPutObject, Object: o.pendingSegment.Object, Body: o.pendingSegmentBody}, 0
	}
	var op *Op
	switch {
	case o.pendingSegment != nil:
		op = o.segmentListOp(now)
	case o.lastDeletedRow < o.segmentList.Trimmed:
		op = &Op{Kind: OpDelete, Row: store.Row{Partition: logName(o.cfg.Partition), Sort: rowName(o.lastDeletedRow + 1)}}
	default:
		return nil, 0
	}
	if wait := o.writeBudget.lowPriorityWait(now); wait > 0 {
		return nil, wait
	}
	o.writeBudget.take(now)
	return op, 0
}

// lastExpiredRow returns the last row whose segment has expired. Segments are kept
// for one more generation to allow for clock skew between instances.
func (o *Owner) lastExpiredRow(now int64) uint64 {
	to := o.segmentList.Trimmed
	for _, s := range o.segmentList.Segments {
		if expired(s.MadeAt, now-generationLength.Milliseconds()) {
			to = s.To
		}
	}
	return to
}

// segmentListOp writes the segment list with the pending segment added. Expired
// segments are removed from the list, except for the last one, which marks where
// the tail begins.
func (o *Owner) segmentListOp(now time.Time) *Op {
	h := segmentList{Trimmed: o.lastExpiredRow(now.UnixMilli()), Deleted: o.lastDeletedRow}
	for _, s := range append(o.segmentList.Segments[:len(o.segmentList.Segments):len(o.segmentList.Segments)], *o.pendingSegment) {
		if s.To > h.Trimmed {
			h.Segments = append(h.Segments, s)
		}
	}
	data, err := json.Marshal(h)
	if err != nil {
		return nil
	}
	return &Op{Kind: OpPut, Expect: o.segmentListVersion, Row: store.Row{
		Partition: segmentListPartition, Sort: segmentListRowName(o.cfg.Partition), Version: o.segmentListVersion + 1,
		Writer: o.pendingSegment.Object, Data: data,
	}}
}

func (o *Owner) maintenanceDone(op *Op, rep Reply) {
	switch {
	case op.Kind == OpDelete:
		o.lastDeletedRow++
	case op.Kind == OpPutObject:
		o.pendingSegmentBody = nil
	case errors.Is(rep.Err, store.ErrConditionFailed):
		// Another owner updated the segment list, or the reply to an earlier write
		// was lost. The list and the whole index are read again.
		o.reload()
	default:
		_ = json.Unmarshal(op.Row.Data, &o.segmentList)
		o.segmentListVersion, o.pendingSegment = op.Row.Version, nil
	}
}
