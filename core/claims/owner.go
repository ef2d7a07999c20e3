package claims

import (
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/store"
)

// Config is the configuration of an Owner.
type Config struct {
	Partition int
	// Rate is the write budget of the partition, in writes per second.
	Rate float64
	// SegmentRows is the number of rows per segment; 0 means the default.
	SegmentRows uint64
	// NewNonce returns a unique writer nonce for each row.
	NewNonce func() string
	// Rand is the source of the backoff jitter.
	Rand *rand.Rand
}

// Backoff after store errors. The maximum bounds the time to detect recovery.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

type phase int

const (
	phaseNotLoaded phase = iota
	phaseSegmentList
	phaseSegments
	phaseTail
	phaseReady
)

// rowBatch is a row that is being written. While the outcome of the write is
// unknown, the same row is written again; the condition on its sequence number
// ensures that it is written at most once.
type rowBatch struct {
	row     store.Row
	records []Record
	cmds    []Command
	written bool
}

// Owner appends to one partition's log. It is not safe for concurrent use.
type Owner struct {
	cfg   Config
	idx   *Index
	phase phase
	tail  uint64 // last applied row

	queue        []Command
	awaitingRead []Command // wait for a read of the tail before they get a result
	// lookups wait for a read of the tail that begins after their arrival, because
	// another owner may have appended in the meantime. lookupsInRead is the number
	// of them, from the front, that the read in flight covers.
	lookups       []Command
	lookupsInRead int
	// lastOpReadTail is set if the last operation read the tail. Reads for lookups
	// alternate with writes, so that a stream of lookups does not starve writes.
	lastOpReadTail bool
	rowBatch       *rowBatch
	inFlight       bool
	// mustReadTail is set if the tail must be read before the next write.
	mustReadTail bool

	tailConfirmedAt time.Time // last read or append at the tail
	opsStarted      uint64    // number of operations started
	lastTailOp      uint64    // last operation that confirmed that the index is at the tail
	// freeWithheldUntil is the time until which another instance may still have a
	// claim of this partition that is in no row, so that no key is known to be free.
	freeWithheldUntil time.Time
	failures          int
	retryAt           time.Time
	writeBudget       tokenBucket

	segmentList        segmentList
	segmentListVersion uint64
	nextToLoad         int
	pendingSegment     *segmentRef // segment that is not in the segment list yet
	pendingSegmentBody []byte      // its content, until the object has been written
	lastDeletedRow     uint64      // number of the last deleted row
	segmentStartedAt   time.Time   // start of the last segment
	lastGeneration     int64
}

// NewOwner returns an owner that has not loaded the log yet.
func NewOwner(cfg Config) *Owner {
	if cfg.SegmentRows == 0 {
		cfg.SegmentRows = SegmentRows
	}
	return &Owner{cfg: cfg, idx: NewIndex(), writeBudget: tokenBucket{rate: cfg.Rate, tokens: writeBurst}}
}

// Ready reports whether the index has reached the tail.
func (o *Owner) Ready() bool { return o.phase == phaseReady }

// Idle reports whether no command or operation is pending.
func (o *Owner) Idle() bool {
	return len(o.queue) == 0 && len(o.awaitingRead) == 0 && len(o.lookups) == 0 && o.rowBatch == nil && !o.inFlight
}

// Index returns the index, which the caller must not modify.
func (o *Owner) Index() *Index { return o.idx }

// Tail returns the number of the last applied row.
func (o *Owner) Tail() uint64 { return o.tail }

// StartLoading starts loading the log unless it is loading or loaded.
func (o *Owner) StartLoading() {
	if o.phase == phaseNotLoaded {
		o.phase = phaseSegmentList
	}
}

// Submit queues a command. It returns a result at once if the command needs no
// store operation, or if it is refused because the queue is full or the store is
// failing. A refused command is not in the log.
func (o *Owner) Submit(c Command, now time.Time) *Result {
	o.StartLoading()
	if c.Rec.Kind == KindLookup {
		return o.lookup(c, now)
	}
	c.opsAtArrival = o.opsStarted
	failing := o.failures > 1 && c.Rec.Kind == KindClaim
	if o.phase == phaseReady {
		r, decided := o.decide(c, now.UnixMilli())
		if decided && (failing || !mayBeStale(r.Verdict)) {
			return &r
		}
	}
	switch {
	case failing:
		r := o.refuse(&c, now)
		return &r
	case len(o.queue) < maxQueue:
		o.queue = append(o.queue, c)
		return nil
	case c.Rec.Kind == KindClaim && len(o.lookups) < maxQueue:
		// It is refused after a read of the tail, which shows the state of the key.
		o.lookups = append(o.lookups, c)
		return nil
	}
	return &Result{ID: c.ID, Verdict: Refused}
}

