package claims

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
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

func faultGen() *rapid.Generator[string] {
	return rapid.SampledFrom([]string{"", "", "", "", "lost", "late", "down"})
}

// Guards against a second run, an untrue refusal, a key that has run and is
// reported as free by a lookup, and a wrong stored outcome
// under crashes, pauses, lost, late, duplicate and reordered messages, a store
// that is down or slow, and two owners at once, in any combination.
func TestOwnerProperties(t *testing.T) {
	total, free, known := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				key := rapid.Uint64Range(1, 3).Draw(t, "key")
				m.newAttempt(key, key*10+rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "digest"))
			},
			"deliver": func(t *rapid.T) { // any order; any owner, as with a stale membership
				if len(m.bag) == 0 {
					t.Skip()
				}
				n := rapid.IntRange(0, len(m.bag)-1).Draw(t, "message")
				msg := m.bag[n]
				if !msg.dup && rapid.IntRange(0, 4).Draw(t, "duplicate") == 0 {
					m.bag[n].dup = true
					if a := m.attempts[msg.rec.Attempt]; msg.rec.Kind == KindClaim {
						a.sends++
					}
				} else {
					m.bag = append(m.bag[:n:n], m.bag[n+1:]...)
				}
				m.deliver(msg, rapid.IntRange(0, 1).Draw(t, "owner"), t)
			},
			"lookup": func(t *rapid.T) {
				key := rapid.Uint64Range(1, 3).Draw(t, "key")
				m.lookup(key, key*10, rapid.IntRange(0, 1).Draw(t, "owner"), t)
			},
			"start":  func(t *rapid.T) { m.step(rapid.IntRange(0, 1).Draw(t, "owner"), t) },
			"finish": func(t *rapid.T) { m.finish(rapid.IntRange(0, 1).Draw(t, "owner"), faultGen().Draw(t, "fault"), t) },
			"both": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "owner")
				m.step(i, t)
				m.finish(i, faultGen().Draw(t, "fault"), t)
			},
			"late write arrives": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip()
				}
				m.arrive(rapid.IntRange(0, len(m.late)-1).Draw(t, "write"))
			},
			"owner crashes": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "owner")
				if m.ops[i] != nil && m.ops[i].Kind == OpPut {
					m.late = append(m.late, m.ops[i])
				}
				m.owners[i], m.ops[i] = NewOwner(testConfig()), nil
			},
			"give up": func(t *rapid.T) {
				if as := m.inState("waiting"); len(as) > 0 {
					a := rapid.SampledFrom(as).Draw(t, "attempt")
					a.state = "refused"
					m.free(a)
				}
			},
			"run": func(t *rapid.T) {
				if as := m.inState("running"); len(as) > 0 {
					a := rapid.SampledFrom(as).Draw(t, "attempt")
					switch rapid.IntRange(0, 5).Draw(t, "end") {
					case 0:
						m.end(a, KindFree)
					case 1:
						m.run(a, t)
						m.end(a, KindUnknown)
					case 2: // the holder dies, perhaps after sending
						if rapid.Bool().Draw(t, "sent") {
							m.run(a, t)
						}
						a.state = "crashed"
					default:
						m.run(a, t)
						m.end(a, KindOutcome)
					}
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 3 * time.Second, 40 * time.Second, 20 * time.Minute}).Draw(t, "time"))
			},
			"": func(t *rapid.T) { m.checkClean(t) },
		})
		m.checkHealed(t)
		total += m.stored
		free += m.foundFree
		known += m.knownFree
	})
	if known == 0 {
		t.Fatal("no claim was refused with its key known to be free: the test covers nothing")
	}
	if free == 0 {
		t.Fatal("no lookup found a free key: the test covers nothing")
	}
	if total == 0 {
		t.Fatal("no history read a stored outcome: the test covers nothing")
	}
}

// checkClean requires that a claim refused without a row never gets one.
func (m *machine) checkClean(t fataler) {
	for _, row := range m.table.rows {
		if row.Partition != logName(0) {
			continue
		}
		rs, err := DecodeRow(row.Data)
		if err != nil {
			t.Fatalf("row %s: %v", row.Sort, err)
		}
		for _, r := range rs {
			if a := m.attempts[r.Attempt]; r.Kind == KindClaim && a.clean {
				t.Fatalf("attempt %d was refused without a row, but row %s holds its claim", r.Attempt, row.Sort)
			}
		}
	}
}

// checkHealed requires a true answer for each key once faults end: a key whose
// attempts were all refused or freed runs, a key that ran does not.
func (m *machine) checkHealed(t fataler) {
	m.heal(t)
	for key := uint64(1); key <= 3; key++ {
		held := false
		for _, a := range m.attempts {
			held = held || a.key == key && (a.state == "running" || a.state == "crashed" || a.state == "waiting")
		}
		a := m.newAttempt(key, key*10)
		m.heal(t)
		_, ran := m.ran[key]
		switch {
		case ran && a.state == "running":
			t.Fatalf("key %d ran and is granted again", key)
		case !ran && !held && a.state != "running":
			t.Fatalf("key %d never ran, all its attempts were freed, and it is not granted: %s %+v\n%s", key, a.state, m.owners[0].idx.held[key], m.describe(key))
		}
		if a.state == "running" {
			m.run(a, t)
			m.end(a, KindOutcome)
			m.heal(t)
		}
	}
	m.checkSameIndex(t)
}

// describe lists the log's records of a key.
func (m *machine) describe(key uint64) string {
	out := ""
	for seq := uint64(1); seq <= m.owners[0].Tail(); seq++ {
		row, err := m.table.Get(context.Background(), logName(0), rowName(seq))
		rs, _ := DecodeRow(row.Data)
		for _, r := range rs {
			if r.Key == key {
				out += fmt.Sprintf("row %d: kind %d attempt %d at +%d ms\n", seq, r.Kind, r.Attempt, r.At-testStart.UnixMilli())
			}
		}
		if err != nil {
			out += fmt.Sprintf("row %d: %v\n", seq, err)
		}
	}
	return out
}

// checkSameIndex requires that a new owner, which reads segments and rows,
// answers like one that applied every row.
func (m *machine) checkSameIndex(t fataler) {
	m.owners[1], m.ops[1] = NewOwner(testConfig()), nil
	m.owners[1].Warm()
	m.heal(t)
	if !m.owners[1].Ready() || m.owners[1].Tail() != m.owners[0].Tail() {
		t.Fatalf("new owner is at row %d, the other at %d", m.owners[1].Tail(), m.owners[0].Tail())
	}
	for key := uint64(1); key <= 3; key++ {
		v0, s0 := m.owners[0].idx.decideClaim(key, key*10, 1<<60, m.now.UnixMilli())
		v1, s1 := m.owners[1].idx.decideClaim(key, key*10, 1<<60, m.now.UnixMilli())
		if v0 != v1 || s0 != s1 {
			t.Fatalf("key %d: verdict %d row %d after all rows, verdict %d row %d after segments", key, v0, s0, v1, s1)
		}
	}
}

var _ store.Table = (*memTable)(nil)
