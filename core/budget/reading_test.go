package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests being read than the limit, a young one that is ended, an old
// one that keeps a new one out, and counts that are lost.
func TestReading(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		r := NewReading(limit)
		now := time.Unix(0, 0)
		open := map[*Incomplete]time.Time{}
		full := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				for i := range open {
					r.End(i)
					r.End(i)
					delete(open, i)
					break
				}
			}
			oldest := now
			for _, since := range open {
				if since.Before(oldest) {
					oldest = since
				}
			}
			full = len(open) == limit
			i := r.Begin(now, func() {
				for j, since := range open {
					if j.place == nil {
						if now.Sub(since) < minReadingAge || !full {
							t.Fatalf("a request of %v was ended", now.Sub(since))
						}
						delete(open, j)
					}
				}
			})
			if refused := full && now.Sub(oldest) < minReadingAge; (i == nil) != refused {
				t.Fatalf("refused %v with %d open, the oldest since %v", i == nil, len(open), now.Sub(oldest))
			}
			if i != nil {
				open[i] = now
			}
			if int(r.Used()) != len(open) || len(open) > limit {
				t.Fatalf("%d used, %d open", r.Used(), len(open))
			}
		}
		for i := range open {
			r.End(i)
		}
		if r.Used() != 0 {
			t.Fatalf("%d left", r.Used())
		}
	})
}
