package claims

import (
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/store"
)

// Config configures an owner.
type Config struct {
	Partition int
	// Rate is the write budget of the partition, in writes per second.
	Rate float64
	// SegmentRows overrides the number of rows of a segment; 0 means SegmentRows.
	SegmentRows uint64
	// NewNonce returns a unique writer nonce for each row.
	NewNonce func() string
	// Rand jitters the backoff.
	Rand *rand.Rand
}

// Backoff of a failing store. The cap bounds the time to notice its return.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

type phase int

const (
	phaseCold phase = iota
	phaseHead
	phaseSegments
	phaseTail
	phaseReady
)

// group is a row that is being written. Until its fate is known, the same row is
// written again: the condition on its sequence number lets it in at most once.
type group struct {
	row     store.Row
	records []Record
	cmds    []Command
	written bool
}

// Owner appends to one partition's log. It is used by one goroutine at a time.
type Owner struct {
	cfg   Config
	idx   *Index
	phase phase
	tail  uint64 // last applied row

	queue []Command
	fresh []Command // wait for a read of the tail before their answer
	// lookups wait for a read of the tail that begins after their arrival, since
	// another owner may have written meanwhile. reading is how many of them, from
	// the front, the read in flight answers.
	lookups []Command
	reading int
	// readLast says that the last operation read the tail. Reads for lookups
	// alternate with writes, so that a stream of lookups does not stop them.
	readLast bool
	group    *group
	inFlight bool
	// catchUp says that the tail must be read before the next write.
	catchUp bool

	confirmed time.Time // last contact with the tail
	begun     uint64    // operations begun
	contact   uint64    // the last one that showed that the index is at the tail
	// unsettled is the time until which another instance may still hold a claim
	// of this partition that is in no row, so that no key is known to be free.
	unsettled time.Time
	failures  int
	retryAt   time.Time
	pace      pacer

	head        head
	headVer     uint64
	loading     int
	pending     *segmentRef // segment that the head row does not list yet
	pendingBody []byte      // its content until the object is written
	deleted     uint64      // last deleted row
	segmentAt   time.Time   // when the last segment was begun
	lastGen     int64
}

// NewOwner returns an owner that has read nothing yet.
func NewOwner(cfg Config) *Owner {
	if cfg.SegmentRows == 0 {
		cfg.SegmentRows = SegmentRows
	}
	return &Owner{cfg: cfg, idx: NewIndex(), pace: pacer{rate: cfg.Rate, tokens: paceBurst}}
}

// Ready reports whether the index has reached the tail.
func (o *Owner) Ready() bool { return o.phase == phaseReady }

// Idle reports whether nothing waits for the store.
func (o *Owner) Idle() bool {
	return len(o.queue) == 0 && len(o.fresh) == 0 && len(o.lookups) == 0 && o.group == nil && !o.inFlight
}

// Index returns the index; it must not be changed.
func (o *Owner) Index() *Index { return o.idx }

// Tail returns the last applied row.
func (o *Owner) Tail() uint64 { return o.tail }

// StartLoading starts reading the log.
func (o *Owner) StartLoading() {
	if o.phase == phaseCold {
		o.phase = phaseHead
	}
}

