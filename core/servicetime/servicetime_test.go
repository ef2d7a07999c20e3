package servicetime

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against times that are counted twice, lost, attributed to another kind or kept
// beyond the window.
func TestOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		now := time.Unix(1000, 0)
		kinds := []Kind{{"p", "a"}, {"p", "b"}, {"q", "a"}}
		type open struct {
			run   *Run
			kind  Kind
			began time.Time
		}
		var running []open
		ended := map[Kind][]time.Duration{}
		for range rapid.IntRange(0, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(running) == 0 || rapid.Bool().Draw(t, "begin") {
				k := rapid.SampledFrom(kinds).Draw(t, "kind")
				running = append(running, open{tr.Begin(now, k, 0), k, now})
				continue
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "which")
			o := running[i]
			running = append(running[:i:i], running[i+1:]...)
			end := rapid.SampledFrom([]End{Whole, Expired, GivenUp}).Draw(t, "end")
			o.run.End(now, end)
			o.run.End(now.Add(time.Hour), Whole)
			if end != GivenUp {
				ended[o.kind] = append(ended[o.kind], now.Sub(o.began))
			}
		}
		d := time.Duration(rapid.IntRange(0, 400).Draw(t, "d")) * time.Millisecond
		for _, k := range kinds {
			latest := ended[k][max(0, len(ended[k])-window):]
			over, total := 0, len(latest)
			for _, took := range latest {
				if took > d {
					over++
				}
			}
			for _, o := range running {
				if o.kind == k && now.Sub(o.began) > d {
					over, total = over+1, total+1
				}
			}
			sorted := slices.Sorted(slices.Values(latest))
			var median, longest time.Duration
			if len(sorted) > 0 {
				median, longest = sorted[len(sorted)/2], sorted[len(sorted)-1]
			}
			for _, o := range running {
				if o.kind == k {
					longest = max(longest, now.Sub(o.began))
				}
			}
			if gotMedian, gotLongest := tr.Spread(now, k); gotMedian != median || gotLongest != longest {
				t.Fatalf("kind %v: median %v, longest %v, want %v and %v", k, gotMedian, gotLongest, median, longest)
			}
			if gotOver, gotTotal := tr.Over(now, k, d); gotOver != over || gotTotal != total {
				t.Fatalf("kind %v over %v: %d of %d, want %d of %d", k, d, gotOver, gotTotal, over, total)
			}
		}
	})
}

// Guards against records that are kept for routes that are gone, and against dropping one
// with a request under way.
func TestIdleKindsAreDropped(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for i := range 3 * maxKinds {
		run := tr.Begin(now, Kind{"p", fmt.Sprint(i)}, 0)
		if i > 0 {
			run.End(now, Whole)
		}
		now = now.Add(time.Second)
	}
	if n := len(tr.kinds); n > maxKinds+int(idleTime/time.Second) {
		t.Errorf("%d records are kept", n)
	}
	if over, total := tr.Over(now, Kind{"p", "0"}, time.Second); over != 1 || total != 1 {
		t.Errorf("the request under way counts as %d of %d", over, total)
	}
}
