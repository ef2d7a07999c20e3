package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/result"
)

// Guards against a second send of a request that may have run and must not be
// repeated.
func TestEligible(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		outcome    result.Outcome
		want       bool
	}{
		{true, result.NotRun, true},
		{true, result.Unknown, true},
		{true, result.Ran, false},
		{false, result.NotRun, true},
		{false, result.Unknown, false},
		{false, result.Ran, false},
	} {
		if got := Eligible(c.idempotent, c.outcome); got != c.want {
			t.Errorf("Eligible(%v, %s) = %v, want %v", c.idempotent, c.outcome, got, c.want)
		}
	}
}

// Guards against retries beyond the declared percentage of the recent requests
// and the reserve, in any window of a history.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		b := NewBudgets()
		b.SetPercent("p", percent)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 3000).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				b.OnRequest("p")
				requests++
			} else if b.TryRetry("p") {
				retries++
			}
			if 100*retries > percent*requests+100*reserve {
				t.Fatalf("%d retries for %d requests at %d%%", retries, requests, percent)
			}
		}
	})
}

// Guards against waits outside the bounds and against equal waits, with which
// retries of many requests would meet again.
func TestBackoff(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	seen := map[time.Duration]bool{}
	for range 100 {
		b := Backoff{Base: 5 * time.Millisecond, Cap: 100 * time.Millisecond}
		for range 5 {
			w := b.Next(rnd.Int64N)
			if w < b.Base || w > b.Cap {
				t.Fatalf("wait %v", w)
			}
			seen[w] = true
		}
	}
	if len(seen) < 200 {
		t.Fatalf("only %d different waits", len(seen))
	}
}

// Guards against a fleet that retries more than its bound because each instance
// saved up retries in calm times: in any window, all together stay below the percent
// of their requests and the shared burst.
func TestSharedBurst(t *testing.T) {
	const instances, percent, burst = 9, 15, 4
	for i := range instances {
		b := NewBudgets()
		b.SetAll(percent, burst)
		for range 10_000 {
			b.OnRequest("p")
		}
		n := 0
		for b.TryRetry("p") {
			n++
		}
		if n > burst {
			t.Fatalf("instance %d retried %d times at once, its share is %d", i, n, burst)
		}
		for range 100 {
			b.OnRequest("p")
		}
		for n = 0; b.TryRetry("p"); n++ {
		}
		if n > percent {
			t.Fatalf("%d retries after 100 requests, want at most %d", n, percent)
		}
	}
}