// WithholdFreeUntil prevents keys from being reported as free before until. The
// caller uses it when another instance may have accepted claims of the partition.
func (o *Owner) WithholdFreeUntil(until time.Time) {
	if until.After(o.freeWithheldUntil) {
		o.freeWithheldUntil = until
	}
}

// refuse returns the result of a dropped claim that is in no row. The key is known
// to be free only if the log was read after the claim arrived. From then on no key
// is reported as free for a while, because the caller may retry the claim at
// another instance.
func (o *Owner) refuse(c *Command, now time.Time) Result {
	r := Result{ID: c.ID, Verdict: Refused}
	if o.phase == phaseReady && o.lastTailOp > c.opsAtArrival {
		r = o.answerLookup(c, now)
	}
	o.WithholdFreeUntil(now.Add(ClaimTimeout))
	return r
}

// answerLookup returns the result of a lookup or a refused claim from the index.
func (o *Owner) answerLookup(c *Command, now time.Time) Result {
	r := o.keyState(*c, now.UnixMilli())
	switch {
	case r.Verdict != Free:
	case now.Before(o.freeWithheldUntil):
		r.Verdict = Refused
	case c.Rec.Kind == KindClaim:
		r.Verdict = RefusedFree
	}
	return r
}

// lookup queues a lookup of a key's state. Only a stored outcome can be returned
// without a read of the tail.
func (o *Owner) lookup(c Command, now time.Time) *Result {
	if o.phase == phaseReady {
		if r := o.keyState(c, now.UnixMilli()); r.Verdict == Stored {
			return &r
		}
	}
	if o.failures > 1 || len(o.lookups) >= maxQueue {
		return &Result{ID: c.ID, Verdict: Refused}
	}
	o.lookups = append(o.lookups, c)
	return nil
}

// keyState determines the state of a key from the index and from the claims that
// are queued or being written: they may be granted later, so their keys are not free.
func (o *Owner) keyState(c Command, now int64) Result {
	r := Result{ID: c.ID}
	r.Verdict, r.Seq = o.idx.decideClaim(c.Rec.Key, c.Rec.Digest, 0, now)
	if r.Verdict != verdictNeedsRecord {
		return r
	}
	r.Verdict = Free
	pending := [][]Command{o.queue, o.awaitingRead, nil}
	if o.rowBatch != nil {
		pending[2] = o.rowBatch.cmds
	}
	for _, cmds := range pending {
		for i := range cmds {
			if rec := &cmds[i].Rec; rec.Kind == KindClaim && rec.Key == c.Rec.Key && cmds[i].ID != c.ID {
				r.Verdict = InProgress
				if rec.Digest != c.Rec.Digest {
					r.Verdict = Conflict
				}
			}
		}
	}
	return r
}

// mayBeStale reports whether a verdict may be stale because another owner has
// appended rows. Such a verdict is returned only after a read of the tail.
func mayBeStale(v Verdict) bool { return v == InProgress || v == Unknown || v == Conflict }

// Withdraw cancels a queued command. It reports true if the command is not in the
// log and never will be; otherwise its row may exist or may still be written.
func (o *Owner) Withdraw(id uint64, now time.Time) (Result, bool) {
	for _, list := range []*[]Command{&o.queue, &o.lookups, &o.awaitingRead} {
		for i := range *list {
			c := (*list)[i]
			if c.ID != id {
				continue
			}
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			if list == &o.lookups && i < o.lookupsInRead {
				o.lookupsInRead--
			}
			if c.Rec.Kind == KindClaim {
				return o.refuse(&c, now), true
			}
			return Result{ID: id, Verdict: Refused}, true
		}
	}
	return Result{}, false
}

// Next returns the next operation to perform. If it is nil, the caller waits for the
// returned duration before the next call, or until a command arrives if it is 0. The
// results are those of commands that need no operation.
func (o *Owner) Next(now time.Time) (*Op, time.Duration, []Result) {
	if o.inFlight {
		return nil, 0, nil
	}
	if wait := o.retryAt.Sub(now); o.failures > 0 && wait > 0 {
		return nil, wait, nil
	}
	switch o.phase {
	case phaseNotLoaded:
		return nil, 0, nil
	case phaseReady:
		return o.nextReady(now)
	}
	return o.start(o.loadOp()), 0, nil
}

