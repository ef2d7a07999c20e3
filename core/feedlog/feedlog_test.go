package feedlog

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
)

// Guards against a change that a follower never sees: it reads through copies that
// are at different versions, lose their history and come from the store or from
// another copy, and must hold the store's rows of the version it is told.
func TestFollowersSeeEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []map[string]store.Entry // by version
		history = append(history, map[string]store.Entry{})
		change := func() {
			next := map[string]store.Entry{}
			for k, e := range history[len(history)-1] {
				next[k] = e
			}
			key := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "key"))
			e := store.Entry{Key: key, Version: uint64(len(history))}
			if rapid.Bool().Draw(t, "set") {
				e.Value = []byte{byte(len(history))}
			}
			next[key] = e
			history = append(history, next)
		}
		logs := []*Log{New(), New(), New()}
		known := make([]bool, len(logs))
		after := make([]uint64, len(logs))
		// read updates log i from the store (source < 0) or from another log.
		read := func(i, source int) {
			l := logs[i]
			if source < 0 {
				head := uint64(len(history) - 1)
				var rows []store.Entry
				for _, e := range history[head] {
					if !known[i] && e.Value != nil || known[i] && e.Version > after[i] {
						rows = append(rows, e)
					}
				}
				if !known[i] {
					known[i] = l.Reset(rows, head)
				} else if !l.Apply(rows, after[i], head) {
					t.Fatal("the store's changes do not continue the copy")
				}
				after[i] = head
				return
			}
			if !known[i] {
				if rows, v, ok := logs[source].Snapshot(); ok && l.Reset(rows, v) {
					known[i], after[i] = true, v
				}
				return
			}
			rows, v, _, err := logs[source].Since(after[i])
			if errors.Is(err, store.ErrHistoryTruncated) {
				known[i] = false
				return
			}
			if !l.Apply(rows, after[i], v) {
				known[i] = false
				return
			}
			after[i] = v
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				change()
			case 1:
				read(rapid.IntRange(0, 2).Draw(t, "log"), -1)
			case 2:
				i := rapid.IntRange(0, 2).Draw(t, "log")
				if from := rapid.IntRange(0, 2).Draw(t, "from"); from != i {
					read(i, from)
				}
			}
			for i, l := range logs {
				if !known[i] {
					continue
				}
				rows, head, _ := l.Snapshot()
				want := 0
				for _, e := range history[head] {
					if e.Value != nil {
						want++
					}
				}
				if len(rows) != want {
					t.Fatalf("log %d has %d rows at version %d, the store has %d", i, len(rows), head, want)
				}
				for _, e := range rows {
					if h := history[head][e.Key]; h.Version != e.Version || string(h.Value) != string(e.Value) {
						t.Fatalf("log %d has %v at version %d, the store has %v", i, e, head, h)
					}
				}
			}
		}
	})
}

// Guards against a copy that grows with each key that ever was.
func TestRemovedRowsAreBounded(t *testing.T) {
	l := New()
	l.Reset(nil, 0)
	for v := uint64(1); v <= 3*maxRemoved; v++ {
		if !l.Apply([]store.Entry{{Key: fmt.Sprint(v), Version: v}}, v-1, v) {
			t.Fatal("a change was refused")
		}
	}
	if len(l.rows) > maxRemoved {
		t.Fatalf("%d rows are kept", len(l.rows))
	}
	if _, _, _, err := l.Since(1); !errors.Is(err, store.ErrHistoryTruncated) {
		t.Fatal("changes from before the dropped rows are handed on")
	}
}

// Guards against a copy that takes changes which do not follow what it holds.
func TestApplyNeedsContinuity(t *testing.T) {
	l := New()
	if l.Apply(nil, 0, 1) {
		t.Error("an unknown table took changes")
	}
	l.Reset(nil, 3)
	if l.Apply([]store.Entry{{Key: "k", Version: 6}}, 5, 6) {
		t.Error("a copy of version 3 took the changes after version 5")
	}
	if l.Reset(nil, 2) {
		t.Error("a whole read of version 2 replaced version 3")
	}
}
