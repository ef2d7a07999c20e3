package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

var errDown = errors.New("store down")

// attempt is one call as seen by the instance that serves it.
type attempt struct {
	id, key, digest   uint64
	until             time.Time
	state             string // waiting, running, refused, crashed, ended
	ran               bool   // the request was sent to the server
	claimsSent        int    // claim messages sent
	refusedWithoutRow bool   // the owner reported that no row exists or will be written
	verdict           Verdict
	sent              time.Time
	keyRanBefore      bool   // the key had run before the call was made
	owner             int    // recipient of its last claim message
	command           uint64 // command of that message
	firstCommand      uint64 // first command with its claim that reached an owner; 0: none
	// reportedFreeBy is the kind of call that was told that the key is free
	// although this attempt had reached an owner. The attempt must then not be granted.
	reportedFreeBy string
}

// inTransitCommand is a command that no owner has received yet.
type inTransitCommand struct {
	rec  Record
	dup  bool
	sent time.Time
}

// callerTimeout is how long a serving instance waits for an owner when the test does
// not model the wait itself.
const callerTimeout = 5 * time.Second

// ownerModel runs two owners of one partition against a faulty table.
type ownerModel struct {
	table         *memTable
	owners        []*Owner
	ops           []*Op // in flight, by owner
	delayedWrites []*Op // writes that timed out and may still take effect
	now           time.Time
	attempts      map[uint64]*attempt
	waiting       map[uint64]uint64 // command to attempt
	inTransit     []inTransitCommand
	nextID        uint64
	ran           map[uint64]uint64 // key to the attempt that ran
	unacked       map[uint64]Record // ends of attempts that no owner has acknowledged, by attempt
	stored        int
	executedReply Reply              // reply to an operation that was executed earlier
	lookups       map[uint64]*lookup // by command
	freeLookups   int                // lookups that reported a key as free
	freeRefusals  int                // claims refused with RefusedFree
	current       int                // owner whose replies assertFree checks; -1: none
}

// lookup is a lookup of a key's state. ran is set if the key had run before the
// lookup was made.
type lookup struct {
	key     uint64
	ran     bool
	command uint64 // number of the lookup command
	owner   int
	verdict Verdict
}

func (m *ownerModel) lookup(key, digest uint64, owner int, t fataler) *lookup {
	m.nextID++
	_, ran := m.ran[key]
	l := &lookup{key: key, ran: ran, command: m.nextID, owner: owner}
	m.lookups[m.nextID] = l
	if r := m.owners[owner].Submit(Command{ID: m.nextID, Rec: Record{Kind: KindLookup, Key: key, Digest: digest}}, m.now); r != nil {
		m.results([]Result{*r}, t)
	}
	return l
}

func newOwnerModel() *ownerModel {
	m := &ownerModel{
		table: newMemTable(), now: testStart, attempts: map[uint64]*attempt{},
		waiting: map[uint64]uint64{}, ran: map[uint64]uint64{}, unacked: map[uint64]Record{},
		lookups: map[uint64]*lookup{}, current: -1,
	}
	for range 2 {
		m.owners = append(m.owners, NewOwner(testConfig()))
		m.ops = append(m.ops, nil)
	}
	return m
}

func (m *ownerModel) newAttempt(key, digest uint64) *attempt {
	m.nextID++
	a := &attempt{id: m.nextID, key: key, digest: digest, state: "waiting", until: m.now.Add(30 * time.Second), sent: m.now}
	_, a.keyRanBefore = m.ran[key]
	m.attempts[a.id] = a
	m.sendClaim(a)
	return a
}

func (m *ownerModel) sendClaim(a *attempt) {
	a.claimsSent++
	m.inTransit = append(m.inTransit, inTransitCommand{
		rec:  Record{Kind: KindClaim, Key: a.key, Digest: a.digest, Attempt: a.id, Until: a.until.UnixMilli()},
		sent: m.now,
	})
}

func (m *ownerModel) deliver(msg inTransitCommand, owner int, t fataler) {
	m.nextID++
	c := Command{ID: m.nextID, Rec: msg.rec, Expires: msg.sent.Add(callerTimeout)}
	m.waiting[c.ID] = c.Rec.Attempt
	if a := m.attempts[c.Rec.Attempt]; c.Rec.Kind == KindClaim {
		a.command, a.owner = c.ID, owner
		if a.firstCommand == 0 {
			a.firstCommand = c.ID
		}
	}
	if r := m.owners[owner].Submit(c, m.now); r != nil {
		m.results([]Result{*r}, t)
	}
}

type fataler interface{ Fatalf(string, ...any) }

