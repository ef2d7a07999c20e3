package claims

import (
	"encoding/binary"
	"slices"
)

// Verdict is the answer to a command.
type Verdict int

// Verdicts.
const (
	// verdictWrite means that a record must be written first.
	verdictWrite Verdict = iota
	// Granted means that the attempt holds the key and may run.
	Granted
	// Stored means that the key has run; the row Seq holds the outcome.
	Stored
	// InProgress means that another attempt holds the key.
	InProgress
	// Unknown means that an earlier attempt may have run.
	Unknown
	// Conflict means that the key was used with another request.
	Conflict
	// Withdrawn means that this attempt was freed before.
	Withdrawn
	// Recorded means that the outcome of an attempt is durable.
	Recorded
	// Refused means that the command left no row and never will. The state of its
	// key is not known: an earlier attempt may have run.
	Refused
	// Free answers a lookup: the key was never claimed or has been freed.
	Free
	// RefusedFree means that the command left no row and never will, and that the
	// key was free in a read of the log that began after the command arrived.
	RefusedFree
)

// String names the verdict as the metrics do.
func (v Verdict) String() string {
	names := [...]string{"write", "granted", "stored", "in_progress", "unknown", "conflict", "withdrawn", "recorded", "not_known", "free", "key_free"}
	if v < 0 || int(v) >= len(names) {
		return "invalid"
	}
	return names[v]
}

type heldState byte

const (
	stateHeld heldState = iota + 1
	stateFreed
	stateUnknown
)

// heldEntry is a key without a stored outcome.
type heldEntry struct {
	state           heldState
	digest, attempt uint64
	at, until       int64
	// withdrawn lists attempts that were freed lately, newest last.
	withdrawn []uint64
}

// maxWithdrawn bounds the remembered attempts of a key. With 8, a caller that
// repeats a refused call ten times within seconds can find its key held by a late
// message of one of the calls.
const maxWithdrawn = 64

func (h *heldEntry) withdraw(attempt uint64) {
	if slices.Contains(h.withdrawn, attempt) {
		return
	}
	// The slice is copied, since entries are values and share it.
	h.withdrawn = append(slices.Clone(h.withdrawn[max(0, len(h.withdrawn)+1-maxWithdrawn):]), attempt)
}

// doneEntry is a key with a stored outcome, found in row seq. It is kept small:
// there is one for each request of the last 48 h.
type doneEntry struct{ digest, seq uint64 }

type generation struct {
	number int64
	done   map[uint64]doneEntry
}

// Index is the state that follows from the log of one partition. Applying the
// same rows in the same order gives the same index on every instance.
type Index struct {
	held map[uint64]heldEntry
	gens []generation // ascending by number
	// touched lists keys changed since the last segment.
	touched map[uint64]struct{}
}

// NewIndex returns the index of an empty log.
func NewIndex() *Index {
	return &Index{held: map[uint64]heldEntry{}, touched: map[uint64]struct{}{}}
}

func generationOf(ms int64) int64 { return ms / generationLength.Milliseconds() }

func forgotten(at, now int64) bool {
	return generationOf(now)-generationOf(at) > int64(Retention/generationLength)
}

func (x *Index) findDone(key uint64, now int64) (doneEntry, bool) {
	for i := len(x.gens) - 1; i >= 0; i-- {
		if generationOf(now)-x.gens[i].number > int64(Retention/generationLength) {
			break
		}
		if e, ok := x.gens[i].done[key]; ok {
			return e, true
		}
	}
	return doneEntry{}, false
}

// live returns the held entry of a key unless it is forgotten at now.
func (x *Index) live(key uint64, now int64) (heldEntry, bool) {
	h, ok := x.held[key]
	if !ok || forgotten(h.at, now) || h.state == stateFreed && now-h.at > withdrawnFor.Milliseconds() {
		return heldEntry{}, false
	}
	return h, true
}

// decideClaim answers a claim from the index. For Stored it returns the row.
func (x *Index) decideClaim(key, digest, attempt uint64, now int64) (Verdict, uint64) {
	if e, ok := x.findDone(key, now); ok {
		if e.digest != digest {
			return Conflict, 0
		}
		return Stored, e.seq
	}
	h, ok := x.live(key, now)
	switch {
	case !ok:
		return verdictWrite, 0
	case slices.Contains(h.withdrawn, attempt):
		return Withdrawn, 0
	case h.state == stateFreed:
		return verdictWrite, 0
	case h.digest != digest:
		return Conflict, 0
	case h.state == stateUnknown:
		return Unknown, 0
	case h.attempt == attempt:
		return Granted, 0
	case now < h.until:
		return InProgress, 0
	}
	return Unknown, 0
}

