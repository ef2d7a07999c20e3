package feedlog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
)

// storeModel is a store that may return as an older copy of itself.
type storeModel struct {
	// eras holds the rows of each era by version.
	eras [][]map[string]store.Entry
}

func (m *storeModel) head() store.Version {
	era := len(m.eras) - 1
	return store.Version{Era: uint64(era), Number: uint64(len(m.eras[era]) - 1)}
}

func (m *storeModel) at(v store.Version) map[string]store.Entry { return m.eras[v.Era][v.Number] }

// change writes or removes a row. Numbers are assigned again after a rewind, so that the
// value has the era too.
func (m *storeModel) change(key string, set bool) {
	head := m.head()
	next := maps.Clone(m.at(head))
	e := store.Entry{Key: key, Version: head.Number + 1}
	if set {
		e.Value = fmt.Append(nil, head.Era, e.Version)
	}
	next[key] = e
	m.eras[head.Era] = append(m.eras[head.Era], next)
}

// rewind returns the store as it was at a version of the current era.
func (m *storeModel) rewind(number int) {
	m.eras = append(m.eras, slices.Clone(m.eras[len(m.eras)-1][:number+1]))
}

// replica follows the store or another replica.
type replica struct {
	log   *Log
	known bool
	after store.Version
}

func (r *replica) readStore(t *rapid.T, m *storeModel) {
	head := m.head()
	if r.known && r.after.Era != head.Era {
		r.known = false
	}
	var rows []store.Entry
	for _, e := range m.at(head) {
		if !r.known && e.Value != nil || r.known && e.Version > r.after.Number {
			rows = append(rows, e)
		}
	}
	if !r.known {
		r.known = r.log.Reset(rows, head)
	} else if !r.log.Apply(rows, r.after, head) {
		t.Fatal("the store's changes do not continue the copy")
	}
	r.after = head
}

func (r *replica) readReplica(source *Log) {
	if !r.known {
		if rows, v, ok := source.Snapshot(); ok && r.log.Reset(rows, v) {
			r.known, r.after = true, v
		}
		return
	}
	rows, v, _, err := source.Since(r.after)
	if err != nil || !r.log.Apply(rows, r.after, v) {
		r.known = false
		return
	}
	r.after = v
}

// Guards against changes that a follower misses, and against rows of different eras in one
// copy. Replicas at different versions, some with truncated history, update from the store,
// which returns as older copies, or from each other; each must hold the store's rows as of
// the version it states, and never go back.
func TestFollowersSeeEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &storeModel{eras: [][]map[string]store.Entry{{{}}}}
		replicas := []*replica{{log: New()}, {log: New()}, {log: New()}}
		var heads [3]store.Version
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				m.change(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "set"))
			case 2:
				replicas[rapid.IntRange(0, 2).Draw(t, "log")].readStore(t, m)
			case 3:
				i := rapid.IntRange(0, 2).Draw(t, "log")
				if from := rapid.IntRange(0, 2).Draw(t, "from"); from != i {
					replicas[i].readReplica(replicas[from].log)
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "rewind") == 0 {
					m.rewind(rapid.IntRange(0, int(m.head().Number)).Draw(t, "to"))
				}
			}
			for i, r := range replicas {
				rows, head, ok := r.log.Snapshot()
				if !ok {
					continue
				}
				if head.Compare(heads[i]) < 0 {
					t.Fatalf("log %d went back from %v to %v", i, heads[i], head)
				}
				heads[i] = head
				compareRows(t, m, i, rows, head)
			}
		}
	})
}

func compareRows(t *rapid.T, m *storeModel, i int, rows []store.Entry, head store.Version) {
	want := 0
	for _, e := range m.at(head) {
		if e.Value != nil {
			want++
		}
	}
	if len(rows) != want {
		t.Fatalf("log %d has %d rows at version %v, the store has %d", i, len(rows), head, want)
	}
	for _, e := range rows {
		if h := m.at(head)[e.Key]; h.Version != e.Version || string(h.Value) != string(e.Value) {
			t.Fatalf("log %d has %v at version %v, the store has %v", i, e, head, h)
		}
	}
}

// number returns a version of era 0.
func number(n uint64) store.Version { return store.Version{Number: n} }

// Guards against a replica that grows with every key that ever existed.
func TestRemovedRowsAreBounded(t *testing.T) {
	l := New()
	l.Reset(nil, number(0))
	for v := uint64(1); v <= 3*maxRemovedRows; v++ {
		if !l.Apply([]store.Entry{{Key: fmt.Sprint(v), Version: v}}, number(v-1), number(v)) {
			t.Fatal("a change was refused")
		}
	}
	if len(l.rows) > maxRemovedRows {
		t.Fatalf("%d rows are kept", len(l.rows))
	}
	if _, _, _, err := l.Since(number(1)); !errors.Is(err, store.ErrHistoryTruncated) {
		t.Fatal("changes from before the deleted rows are served")
	}
}

// Guards against a replica that accepts changes with a gap before them.
func TestApplyNeedsContinuity(t *testing.T) {
	l := New()
	if l.Apply(nil, number(0), number(1)) {
		t.Error("a table that has not been read accepted changes")
	}
	l.Reset(nil, number(3))
	if l.Apply([]store.Entry{{Key: "k", Version: 6}}, number(5), number(6)) {
		t.Error("a replica at version 3 accepted the changes after version 5")
	}
	if l.Reset(nil, number(2)) {
		t.Error("a snapshot of version 2 replaced version 3")
	}
	// Guards against the endless reads of full tables after the store returned older.
	if !l.Reset(nil, store.Version{Era: 1, Number: 2}) {
		t.Error("a snapshot of a newer era was refused because its number is lower")
	}
	if l.Reset(nil, number(9)) {
		t.Error("a snapshot of an older era replaced one of a newer era")
	}
}