// results acts as the serving instance: it runs an attempt only if it is granted.
func (m *ownerModel) results(rs []Result, t fataler) {
	for _, r := range rs {
		if l := m.lookups[r.ID]; l != nil {
			l.verdict = r.Verdict
			if r.Verdict == Free {
				m.freeLookups++
			}
			if l.ran && r.Verdict == Free {
				t.Fatalf("key %d had run and was reported as free", l.key)
			}
			if r.Verdict == Free && l.owner == m.current {
				m.assertFree(l.key, l.command, 0, "lookup", t)
			}
			delete(m.lookups, r.ID)
			continue
		}
		a := m.attempts[m.waiting[r.ID]]
		if a == nil {
			continue
		}
		if r.Verdict == Recorded {
			delete(m.unacked, a.id)
			continue
		}
		if r.Verdict == Stored {
			out, err := ReadOutcome(context.Background(), m.table, 0, r.Seq, a.key)
			if err != nil || string(out.Body) != fmt.Sprint(m.ran[a.key]) {
				t.Fatalf("key %d: stored outcome %q (%v), the attempt that ran is %d", a.key, out.Body, err, m.ran[a.key])
			}
			m.stored++
		}
		if a.state != "waiting" {
			continue
		}
		switch r.Verdict {
		case Granted:
			if a.reportedFreeBy != "" {
				t.Fatalf("attempt %d of key %d is granted after a %s was told that the key is free", a.id, a.key, a.reportedFreeBy)
			}
			a.state = "running"
		case RefusedFree:
			m.freeRefusals++
			if a.keyRanBefore {
				t.Fatalf("key %d had run, and the claim of attempt %d was refused with the key known to be free", a.key, a.id)
			}
			if a.owner == m.current {
				m.assertFree(a.key, a.firstCommand, a.id, "refused claim", t)
			}
			fallthrough
		case Refused:
			a.state, a.verdict, a.refusedWithoutRow = "refused", r.Verdict, a.claimsSent == 1
			m.free(a)
		default:
			a.state, a.verdict = "ended", r.Verdict
			if a.claimsSent > 1 { // the duplicate claim can still be granted
				m.free(a)
			}
		}
	}
}

// assertFree fails if an attempt that reached an owner before the command asked is
// running when its key is reported as free. Attempts that still wait must not be
// granted later.
func (m *ownerModel) assertFree(key, asked, self uint64, what string, t fataler) {
	for _, a := range m.attempts {
		if a.key != key || a.id == self || a.firstCommand == 0 || a.firstCommand >= asked {
			continue
		}
		switch a.state {
		case "running":
			t.Fatalf("attempt %d of key %d runs when a %s is told that the key is free", a.id, key, what)
		case "waiting":
			a.reportedFreeBy = what
		}
	}
}

// send sends the end of an attempt. runWithoutFaults sends it again until an owner
// acknowledges it.
func (m *ownerModel) send(r Record) {
	m.unacked[r.Attempt] = r
	m.inTransit = append(m.inTransit, inTransitCommand{rec: r})
}

func (m *ownerModel) free(a *attempt) { m.send(Record{Kind: KindFree, Key: a.key, Attempt: a.id}) }

func (m *ownerModel) run(a *attempt, t fataler) {
	if other, ok := m.ran[a.key]; ok && other != a.id {
		t.Fatalf("key %d runs twice: attempts %d and %d", a.key, other, a.id)
	}
	m.ran[a.key], a.ran = a.id, true
}

func (m *ownerModel) end(a *attempt, kind Kind) {
	a.state = "ended"
	r := Record{Kind: kind, Key: a.key, Attempt: a.id}
	if kind == KindOutcome {
		r.Outcome = Outcome{Status: 200, Body: fmt.Append(nil, a.id)}
	}
	m.send(r)
}

// step starts the next operation of an owner.
func (m *ownerModel) step(i int, t fataler) {
	if m.ops[i] != nil {
		return
	}
	op, wait, rs := m.owners[i].Next(m.now)
	m.results(rs, t)
	m.ops[i] = op
	if op == nil && wait > 0 {
		m.now = m.now.Add(wait)
	}
}

// finish completes the operation in flight, with the given fault if any.
func (m *ownerModel) finish(i int, fault string, t fataler) {
	op := m.ops[i]
	if op == nil {
		return
	}
	m.ops[i] = nil
	var rep Reply
	switch fault {
	case "down":
		rep.Err = errDown
	case "late": // times out, and takes effect later or never
		rep.Err = errDown
		if op.Kind == OpPut {
			m.delayedWrites = append(m.delayedWrites, op)
		}
	case "replied":
		rep = m.executedReply
	case "lost":
		Execute(context.Background(), m.table, m.table, *op)
		rep.Err = errDown
	default:
		rep = Execute(context.Background(), m.table, m.table, *op)
	}
	m.results(m.owners[i].Reply(op, rep, m.now), t)
}

func (m *ownerModel) applyDelayedWrite(n int) {
	op := m.delayedWrites[n]
	m.delayedWrites = append(m.delayedWrites[:n:n], m.delayedWrites[n+1:]...)
	_ = m.table.Put(context.Background(), op.Row, op.Expect)
}

func (m *ownerModel) inState(state string) []*attempt {
	var out []*attempt
	for id := uint64(0); id <= m.nextID; id++ {
		if a := m.attempts[id]; a != nil && a.state == state {
			out = append(out, a)
		}
	}
	return out
}

// runWithoutFaults delivers all messages and completes all operations without faults.
func (m *ownerModel) runWithoutFaults(t fataler) {
	for round := range 100 {
		for len(m.inTransit) > 0 {
			msg := m.inTransit[0]
			m.inTransit = m.inTransit[1:]
			m.deliver(msg, 0, t)
		}
		if round == 20 || round == 50 {
			for _, id := range slices.Sorted(maps.Keys(m.unacked)) {
				m.deliver(inTransitCommand{rec: m.unacked[id]}, 0, t)
			}
		}
		for i := range m.owners {
			m.step(i, t)
			m.finish(i, "", t)
		}
		m.now = m.now.Add(100 * time.Millisecond)
	}
}