// decideFinish says whether the record of an attempt's end must be written. A
// free is written even when the attempt is not in the index: its row fills the
// next sequence number, so a claim that is still under way to that number fails.
func (x *Index) decideFinish(r *Record, now int64) Verdict {
	if _, ok := x.findDone(r.Key, now); ok {
		return Recorded
	}
	h, ok := x.live(r.Key, now)
	switch {
	case ok && slices.Contains(h.withdrawn, r.Attempt), ok && h.attempt == r.Attempt && h.state == stateUnknown && r.Kind != KindOutcome:
		return Recorded
	}
	return verdictWrite
}

// apply changes the index by one record of row seq.
func (x *Index) apply(seq uint64, r *Record) {
	x.touched[r.Key] = struct{}{}
	h, ok := x.live(r.Key, r.At)
	if r.Kind == KindClaim {
		if v, _ := x.decideClaim(r.Key, r.Digest, r.Attempt, r.At); v == verdictWrite {
			x.held[r.Key] = heldEntry{stateHeld, r.Digest, r.Attempt, r.At, r.Until, h.withdrawn}
		}
		return
	}
	if _, done := x.findDone(r.Key, r.At); done {
		return
	}
	own := ok && h.attempt == r.Attempt && h.state != stateFreed
	switch {
	case r.Kind == KindOutcome && own:
		delete(x.held, r.Key)
		x.putDone(r.Key, doneEntry{h.digest, seq}, generationOf(r.At))
	case r.Kind == KindUnknown && own:
		h.state = stateUnknown
		x.held[r.Key] = h
	case r.Kind == KindFree && !(own && h.state == stateUnknown):
		h.withdraw(r.Attempt)
		if own || !ok || h.state == stateFreed {
			h = heldEntry{state: stateFreed, at: r.At, withdrawn: h.withdrawn}
		}
		x.held[r.Key] = h
	}
}

func (x *Index) putDone(key uint64, e doneEntry, gen int64) {
	i, found := slices.BinarySearchFunc(x.gens, gen, func(g generation, n int64) int { return int(g.number - n) })
	if !found {
		x.gens = slices.Insert(x.gens, i, generation{gen, map[uint64]doneEntry{}})
	}
	x.gens[i].done[key] = e
}

// DropExpired drops what is past its retention.
func (x *Index) DropExpired(now int64) {
	x.gens = slices.DeleteFunc(x.gens, func(g generation) bool {
		return generationOf(now)-g.number > int64(Retention/generationLength)
	})
	for k, h := range x.held {
		if _, ok := x.live(k, now); !ok && h.at <= now {
			delete(x.held, k)
		}
	}
}

// Len returns the number of keys with a stored outcome and without one.
func (x *Index) Len() (done, held int) {
	for _, g := range x.gens {
		done += len(g.done)
	}
	return done, len(x.held)
}

// segment encodes the state of the touched keys and clears the list. Segments
// applied in order give the same index, so each claim is written out only once
// or twice instead of with every snapshot.
func (x *Index) segment() []byte {
	b := make([]byte, 0, 1+len(x.touched)*33)
	b = append(b, rowFormat)
	for k := range x.touched {
		b = x.appendState(b, k)
	}
	clear(x.touched)
	return b
}

func (x *Index) appendState(b []byte, k uint64) []byte {
	for i := len(x.gens) - 1; i >= 0; i-- {
		if e, ok := x.gens[i].done[k]; ok {
			b = binary.BigEndian.AppendUint64(append(b, 0), k)
			b = binary.BigEndian.AppendUint64(b, e.digest)
			b = binary.AppendUvarint(b, e.seq)
			return binary.AppendUvarint(b, uint64(x.gens[i].number))
		}
	}
	h, ok := x.held[k]
	if !ok {
		return b
	}
	b = binary.BigEndian.AppendUint64(append(b, byte(h.state)), k)
	b = binary.BigEndian.AppendUint64(b, h.digest)
	b = binary.BigEndian.AppendUint64(b, h.attempt)
	b = binary.AppendUvarint(b, uint64(h.at))
	b = binary.AppendUvarint(b, uint64(h.until))
	b = append(b, byte(len(h.withdrawn)))
	for _, a := range h.withdrawn {
		b = binary.BigEndian.AppendUint64(b, a)
	}
	return b
}

// load applies a segment.
func (x *Index) load(b []byte) error {
	d := &decoder{b: b}
	if f := d.take(1); f == nil || f[0] != rowFormat {
		return errRow
	}
	for len(d.b) > 0 && d.err == nil {
		state, k, digest := heldState(d.take(1)[0]), d.u64(), d.u64()
		if state == 0 {
			seq, gen := d.uvarint(), int64(d.uvarint())
			delete(x.held, k)
			x.putDone(k, doneEntry{digest, seq}, gen)
			continue
		}
		h := heldEntry{state: state, digest: digest, attempt: d.u64(), at: int64(d.uvarint()), until: int64(d.uvarint())}
		if n := d.take(1); n != nil {
			for range n[0] {
				h.withdrawn = append(h.withdrawn, d.u64())
			}
		}
		x.held[k] = h
	}
	return d.err
}
