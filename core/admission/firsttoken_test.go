package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against an engine without its cache that stays unnoticed, and against
// a ramp for engines that are slow together or within the usual variation.
func TestFirstTokenProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger("r0", Params{Seed: 1})
		now := start
		l.SetRoles(now, NewTable(testView(now, 0), testIndex(3, 0), DefaultAdmitters), true)
		usual := time.Duration(rapid.IntRange(2, 200).Draw(t, "usual ms")) * time.Millisecond
		draw := func(from, to float64) time.Duration {
			return time.Duration(rapid.Float64Range(from, to).Draw(t, "times usual") * float64(usual))
		}
		engines := []fleet.ServerID{"e0", "e1", "e2"}
		note := func(s fleet.ServerID, took time.Duration) bool {
			now = now.Add(50 * time.Millisecond)
			return l.FirstToken(now, s, took)
		}
		for range rapid.IntRange(typicalMinCount, 40).Draw(t, "warm rounds") {
			for _, s := range engines {
				if note(s, draw(0.5, 2)) {
					t.Fatalf("%s is taken for cold", s)
				}
			}
		}
		slow := func() time.Duration { return draw(9, 40) + slowFloor }
		if rapid.Bool().Draw(t, "all slow") {
			for range 3 * coldWindow {
				for _, s := range engines {
					if note(s, slow()) {
						t.Fatalf("%s is taken for cold while all are slow", s)
					}
				}
			}
			return
		}
		cold := false
		for range coldSlow {
			cold = note("e0", slow()) || cold
			for range rapid.IntRange(0, 3).Draw(t, "others") {
				if note("e1", draw(0.5, 2)) {
					t.Fatal("e1 is taken for cold")
				}
			}
		}
		if !cold {
			t.Fatalf("e0 is not seen as cold after %d slow first tokens", coldSlow)
		}
	})
}
