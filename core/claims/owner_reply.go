package claims

import (
	"errors"
	"time"

	"cyclamenhitch/core/store"
)

// Reply takes the outcome of the operation returned by Next.
func (o *Owner) Reply(op *Op, rep Reply, now time.Time) []Result {
	o.inFlight = false
	switch {
	case rep.Err == nil, errors.Is(rep.Err, store.ErrNotFound), errors.Is(rep.Err, store.ErrConditionFailed):
		o.failures = 0
	default:
		return o.failed(now)
	}
	if o.phase != phaseReady {
		return o.loaded(rep, now)
	}
	switch {
	case op.Kind == OpQuery:
		return o.readTail(rep.Rows, now)
	case op.Kind == OpPut && op.Row.Partition == headPartition, op.Kind == OpPutObject, op.Kind == OpDelete:
		o.upkeepDone(op, rep)
	case op.Kind == OpPut && rep.Err != nil:
		o.catchUp = true
	case op.Kind == OpPut:
		o.applyRow(o.group.row, o.group.records)
		o.confirmed, o.contact = now, o.begun
		return o.settle(now)
	}
	return nil
}

// failed backs off. Claims that are in no row are refused; answers that need no
// write are given from the index, which can only be behind, never wrong about
// the key having been used.
func (o *Owner) failed(now time.Time) []Result {
	d := min(backoffBase<<min(o.failures, 10), backoffMax)
	o.failures++
	o.retryAt = now.Add(d/2 + time.Duration(o.cfg.Rand.Int64N(int64(d))))
	if o.failures < 2 {
		return nil
	}
	var out []Result
	cmds, lookups := append(o.fresh, o.queue...), o.lookups
	o.fresh, o.queue, o.lookups, o.reading = nil, nil, nil, 0
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
		r := o.lookedUp(&c, now)
		if o.phase != phaseReady || r.Verdict == Free || r.Verdict == RefusedFree {
			r.Verdict = Refused
		}
		out = append(out, r)
	}
	return out
}

// readTail applies rows that follow the index, and decides the fate of the group.
func (o *Owner) readTail(rows []store.Row, now time.Time) []Result {
	for _, row := range rows {
		if row.Version != o.tail+1 {
			o.reload()
			return nil
		}
		rs, err := DecodeRow(row.Data)
		if err != nil {
			return o.failed(now)
		}
		o.applyRow(row, rs)
		if o.group == nil || row.Writer != o.group.row.Writer {
			o.WithholdFreeUntil(now.Add(SettleTime)) // another instance takes claims
		}
	}
	o.confirmed = now
	o.catchUp = len(rows) == queryLimit
	if o.catchUp {
		return nil
	}
	o.contact = o.begun
	out := o.settle(now)
	for _, c := range o.fresh {
		r, decided := o.decide(c, now.UnixMilli())
		if !decided {
			o.queue = append(o.queue, c)
			continue
		}
		out = append(out, r)
	}
	o.fresh = nil
	for _, c := range o.lookups[:o.reading] {
		out = append(out, o.lookedUp(&c, now))
	}
	o.lookups, o.reading = o.lookups[o.reading:], 0
	return out
}

func (o *Owner) applyRow(row store.Row, rs []Record) {
	if o.group != nil && row.Version == o.group.row.Version {
		// A reply may have been lost: the nonce tells whose row it is.
		o.group.written = row.Writer == o.group.row.Writer
	}
	for i := range rs {
		o.idx.apply(row.Version, &rs[i])
	}
	o.tail = row.Version
}

// settle answers the group once its sequence number is taken. Commands of a row
// that lost against another owner are evaluated again.
func (o *Owner) settle(now time.Time) []Result {
	g := o.group
	if g == nil || o.tail < g.row.Version {
		return nil
	}
	o.group = nil
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

// reload starts again from the segments, because rows that follow the index were
// trimmed. The commands of the group are evaluated again, which is safe because a
// command has the same effect however often it is applied.
func (o *Owner) reload() {
	if o.group != nil {
		o.queue = append(o.group.cmds, o.queue...)
	}
	o.idx, o.tail, o.phase, o.group, o.catchUp = NewIndex(), 0, phaseHead, nil, false
	o.pending, o.pendingBody = nil, nil
}
