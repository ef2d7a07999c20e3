package claims

import (
	"errors"
	"time"

	"cyclamenhitch/core/store"
)

// Reply processes the reply to the operation returned by Next.
func (o *Owner) Reply(op *Op, rep Reply, now time.Time) []Result {
	o.inFlight = false
	switch {
	case rep.Err == nil, errors.Is(rep.Err, store.ErrNotFound), errors.Is(rep.Err, store.ErrConditionFailed):
		o.failures = 0
	default:
		return o.handleFailure(now)
	}
	if o.phase != phaseReady {
		return o.handleLoadReply(rep, now)
	}
	switch {
	case op.Kind == OpQuery:
		return o.readTail(rep.Rows, now)
	case op.Kind == OpPut && op.Row.Partition == segmentListPartition, op.Kind == OpPutObject, op.Kind == OpDelete:
		o.maintenanceDone(op, rep)
	case op.Kind == OpPut && rep.Err != nil:
		o.mustReadTail = true
	case op.Kind == OpPut:
		o.applyRow(o.rowBatch.row, o.rowBatch.records)
		o.tailConfirmedAt, o.lastTailOp = now, o.opsStarted
		return o.resolveBatch(now)
	}
	return nil
}

// handleFailure starts a backoff. On repeated failures it returns results for the
// queued claims: those that the index decides get that result, the others are
// refused. The index may be stale, but a key that it shows as used has been used.
func (o *Owner) handleFailure(now time.Time) []Result {
	d := min(backoffBase<<min(o.failures, 10), backoffMax)
	o.failures++
	o.retryAt = now.Add(d/2 + time.Duration(o.cfg.Rand.Int64N(int64(d))))
	if o.failures < 2 {
		return nil
	}
	var out []Result
	cmds, lookups := append(o.awaitingRead, o.queue...), o.lookups
	o.awaitingRead, o.queue, o.lookups, o.lookupsInRead = nil, nil, nil, 0
	for _, c := range cmds {
		if c.Rec.Kind != KindClaim {
			o.queue = append(o.queue, c)
			continue
		}
		r, decided := o.decide(c, now.UnixMilli())
		if !decided {
			r = o.refuse(&c, now)
		}
		out = append(out, r)
	}
	for _, c := range lookups {
		r := o.answerLookup(&c, now)
		if o.phase != phaseReady || r.Verdict == Free || r.Verdict == RefusedFree {
			r.Verdict = Refused
		}
		out = append(out, r)
	}
	return out
}

// readTail applies rows after the index, resolves the pending batch, and returns
// results for the commands that waited for the read.
func (o *Owner) readTail(rows []store.Row, now time.Time) []Result {
	for _, row := range rows {
		if row.Version != o.tail+1 {
			o.reload()
			return nil
		}
		rs, err := DecodeRow(row.Data)
		if err != nil {
			return o.handleFailure(now)
		}
		o.applyRow(row, rs)
		if o.rowBatch == nil || row.Writer != o.rowBatch.row.Writer {
			o.WithholdFreeUntil(now.Add(SettleTime)) // another instance accepts claims
		}
	}
	o.tailConfirmedAt = now
	o.mustReadTail = len(rows) == queryLimit
	if o.mustReadTail {
		return nil
	}
	o.lastTailOp = o.opsStarted
	out := o.resolveBatch(now)
	for _, c := range o.awaitingRead {
		r, decided := o.decide(c, now.UnixMilli())
		if !decided {
			o.queue = append(o.queue, c)
			continue
		}
		out = append(out, r)
	}
	o.awaitingRead = nil
	for _, c := range o.lookups[:o.lookupsInRead] {
		out = append(out, o.answerLookup(&c, now))
	}
	o.lookups, o.lookupsInRead = o.lookups[o.lookupsInRead:], 0
	return out
}

func (o *Owner) applyRow(row store.Row, rs []Record) {
	if o.rowBatch != nil && row.Version == o.rowBatch.row.Version {
		// A reply may have been lost: the nonce shows which owner wrote the row.
		o.rowBatch.written = row.Writer == o.rowBatch.row.Writer
	}
	for i := range rs {
		o.idx.apply(row.Version, &rs[i])
	}
	o.tail = row.Version
}

// resolveBatch returns the results of the batch once a row with its sequence number
// exists. If another owner wrote that row, the commands are evaluated again.
func (o *Owner) resolveBatch(now time.Time) []Result {
	g := o.rowBatch
	if g == nil || o.tail < g.row.Version {
		return nil
	}
	o.rowBatch = nil
	if !g.written {
		o.queue = append(g.cmds, o.queue...)
		return nil
	}
	var out []Result
	for _, c := range g.cmds {
		r, decided := o.decide(c, c.Rec.At)
		switch {
		case c.Rec.Kind != KindClaim:
			r.Verdict = Recorded
		case !decided:
			r = o.refuse(&c, now)
		}
		out = append(out, r)
	}
	return out
}

// reload discards the index and loads the log again from the segments, for example
// because rows after the index were trimmed. The commands of the pending batch are
// evaluated again, which is safe because commands are idempotent.
func (o *Owner) reload() {
	if o.rowBatch != nil {
		o.queue = append(o.rowBatch.cmds, o.queue...)
	}
	o.idx, o.tail, o.phase, o.rowBatch, o.mustReadTail = NewIndex(), 0, phaseSegmentList, nil, false
	o.pendingSegment, o.pendingSegmentBody = nil, nil
}
