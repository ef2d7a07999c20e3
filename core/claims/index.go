package claims

import (
	"encoding/binary"
	"slices"
)

// Verdict is the result code of a command.
type Verdict int

// Verdicts.
const (
	// verdictNeedsRecord means that a record must be written to the log first.
	verdictNeedsRecord Verdict = iota
	// Granted means that the attempt holds the key and may run.
	Granted
	// Stored means that a request with the key has run; row Seq holds its outcome.
	Stored
	// InProgress means that another attempt holds the key.
	InProgress
	// Unknown means that an earlier attempt may have run.
	Unknown
	// Conflict means that the key was used with a different request.
	Conflict
	// Withdrawn means that this attempt has already been freed.
	Withdrawn
	// Recorded means that the outcome of an attempt is durable.
	Recorded
	// Refused means that the command is not in the log and never will be. The
	// state of its key is not known: an earlier attempt may have run.
	Refused
	// Free is the result of a lookup of a key that was never claimed or was freed.
	Free
	// RefusedFree means that the command is not in the log and never will be, and
	// that the key was free in a log read that began after the command arrived.
	RefusedFree
)

// String returns the name of the verdict in metrics.
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
	// withdrawn lists recently freed attempts, newest last.
	withdrawn []uint64
}

// maxWithdrawn bounds the freed attempts that are kept for a key. With 8, a caller
// that retries a refused call ten times within seconds can find its key claimed by
// a delayed message of one of the calls.
const maxWithdrawn = 64

func (h *heldEntry) withdraw(attempt uint64) {
	if slices.Contains(h.withdrawn, attempt) {
		return
	}
	// Copies of the entry share the slice, so it must not be changed in place.
	h.withdrawn = append(slices.Clone(h.withdrawn[max(0, len(h.withdrawn)+1-maxWithdrawn):]), attempt)
}

// doneEntry is a key whose outcome is stored in row seq. It is small because there
// is one for each request of the last 48 h.
type doneEntry struct{ digest, seq uint64 }

type generation struct {
	number int64
	done   map[uint64]doneEntry
}

// Index is the state derived from the log of one partition. Applying the same
// rows in the same order yields the same index on every instance.
type Index struct {
	held        map[uint64]heldEntry
	generations []generation // ascending by number
	// changed is the set of keys changed since the last segment.
	changed map[uint64]struct{}
}

// NewIndex returns the index of an empty log.
func NewIndex() *Index {
	return &Index{held: map[uint64]heldEntry{}, changed: map[uint64]struct{}{}}
}

func generationOf(ms int64) int64 { return ms / generationLength.Milliseconds() }

func expired(at, now int64) bool {
	return generationOf(now)-generationOf(at) > int64(Retention/generationLength)
}

func (x *Index) findDone(key uint64, now int64) (doneEntry, bool) {
	for i := len(x.generations) - 1; i >= 0; i-- {
		if generationOf(now)-x.generations[i].number > int64(Retention/generationLength) {
			break
		}
		if e, ok := x.generations[i].done[key]; ok {
			return e, true
		}
	}
	return doneEntry{}, false
}

// unexpiredHeld returns the held entry of a key unless it has expired at now.
func (x *Index) unexpiredHeld(key uint64, now int64) (heldEntry, bool) {
	h, ok := x.held[key]
	if !ok || expired(h.at, now) || h.state == stateFreed && now-h.at > withdrawnRetention.Milliseconds() {
		return heldEntry{}, false
	}
	return h, true
}

// decideClaim evaluates a claim against the index. For Stored it also returns the
// row of the outcome.
func (x *Index) decideClaim(key, digest, attempt uint64, now int64) (Verdict, uint64) {
	if e, ok := x.findDone(key, now); ok {
		if e.digest != digest {
			return Conflict, 0
		}
		return Stored, e.seq
	}
	h, ok := x.unexpiredHeld(key, now)
	switch {
	case !ok:
		return verdictNeedsRecord, 0
	case slices.Contains(h.withdrawn, attempt):
		return Withdrawn, 0
	case h.state == stateFreed:
		return verdictNeedsRecord, 0
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

// decideFinish decides whether the record of an attempt's end must be written. A
// KindFree record is written even when the attempt is not in the index: its row
// takes the next sequence number, so that an in-flight write of the claim under
// that number fails.
func (x *Index) decideFinish(r *Record, now int64) Verdict {
	if _, ok := x.findDone(r.Key, now); ok {
		return Recorded
	}
	h, ok := x.unexpiredHeld(r.Key, now)
	switch {
	case ok && slices.Contains(h.withdrawn, r.Attempt), ok && h.attempt == r.Attempt && h.state == stateUnknown && r.Kind != KindOutcome:
		return Recorded
	}
	return verdictNeedsRecord
}

// apply updates the index with one record of row seq.
func (x *Index) apply(seq uint64, r *Record) {
	x.changed[r.Key] = struct{}{}
	h, ok := x.unexpiredHeld(r.Key, r.At)
	if r.Kind == KindClaim {
		if v, _ := x.decideClaim(r.Key, r.Digest, r.Attempt, r.At); v == verdictNeedsRecord {
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
	i, found := slices.BinarySearchFunc(x.generations, gen, func(g generation, n int64) int { return int(g.number - n) })
	if !found {
		x.generations = slices.Insert(x.generations, i, generation{gen, map[uint64]doneEntry{}})
	}
	x.generations[i].done[key] = e
}

// DropExpired removes expired entries.
func (x *Index) DropExpired(now int64) {
	x.generations = slices.DeleteFunc(x.generations, func(g generation) bool {
		return generationOf(now)-g.number > int64(Retention/generationLength)
	})
	for k, h := range x.held {
		if _, ok := x.unexpiredHeld(k, now); !ok && h.at <= now {
			delete(x.held, k)
		}
	}
}

// Len returns the number of keys with and without a stored outcome.
func (x *Index) Len() (done, held int) {
	for _, g := range x.generations {
		done += len(g.done)
	}
	return done, len(x.held)
}

// segment encodes the state of the changed keys and clears the set. Applying all
// segments in order yields the same index, so each claim is written only once or
// twice instead of in every snapshot.
func (x *Index) segment() []byte {
	b := make([]byte, 0, 1+len(x.changed)*33)
	b = append(b, rowFormat)
	for k := range x.changed {
		b = x.appendState(b, k)
	}
	clear(x.changed)
	return b
}

func (x *Index) appendState(b []byte, k uint64) []byte {
	for i := len(x.generations) - 1; i >= 0; i-- {
		if e, ok := x.generations[i].done[k]; ok {
			b = binary.BigEndian.AppendUint64(append(b, 0), k)
			b = binary.BigEndian.AppendUint64(b, e.digest)
			b = binary.AppendUvarint(b, e.seq)
			return binary.AppendUvarint(b, uint64(x.generations[i].number))
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

// load applies an encoded segment to the index.
func (x *Index) load(b []byte) error {
	d := &decoder{b: b}
	if f := d.take(1); f == nil || f[0] != rowFormat {
		return errMalformedRow
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
