package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
)

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
	m.owners[1].StartLoading()
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
