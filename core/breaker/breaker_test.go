package breaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against calls over the cap, a second probe, calls other than probes to
// a service that failed, a return that starts with more than one call at once,
// and a breaker that stays open though probes succeed. Faults come in any order.
func TestBreakerProperties(t *testing.T) {
	opened := 0
	rapid.Check(t, func(t *rapid.T) {
		const limit = 4
		now := time.UnixMilli(1_790_000_000_000)
		b := New(limit, time.Second, func(n int64) int64 { return rapid.Int64Range(0, n-1).Draw(t, "jitter") })
		running, probes, inRow := 0, 0, 0
		sentSinceProbe := -1 // calls sent since a probe succeeded, while none has ended
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				state, _ := b.State()
				switch b.Acquire(now) {
				case Probe:
					probes++
					if state != Open || probes > 1 {
						t.Fatalf("probe in state %d, %d under way", state, probes)
					}
				case Send:
					running++
					if state == Open {
						t.Fatal("a call other than a probe is sent while open")
					}
					if sentSinceProbe >= 0 {
						sentSinceProbe++
					}
				}
				if running+probes > limit+1 || sentSinceProbe > 1 {
					t.Fatalf("%d calls and %d probes at once, %d since the return", running, probes, sentSinceProbe)
				}
			},
			"end": func(t *rapid.T) {
				failed := rapid.Bool().Draw(t, "failed")
				before, _ := b.State()
				switch {
				case probes > 0 && (running == 0 || rapid.Bool().Draw(t, "probe")):
					probes--
					b.Done(true, failed, now)
					after, left := b.State()
					if (after == Open) != failed {
						t.Fatalf("state %d after a probe, failed: %v", after, failed)
					}
					if sentSinceProbe = -1; !failed && left == 0 {
						sentSinceProbe, inRow = 0, 0
					}
				case running > 0:
					running--
					b.Done(false, failed, now)
					sentSinceProbe = -1
					if inRow++; !failed && before != Open {
						inRow = 0
					}
					if after, _ := b.State(); after == Open && before != Open {
						opened++
						if inRow < FailureThreshold {
							t.Fatalf("open after %d failures in a row", inRow)
						}
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 8 * time.Second}).Draw(t, "time"))
			},
		})
		for range limit { // the last calls end well
			for ; running > 0; running-- {
				b.Done(false, false, now)
			}
			if probes > 0 {
				b.Done(true, false, now)
				probes = 0
			}
			now = now.Add(2 * MaxOpenDelay)
			if d := b.Acquire(now); d == Reject || d == Wait {
				t.Fatalf("decision %d for a service that is back", d)
			} else if b.Done(d == Probe, false, now); b.IsOpen() {
				t.Fatal("open after a call that succeeded")
			}
		}
		if state, n := b.State(); state != Closed || n != 0 {
			t.Fatalf("state %d, %d running after the return", state, n)
		}
	})
	if opened == 0 {
		t.Fatal("the breaker never opened: the test covers nothing")
	}
}
