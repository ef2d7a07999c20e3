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

// attempt is one call of a caller, as its serving instance sees it.
type attempt struct {
	id, key, digest uint64
	until           time.Time
	state           string // waiting, running, refused, crashed, ended
	ran             bool   // bytes were sent to the server
	sends           int    // claim messages sent
	clean           bool   // the owner said that no row exists or will
	verdict         Verdict
	sent            time.Time
	ranBefore       bool   // its key had run when the call was made
	owner           int    // where its last claim message went
	command         uint64 // that message
	reached         uint64 // when its claim reached an owner, in commands; 0: never
	// notRun is the call that was told that the key is free, though this attempt
	// had reached an owner; it must not be granted any more.
	notRun string
}

// message is a command under way to an owner.
type message struct {
	rec  Record
	dup  bool
	sent time.Time
}

// claimWait is how long a serving instance waits for an owner when the machine
// does not give up calls itself.
const claimWait = 5 * time.Second

// machine runs several owners of one partition against a faulty table.
type machine struct {
	table     *memTable
	owners    []*Owner
	ops       []*Op // in flight, by owner
	late      []*Op // writes whose reply timed out and that may still arrive
	now       time.Time
	attempts  map[uint64]*attempt
	waiting   map[uint64]uint64 // command to attempt
	bag       []message
	nextID    uint64
	ran       map[uint64]uint64 // key to the attempt that ran
	unacked   map[uint64]Record // ends of attempts that no owner has confirmed, by attempt
	stored    int
	reply     Reply              // of an operation that was executed earlier
	lookups   map[uint64]*lookup // by command
	foundFree int                // lookups that found a free key
	knownFree int                // claims refused with a key known to be free
	current   int                // owner that assertFree holds for; -1: none
}

// lookup is a question for the state of a key. ran says that the key had run
// when it was asked.
type lookup struct {
	key     uint64
	ran     bool
	asked   uint64 // when, in commands
	owner   int
	verdict Verdict
}

func (m *machine) lookup(key, digest uint64, owner int, t fataler) *lookup {
	m.nextID++
	_, ran := m.ran[key]
	l := &lookup{key: key, ran: ran, asked: m.nextID, owner: owner}
	m.lookups[m.nextID] = l
	if r := m.owners[owner].Submit(Command{ID: m.nextID, Rec: Record{Kind: KindLookup, Key: key, Digest: digest}}, m.now); r != nil {
		m.results([]Result{*r}, t)
	}
	return l
}