func (o *Owner) start(op *Op) *Op {
	o.inFlight = op != nil
	if o.inFlight {
		o.opsStarted++
	}
	return op
}

func (o *Owner) nextReady(now time.Time) (*Op, time.Duration, []Result) {
	if g := generationOf(now.UnixMilli()); g != o.lastGeneration {
		o.lastGeneration = g
		// Entries are kept for one more hour to allow for clock skew between owners.
		o.idx.DropExpired(now.Add(-time.Hour).UnixMilli())
	}
	if o.failures > 0 || now.Sub(o.tailConfirmedAt) > staleAfter {
		o.mustReadTail = true
	}
	if o.mustReadTail {
		return o.start(o.tailOp()), 0, nil
	}
	var out []Result
	wait := o.writeBudget.wait(now)
	if o.rowBatch == nil && wait == 0 { // otherwise later commands can still be added to the row
		out = o.formBatch(now)
	}
	switch {
	case len(o.awaitingRead) > 0, len(o.lookups) > 0 && !o.lastOpReadTail, len(o.lookups) > 0 && wait > 0:
		return o.start(o.tailOp()), 0, out
	case wait > 0 && (o.rowBatch != nil || len(o.queue) > 0):
		return nil, wait, out
	case o.rowBatch != nil:
		o.writeBudget.take(now)
		o.lastOpReadTail = false
		return o.start(&Op{Kind: OpPut, Row: o.rowBatch.row, Records: len(o.rowBatch.records)}), 0, out
	}
	op, wait := o.maintenanceOp(now)
	o.lastOpReadTail = false
	if op == nil && len(o.lookups) > 0 {
		op = o.tailOp()
	}
	return o.start(op), wait, out
}

func (o *Owner) tailOp() *Op {
	o.lookupsInRead, o.lastOpReadTail = len(o.lookups), true
	return &Op{Kind: OpQuery, Row: store.Row{Partition: logName(o.cfg.Partition), Sort: rowName(o.tail + 1)}}
}

// formBatch returns results for the queued commands that the index decides, and
// collects the others into the next row, at most one for each key.
func (o *Owner) formBatch(now time.Time) []Result {
	var out []Result
	var rest []Command
	g := &rowBatch{}
	keys := map[uint64]bool{}
	size, full, ms := 0, false, now.UnixMilli()
	for _, c := range o.queue {
		r, decided := o.decide(c, ms)
		n := recordSize(&c.Rec)
		full = full || !decided && size > 0 && size+n > maxRowBytes
		switch {
		case c.Rec.Kind == KindClaim && now.After(c.Expires):
			out = append(out, o.refuse(&c, now))
		case full || keys[c.Rec.Key]:
			rest = append(rest, c)
		case decided && mayBeStale(r.Verdict):
			o.awaitingRead = append(o.awaitingRead, c)
		case decided:
			out = append(out, r)
		default:
			c.Rec.At = ms
			size += n
			keys[c.Rec.Key] = true
			g.cmds, g.records = append(g.cmds, c), append(g.records, c.Rec)
		}
	}
	o.queue = rest
	if len(g.cmds) > 0 {
		g.row = store.Row{
			Partition: logName(o.cfg.Partition), Sort: rowName(o.tail + 1), Version: o.tail + 1,
			Writer: o.cfg.NewNonce(), Data: EncodeRow(g.records),
		}
		o.rowBatch = g
	}
	return out
}

func recordSize(r *Record) int {
	n := 64 + len(r.Outcome.Body) + len(r.Outcome.Object)
	for _, f := range r.Outcome.Fields {
		n += len(f.Name) + len(f.Value) + 4
	}
	return n
}

// decide returns the result of a command from the index, and whether the index
// decides it; otherwise a record must be written.
func (o *Owner) decide(c Command, now int64) (Result, bool) {
	r := Result{ID: c.ID}
	if c.Rec.Kind == KindClaim {
		r.Verdict, r.Seq = o.idx.decideClaim(c.Rec.Key, c.Rec.Digest, c.Rec.Attempt, now)
	} else {
		r.Verdict = o.idx.decideFinish(&c.Rec, now)
	}
	return r, r.Verdict != verdictNeedsRecord
}
