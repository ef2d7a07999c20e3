package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sweepModel runs an owner and two sweepers with clock skew over several days.
type sweepModel struct {
	table          *memTable
	owner          *Owner
	now            time.Time
	sweepers       []*Sweeper
	clockSkew      []time.Duration
	deletedAt      []time.Duration // times of sweeper 0's deletions, since the start
	delayedDeletes []*Op           // deletions that timed out and take effect later
	stored         map[uint64]time.Time
	keys           uint64
}

// claimAndStore claims a key and stores a large outcome. The serving instance, whose
// clock is behind, names the object before the outcome is recorded.
func (m *sweepModel) claimAndStore(behind time.Duration) {
	m.keys++
	if m.submit(Record{Kind: KindClaim, Key: m.keys, Digest: m.keys, Attempt: m.keys, Until: m.now.Add(time.Minute).UnixMilli()}) != Granted {
		return
	}
	name := OutcomeObject(0, m.keys, m.keys, m.now.Add(-behind))
	m.table.objects[name] = []byte("x")
	at := m.now
	if m.submit(Record{Kind: KindOutcome, Key: m.keys, Attempt: m.keys, Outcome: Outcome{Status: 200, Object: name}}) == Recorded {
		m.stored[m.keys] = at
	}
}

// submit submits a command and performs operations until its result, or returns
// Refused if there is none after several operations.
func (m *sweepModel) submit(rec Record) Verdict {
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

func (m *sweepModel) work() (rs []Result) {
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

// sweep lets a sweeper perform operations, the last of them with a fault.
func (m *sweepModel) sweep(i, ops int, fault string) {
	s, now := m.sweepers[i], m.now.Add(m.clockSkew[i])
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
			m.delayedDeletes = append(m.delayedDeletes, op)
		}
		if n == ops-1 && fault == "lost" {
			rep.Err = errDown
		}
		if op.Kind == OpDeleteObject && i == 0 {
			m.deletedAt = append(m.deletedAt, now.Sub(testStart))
		}
		s.Reply(op, rep, now)
	}
	if end := now.Add(-m.clockSkew[i]); end.After(m.now) {
		m.now = end
	}
}

// check fails if a new owner cannot load the index, or if an outcome cannot be read
// before it expires.
func (m *sweepModel) check(t fataler) {
	fresh := NewOwner(testConfig())
	fresh.StartLoading()
	for n := 0; n < 1000 && !fresh.Ready(); n++ {
		op, _, _ := fresh.Next(m.now.Add(time.Hour)) // past any backoff
		fresh.Reply(op, Execute(context.Background(), m.table, m.table, *op), m.now)
	}
	if !fresh.Ready() {
		t.Fatalf("a new owner cannot load the index at +%v", m.now.Sub(testStart))
	}
	for key, at := range m.stored {
		if expired(at.UnixMilli(), m.now.UnixMilli()) {
			continue
		}
		v, seq := fresh.idx.decideClaim(key, key, 1, m.now.UnixMilli())
		out, err := ReadOutcome(context.Background(), m.table, 0, seq, key)
		if v != Stored || err != nil || m.table.objects[out.Object] == nil {
			t.Fatalf("key %d, run %v ago: verdict %d, object %s (%v)", key, m.now.Sub(at), v, out.Object, err)
		}
	}
}

// Guards against the deletion of a segment that is in the segment list or will be
// added, which would leave the partition unavailable; of an outcome within its
// retention; against a deletion rate above the bound; and against objects that are
// never deleted. The histories combine lost, delayed and repeated deletions, two
// sweepers, clock skew of up to an hour, owner crashes, and a table that rejects
// writes of the segment list for days.
func TestSweepProperties(t *testing.T) {
	swept := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &sweepModel{table: newMemTable(), owner: NewOwner(testConfig()), now: testStart, stored: map[uint64]time.Time{}}
		for i := range 2 {
			m.sweepers = append(m.sweepers, NewSweeper(0, rand.New(rand.NewPCG(1, uint64(i))), m.now))
			m.sweepers[i].limit = 4
			m.clockSkew = append(m.clockSkew, time.Duration(rapid.IntRange(-60, 60).Draw(t, "skew"))*time.Minute)
		}
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "keys") {
					m.claimAndStore(time.Duration(rapid.IntRange(0, 60).Draw(t, "behind")) * time.Minute)
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
				if len(m.delayedDeletes) == 0 {
					t.Skip()
				}
				ExecuteSweep(context.Background(), m.table, m.table, *m.delayedDeletes[0])
				m.delayedDeletes = m.delayedDeletes[1:]
				m.check(t)
			},
			"owner crashes": func(*rapid.T) { m.owner = NewOwner(testConfig()) },
			"list of segments cannot be written": func(t *rapid.T) {
				if len(m.table.objects) > 0 {
					m.table.segmentListDown = !m.table.segmentListDown
				}
			},
		})
		for i, at := range m.deletedAt {
			if i >= 3 && at-m.deletedAt[i-3] < time.Second {
				t.Fatalf("4 deletions within %v", at-m.deletedAt[i-3])
			}
		}
		swept += len(m.deletedAt)
		m.table.segmentListDown = false
		m.finish(t)
	})
	if swept == 0 {
		t.Fatal("nothing was deleted: the test covers nothing")
	}
}

// finish fails if objects other than segments in the segment list remain after
// everything has expired.
func (m *sweepModel) finish(t fataler) {
	m.now = m.now.Add(Retention + (sweepMarginGenerations+2)*generationLength)
	for left := -1; left != len(m.table.objects); {
		left = len(m.table.objects)
		m.sweep(0, 100, "")
		m.now = m.now.Add(time.Hour)
	}
	m.check(t)
	for name := range m.table.objects {
		if !m.sweepers[0].inUse[name] {
			t.Fatalf("object %s was not deleted by generation %d", name, generationOf(m.now.UnixMilli()))
		}
	}
}

// Guards against the deletion of objects whose names have another format, such as
// those of an earlier version.
func TestSweepKeepsOtherNames(t *testing.T) {
	late := testStart.Add(1000 * time.Hour).UnixMilli()
	if !sweepable(0, OutcomeObject(0, 1, 2, testStart), late) {
		t.Fatal("an expired outcome is not sweepable")
	}
	for _, name := range []string{"claims/000/outcome-1-2", "claims/001/g00000001/x", "claims/000/gx/1", "claims/000/g1", "slo/g00000001/x", ""} {
		if sweepable(0, name, late) {
			t.Errorf("%q is sweepable", name)
		}
	}
	if now := testStart.Add(Retention + generationLength); sweepable(0, OutcomeObject(0, 1, 2, testStart), now.UnixMilli()) {
		t.Error(fmt.Sprint("an outcome is sweepable within its margin, at ", now))
	}
}