func newMachine() *machine {
	m := &machine{
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

func (m *machine) newAttempt(key, digest uint64) *attempt {
	m.nextID++
	a := &attempt{id: m.nextID, key: key, digest: digest, state: "waiting", until: m.now.Add(30 * time.Second), sent: m.now}
	_, a.ranBefore = m.ran[key]
	m.attempts[a.id] = a
	m.sendClaim(a)
	return a
}

func (m *machine) sendClaim(a *attempt) {
	a.sends++
	m.bag = append(m.bag, message{
		rec:  Record{Kind: KindClaim, Key: a.key, Digest: a.digest, Attempt: a.id, Until: a.until.UnixMilli()},
		sent: m.now,
	})
}

func (m *machine) deliver(msg message, owner int, t fataler) {
	m.nextID++
	c := Command{ID: m.nextID, Rec: msg.rec, Expires: msg.sent.Add(claimWait)}
	m.waiting[c.ID] = c.Rec.Attempt
	if a := m.attempts[c.Rec.Attempt]; c.Rec.Kind == KindClaim {
		a.command, a.owner = c.ID, owner
		if a.reached == 0 {
			a.reached = c.ID
		}
	}
	if r := m.owners[owner].Submit(c, m.now); r != nil {
		m.results([]Result{*r}, t)
	}
}

type fataler interface{ Fatalf(string, ...any) }

// results plays the serving instance: it runs what is granted, and nothing else.
func (m *machine) results(rs []Result, t fataler) {
	for _, r := range rs {
		if l := m.lookups[r.ID]; l != nil {
			l.verdict = r.Verdict
			if r.Verdict == Free {
				m.foundFree++
			}
			if l.ran && r.Verdict == Free {
				t.Fatalf("key %d had run and was reported as free", l.key)
			}
			if r.Verdict == Free && l.owner == m.current {
				m.assertFree(l.key, l.asked, 0, "lookup", t)
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
			if a.notRun != "" {
				t.Fatalf("attempt %d of key %d is granted after a %s was told that the key is free", a.id, a.key, a.notRun)
			}
			a.state = "running"
		case RefusedFree:
			m.knownFree++
			if a.ranBefore {
				t.Fatalf("key %d had run, and the claim of attempt %d was refused with the key known to be free", a.key, a.id)
			}
			if a.owner == m.current {
				m.assertFree(a.key, a.reached, a.id, "refused claim", t)
			}
			fallthrough
		case Refused:
			a.state, a.verdict, a.clean = "refused", r.Verdict, a.sends == 1
			m.free(a)
		default:
			a.state, a.verdict = "ended", r.Verdict
			if a.sends > 1 { // the other message can still be granted
				m.free(a)
			}
		}
	}
}

// assertFree requires that no attempt that had reached an owner before a question
// runs after the answer that its key is free.
func (m *machine) assertFree(key, asked, self uint64, what string, t fataler) {
	for _, a := range m.attempts {
		if a.key != key || a.id == self || a.reached == 0 || a.reached >= asked {
			continue
		}
		switch a.state {
		case "running":
			t.Fatalf("attempt %d of key %d runs when a %s is told that the key is free", a.id, key, what)
		case "waiting":
			a.notRun = what
		}
	}
}

// send sends the end of an attempt; heal sends it again until an owner confirms.
func (m *machine) send(r Record) {
	m.unacked[r.Attempt] = r
	m.bag = append(m.bag, message{rec: r})
}

func (m *machine) free(a *attempt) { m.send(Record{Kind: KindFree, Key: a.key, Attempt: a.id}) }

func (m *machine) run(a *attempt, t fataler) {
	if other, ok := m.ran[a.key]; ok && other != a.id {
		t.Fatalf("key %d runs twice: attempts %d and %d", a.key, other, a.id)
	}
	m.ran[a.key], a.ran = a.id, true
}

func (m *machine) end(a *attempt, kind Kind) {
	a.state = "ended"
	r := Record{Kind: kind, Key: a.key, Attempt: a.id}
	if kind == KindOutcome {
		r.Outcome = Outcome{Status: 200, Body: fmt.Append(nil, a.id)}
	}
	m.send(r)
}

// step starts the next operation of an owner.
func (m *machine) step(i int, t fataler) {
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

// finish completes the operation in flight with a fault.
func (m *machine) finish(i int, fault string, t fataler) {
	op := m.ops[i]
	if op == nil {
		return
	}
	m.ops[i] = nil
	var rep Reply
	switch fault {
	case "down":
		rep.Err = errDown
	case "late": // times out, takes effect later or never
		rep.Err = errDown
		if op.Kind == OpPut {
			m.late = append(m.late, op)
		}
	case "replied":
		rep = m.reply
	case "lost":
		Execute(context.Background(), m.table, m.table, *op)
		rep.Err = errDown
	default:
		rep = Execute(context.Background(), m.table, m.table, *op)
	}
	m.results(m.owners[i].Reply(op, rep, m.now), t)
}

func (m *machine) arrive(n int) {
	op := m.late[n]
	m.late = append(m.late[:n:n], m.late[n+1:]...)
	_ = m.table.Put(context.Background(), op.Row, op.Expect)
}

func (m *machine) inState(state string) []*attempt {
	var out []*attempt
	for id := uint64(0); id <= m.nextID; id++ {
		if a := m.attempts[id]; a != nil && a.state == state {
			out = append(out, a)
		}
	}
	return out
}

// heal delivers everything and completes all operations without faults.
func (m *machine) heal(t fataler) {
	for round := range 100 {
		for len(m.bag) > 0 {
			msg := m.bag[0]
			m.bag = m.bag[1:]
			m.deliver(msg, 0, t)
		}
		if round == 20 || round == 50 {
			for _, id := range slices.Sorted(maps.Keys(m.unacked)) {
				m.deliver(message{rec: m.unacked[id]}, 0, t)
			}
		}
		for i := range m.owners {
			m.step(i, t)
			m.finish(i, "", t)
		}
		m.now = m.now.Add(100 * time.Millisecond)
	}
}