// Submit takes a command. It returns a result when the command needs no write,
// or when it is refused at once because the queue is full or the store fails. A
// refused command has left no row.
func (o *Owner) Submit(c Command, now time.Time) *Result {
	o.StartLoading()
	if c.Rec.Kind == KindLookup {
		return o.lookup(c, now)
	}
	c.arrived = o.begun
	failing := o.failures > 1 && c.Rec.Kind == KindClaim
	if o.phase == phaseReady {
		r, decided := o.decide(c, now.UnixMilli())
		if decided && (failing || !mayBeBehind(r.Verdict)) {
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
		// Refused after a read of the tail, which tells the state of the key.
		o.lookups = append(o.lookups, c)
		return nil
	}
	return &Result{ID: c.ID, Verdict: Refused}
}

// WithholdFreeUntil makes lookups before until find no key free. The caller says so when
// another instance may have taken claims of the partition.
func (o *Owner) WithholdFreeUntil(until time.Time) {
	if until.After(o.unsettled) {
		o.unsettled = until
	}
}

// refuse answers a claim that is in no row and is dropped. The key is known to be
// free only when the log was read after the claim arrived. A claim whose caller
// waits no longer may be tried at another instance.
func (o *Owner) refuse(c *Command, now time.Time) Result {
	r := Result{ID: c.ID, Verdict: Refused}
	if o.phase == phaseReady && o.contact > c.arrived {
		r = o.lookedUp(c, now)
	}
	o.WithholdFreeUntil(now.Add(ClaimTimeout))
	return r
}

// lookedUp answers a lookup, or a claim that is refused, from the index.
func (o *Owner) lookedUp(c *Command, now time.Time) Result {
	r := o.state(*c, now.UnixMilli())
	switch {
	case r.Verdict != Free:
	case now.Before(o.unsettled):
		r.Verdict = Refused
	case c.Rec.Kind == KindClaim:
		r.Verdict = RefusedFree
	}
	return r
}

// lookup takes a question for the state of a key. Only a stored outcome can be
// told without a read of the tail.
func (o *Owner) lookup(c Command, now time.Time) *Result {
	if o.phase == phaseReady {
		if r := o.state(c, now.UnixMilli()); r.Verdict == Stored {
			return &r
		}
	}
	if o.failures > 1 || len(o.lookups) >= maxQueue {
		return &Result{ID: c.ID, Verdict: Refused}
	}
	o.lookups = append(o.lookups, c)
	return nil
}

// state answers a lookup from the index and from the claims that wait or are
// being written: one of them may be granted later, so its key is not free.
func (o *Owner) state(c Command, now int64) Result {
	r := Result{ID: c.ID}
	r.Verdict, r.Seq = o.idx.decideClaim(c.Rec.Key, c.Rec.Digest, 0, now)
	if r.Verdict != verdictWrite {
		return r
	}
	r.Verdict = Free
	pending := [][]Command{o.queue, o.fresh, nil}
	if o.group != nil {
		pending[2] = o.group.cmds
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

// mayBeBehind reports whether a verdict may be out of date when another owner
// has written since; it is given only after a read of the tail.
func mayBeBehind(v Verdict) bool { return v == InProgress || v == Unknown || v == Conflict }

// Withdraw removes a waiting command. It reports true when the command has left
// no row and never will; otherwise its row may exist or appear.
func (o *Owner) Withdraw(id uint64, now time.Time) (Result, bool) {
	for _, list := range []*[]Command{&o.queue, &o.lookups, &o.fresh} {
		for i := range *list {
			c := (*list)[i]
			if c.ID != id {
				continue
			}
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			if list == &o.lookups && i < o.reading {
				o.reading--
			}
			if c.Rec.Kind == KindClaim {
				return o.refuse(&c, now), true
			}
			return Result{ID: id, Verdict: Refused}, true
		}
	}
	return Result{}, false
}

// Next returns the next operation to perform, or how long to wait before asking
// again; 0 means until a command arrives. Results are answers that need no
// operation.
func (o *Owner) Next(now time.Time) (*Op, time.Duration, []Result) {
	if o.inFlight {
		return nil, 0, nil
	}
	if wait := o.retryAt.Sub(now); o.failures > 0 && wait > 0 {
		return nil, wait, nil
	}
	switch o.phase {
	case phaseCold:
		return nil, 0, nil
	case phaseReady:
		return o.nextReady(now)
	}
	return o.start(o.loadOp()), 0, nil
}

func (o *Owner) start(op *Op) *Op {
	o.inFlight = op != nil
	if o.inFlight {
		o.begun++
	}
	return op
}

func (o *Owner) nextReady(now time.Time) (*Op, time.Duration, []Result) {
	if g := generationOf(now.UnixMilli()); g != o.lastGen {
		o.lastGen = g
		// An hour later than due, so that owners whose clocks differ agree.
		o.idx.DropExpired(now.Add(-time.Hour).UnixMilli())
	}
	if o.failures > 0 || now.Sub(o.confirmed) > staleAfter {
		o.catchUp = true
	}
	if o.catchUp {
		return o.start(o.tailOp()), 0, nil
	}
	var out []Result
	wait := o.pace.wait(now)
	if o.group == nil && wait == 0 { // otherwise later commands can still join the row
		out = o.formGroup(now)
	}
	switch {
	case len(o.fresh) > 0, len(o.lookups) > 0 && !o.readLast, len(o.lookups) > 0 && wait > 0:
		return o.start(o.tailOp()), 0, out
	case wait > 0 && (o.group != nil || len(o.queue) > 0):
		return nil, wait, out
	case o.group != nil:
		o.pace.take(now)
		o.readLast = false
		return o.start(&Op{Kind: OpPut, Row: o.group.row, Records: len(o.group.records)}), 0, out
	}
	op, wait := o.upkeep(now)
	o.readLast = false
	if op == nil && len(o.lookups) > 0 {
		op = o.tailOp()
	}
	return o.start(op), wait, out
}

func (o *Owner) tailOp() *Op {
	o.reading, o.readLast = len(o.lookups), true
	return &Op{Kind: OpQuery, Row: store.Row{Partition: logName(o.cfg.Partition), Sort: rowName(o.tail + 1)}}
}

// formGroup answers waiting commands from the index and collects the others into
// the next row, at most one for each key.
func (o *Owner) formGroup(now time.Time) []Result {
	var out []Result
	var rest []Command
	g := &group{}
	keys := map[uint64]bool{}
	size, full, ms := 0, false, now.UnixMilli()
	for _, c := range o.queue {
		r, decided := o.decide(c, ms)
		n := recordSize(&c.Rec)
		full = full || !decided && size > 0 && size+n > maxGroupBytes
		switch {
		case c.Rec.Kind == KindClaim && now.After(c.Expires):
			out = append(out, o.refuse(&c, now))
		case full || keys[c.Rec.Key]:
			rest = append(rest, c)
		case decided && mayBeBehind(r.Verdict):
			o.fresh = append(o.fresh, c)
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
		o.group = g
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

// decide answers a command from the index, or reports that it needs a record.
func (o *Owner) decide(c Command, now int64) (Result, bool) {
	r := Result{ID: c.ID}
	if c.Rec.Kind == KindClaim {
		r.Verdict, r.Seq = o.idx.decideClaim(c.Rec.Key, c.Rec.Digest, c.Rec.Attempt, now)
	} else {
		r.Verdict = o.idx.decideFinish(&c.Rec, now)
	}
	return r, r.Verdict != verdictWrite
}
