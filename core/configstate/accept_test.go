package configstate

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Guards against an Accept whose result (success, conflict or not_run) contradicts the
// table. Calls and replies are lost, operators race, and further versions are accepted
// before the first writer can read the row again.
func TestAcceptRapid(t *testing.T) {
	body := []byte("format = 1\n")
	rapid.Check(t, func(t *rapid.T) {
		s := &faultyStore{accepted: map[uint64]string{}}
		base := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			nonce := fmt.Sprintf("n%d", i)
			s.loseReply, s.loseCall = rapid.Bool().Draw(t, "lose reply"), rapid.IntRange(0, 4).Draw(t, "lose call") == 0
			readFails := rapid.IntRange(0, 4).Draw(t, "read fails") == 0
			racers := rapid.IntRange(0, 3).Draw(t, "racers")
			s.afterWrite = func() {
				for j := range racers {
					if _, err := Accept(context.Background(), s, s, s.row.Version, body, "bo", fmt.Sprintf("%s-%d", nonce, j)); err != nil {
						t.Fatalf("racer: %v", err)
					}
				}
				s.readFail = readFails
			}
			callBase := base
			if rapid.IntRange(0, 4).Draw(t, "old base") == 0 && base > 0 {
				callBase = base - 1
			}
			h, err := Accept(context.Background(), s, s, callBase, body, "ana", nonce)
			s.readFail = false
			won := s.accepted[callBase+1] == nonce
			var e *result.Error
			switch {
			case err == nil && (!won || h.Version != callBase+1):
				t.Fatalf("success is reported, version %d belongs to %q", callBase+1, s.accepted[callBase+1])
			case err != nil && (!errors.As(err, &e) || e.Outcome == result.NotRun && won):
				t.Fatalf("%v is reported, but version %d is %s", err, callBase+1, nonce)
			}
			if err != nil && e.Outcome == result.Unknown && won && !readFails {
				t.Fatalf("%v is reported, but the row tells that version %d is %s", err, callBase+1, nonce)
			}
			base = s.row.Version
		}
	})
}

func drawBody(t *rapid.T, label string) []byte {
	entries := rapid.SliceOfN(rapid.SampledFrom([]string{
		"[[account]]\nname = \"a\"\n", "[[account]]\nname = \"b\"\n", "[[pool]]\nname = \"p\"\n[pool.objectives]\nfirst_token_ms = 1\n",
		"# note\n", "[fleet]\nkeep_seconds = 3\n", "text without a newline", "[[x",
	}), 0, 12).Draw(t, label)
	var out []byte
	for _, e := range entries {
		out = append(out, e...)
	}
	return out
}

// Guards against patches that produce a wrong body and against accepting a body whose
// digest differs.
func TestPatchRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		var texts [][]byte
		n := rapid.IntRange(1, 5).Draw(t, "versions")
		for v := range n {
			texts = append(texts, drawBody(t, "body"))
			b := Body{Version: uint64(v + 1), Text: texts[v]}
			b.Sum = sum(texts[v])
			h.Push(b)
		}
		from := rapid.IntRange(0, n-1).Draw(t, "from")
		have := sum(texts[from])
		patches, ok := h.Since(have[:])
		if !ok {
			return
		}
		want := sum(texts[n-1])
		got, err := Rebuild(texts[from], patches, nil, want[:])
		if err != nil || string(got) != string(texts[n-1]) {
			t.Fatalf("got %q, want %q, %v", got, texts[n-1], err)
		}
		if other := append([]byte("x"), texts[from]...); len(patches) > 0 {
			if got, err := Rebuild(other, patches, nil, want[:]); err == nil && string(got) != string(texts[n-1]) {
				t.Fatalf("the wrong body %q was accepted", got)
			}
		}
		if _, err := Rebuild(nil, nil, []byte("format = 2\n"), want[:]); err == nil {
			t.Fatal("a body with a different digest was accepted")
		}
	})
	if ops := manifest.Diff([]byte("[[a]]\nx=1\n[[a]]\nx=2\n[[a]]\nx=3\n"), []byte("[[a]]\nx=1\n[[a]]\nx=9\n[[a]]\nx=3\n")); len(ops) != 3 {
		t.Fatalf("a change of one entry takes %d steps: %+v", len(ops), ops)
	}
}
