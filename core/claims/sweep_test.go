package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sweepMachine runs an owner, and two sweepers whose clocks differ from its own,
// over days.
type sweepMachine struct {
	table    *memTable
	owner    *Owner
	now      time.Time
	sweepers []*Sweeper
	skew     []time.Duration
	deleted  []time.Duration // since the start, by sweeper 0
	late     []*Op           // deletions whose reply was lost and that arrive later
	stored   map[uint64]time.Time
	keys     uint64
}

// run claims a key and stores a large outcome. A serving instance whose clock is
// behind names the object, a few seconds before it is recorded.
func (m *sweepMachine) run(behind time.Duration) {
	m.keys++
	if m.do(Record{Kind: KindClaim, Key: m.keys, Digest: m.keys, Attempt: m.keys, Until: m.now.Add(time.Minute).UnixMilli()}) != Granted {
		return
	}
	name := OutcomeObject(0, m.keys, m.keys, m.now.Add(-behind))
	m.table.objects[name] = []byte("x")
	at := m.now
	if m.do(Record{Kind: KindOutcome, Key: m.keys, Attempt: m.keys, Outcome: Outcome{Status: 200, Object: name}}) == Recorded {
		m.stored[m.keys] = at
	}
}

// do submits a command and works until its answer, through a few failed calls.
func (m *sweepMachine) do(rec Record) Verdict {
	c := Command{ID: 10*rec.Key + uint64(rec.Kind), Rec: rec, Expires: m.now.Add(time.Minute)}
	if r := m.owner.Submit(c, m.now); r != nil {
		return r.Verdict
	}
	for _, r := range m.work() {
		if r.ID == c.ID {
			return r.Verdict
		}
	}
	return Refused
}

func (m *sweepMachine) work() (rs []Result) {
	for range 40 {
		op, wait, r := m.owner.Next(m.now)
		rs = append(rs, r...)
		if op == nil && wait == 0 {
			break
		}
		if op == nil {
			m.now = m.now.Add(min(wait, time.Second))
			continue
		}
		rs = append(rs, m.owner.Reply(op, Execute(context.Background(), m.table, m.table, *op), m.now)...)
	}
	return rs
}

// sweep lets a sweeper work for a time, with a fault at its last operation.
func (m *sweepMachine) sweep(i, ops int, fault string) {
	s, now := m.sweepers[i], m.now.Add(m.skew[i])
	for n := range ops {
		op, wait := s.Next(now)
		if op == nil {
			now = now.Add(wait)
			continue
		}
		rep := Reply{Err: errDown}
		switch {
		case n < ops-1 || fault == "" || fault == "lost":
			rep = ExecuteSweep(context.Background(), m.table, m.table, *op)
		case fault == "late" && op.Kind == OpDeleteObject:
			m.late = append(m.late, op)
		}
		if n == ops-1 && fault == "lost" {
			rep.Err = errDown
		}
		if op.Kind == OpDeleteObject && i == 0 {
			m.deleted = append(m.deleted, now.Sub(testStart))
		}
		s.Reply(op, rep, now)
	}
	if end := now.Add(-m.skew[i]); end.After(m.now) {
		m.now = end
	}
}

// check requires that a new owner can load the index, and that each outcome is
// readable until its key is forgotten.
func (m *sweepMachine) check(t fataler) {
	fresh := NewOwner(testConfig())
	fresh.StartLoading()
	for n := 0; n < 1000 && !fresh.Ready(); n++ {
		op, _, _ := fresh.Next(m.now.Add(time.Hour)) // after any backoff
		fresh.Reply(op, Execute(context.Background(), m.table, m.table, *op), m.now)
	}
	if !fresh.Ready() {
		t.Fatalf("a new owner cannot load the index at +%v", m.now.Sub(testStart))
	}
	for key, at := range m.stored {
		if forgotten(at.UnixMilli(), m.now.UnixMilli()) {
			continue
		}
		v, seq := fresh.idx.decideClaim(key, key, 1, m.now.UnixMilli())
		out, err := ReadOutcome(context.Background(), m.table, 0, seq, key)
		if v != Stored || err != nil || m.table.objects[out.Object] == nil {
			t.Fatalf("key %d, run %v ago: verdict %d, object %s (%v)", key, m.now.Sub(at), v, out.Object, err)
		}
	}
}

// Guards against the deletion of a segment that is listed or will be, which
// would stop the partition, and of an outcome within the retention; against a
// rate above the bound; and against objects that stay. Under lost, late and
// repeated deletions, two sweepers, clocks that differ by up to an hour, crashes
// of the owner and a table that refuses the list of segments for days.
func TestSweepProperties(t *testing.T) {
	swept := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &sweepMachine{table: newMemTable(), owner: NewOwner(testConfig()), now: testStart, stored: map[uint64]time.Time{}}
		for i := range 2 {
			m.sweepers = append(m.sweepers, NewSweeper(0, rand.New(rand.NewPCG(1, uint64(i))), m.now))
			m.sweepers[i].limit = 4
			m.skew = append(m.skew, time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew"))*time.Minute)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "keys") {
					m.run(time.Duration(rapid.IntRange(0, 60).Draw(t, "behind")) * time.Minute)
				}
				m.check(t)
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Hour, time.Hour, 5 * time.Hour, 20 * time.Hour, 60 * time.Hour}).Draw(t, "time"))
				m.work()
			},
			"sweep": func(t *rapid.T) {
				fault := rapid.SampledFrom([]string{"", "", "lost", "late", "down"}).Draw(t, "fault")
				m.sweep(rapid.IntRange(0, 1).Draw(t, "sweeper"), rapid.IntRange(1, 40).Draw(t, "operations"), fault)
				m.check(t)
			},
			"late deletion arrives": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip()
				}
				ExecuteSweep(context.Background(), m.table, m.table, *m.late[0])
				m.late = m.late[1:]
				m.check(t)
			},
			"owner crashes": func(*rapid.T) { m.owner = NewOwner(testConfig()) },
			"list of segments cannot be written": func(t *rapid.T) {
				if len(m.table.objects) > 0 {
					m.table.headDown = !m.table.headDown
				}
			},
		})
		for i, at := range m.deleted {
			if i >= 3 && at-m.deleted[i-3] < time.Second {
				t.Fatalf("4 deletions within %v", at-m.deleted[i-3])
			}
		}
		swept += len(m.deleted)
		m.table.headDown = false
		m.finish(t)
	})
	if swept == 0 {
		t.Fatal("nothing was deleted: the test covers nothing")
	}
}

// finish requires that only listed segments stay once all is past the retention.
func (m *sweepMachine) finish(t fataler) {
	m.now = m.now.Add(Retention + (sweepMargin+2)*generationLength)
	for left := -1; left != len(m.table.objects); {
		left = len(m.table.objects)
		m.sweep(0, 100, "")
		m.now = m.now.Add(time.Hour)
	}
	m.check(t)
	for name := range m.table.objects {
		if !m.sweepers[0].listed[name] {
			t.Fatalf("object %s stays at generation %d", name, generationOf(m.now.UnixMilli()))
		}
	}
}

// Guards against the deletion of objects that the fleet did not name, such as
// those of an earlier form.
func TestSweepKeepsOtherNames(t *testing.T) {
	late := testStart.Add(1000 * time.Hour).UnixMilli()
	if !sweepable(0, OutcomeObject(0, 1, 2, testStart), late) {
		t.Fatal("an old outcome is kept")
	}
	for _, name := range []string{"claims/000/outcome-1-2", "claims/001/g00000001/x", "claims/000/gx/1", "claims/000/g1", "slo/g00000001/x", ""} {
		if sweepable(0, name, late) {
			t.Errorf("%q may be deleted", name)
		}
	}
	if now := testStart.Add(Retention + generationLength); sweepable(0, OutcomeObject(0, 1, 2, testStart), now.UnixMilli()) {
		t.Error(fmt.Sprint("an outcome is deleted within its margin, at ", now))
	}
}
