package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawHistory draws a history; a version that fails does so at a rate from least to most percent.
func drawHistory(t *rapid.T, least, most int) history {
	ms := func(name string, from, to int) time.Duration {
		return time.Duration(rapid.IntRange(from/50, to/50).Draw(t, name)) * 50 * time.Millisecond
	}
	h := history{
		seed: rapid.Uint64().Draw(t, "seed"), instances: rapid.IntRange(3, 24).Draw(t, "instances"), servers: rapid.IntRange(3, 20).Draw(t, "servers"),
		duration: ms("duration", 12_000, 20_000),
		baseFail: float64(rapid.IntRange(0, 10).Draw(t, "base failures")) / 1000, bad: rapid.Bool().Draw(t, "bad"),
	}
	// At 50 requests/s per server the load of a server would grow without bound.
	h.perSecond = float64(h.servers * rapid.IntRange(12, 30).Draw(t, "requests/s per server"))
	h.burstAt = ms("burst", 0, 20_000)
	h.crashAt = ms("crash", 1000, 20_000)
	if rapid.Bool().Draw(t, "restarts") {
		h.restartAt = ms("restart", 500, 12_000)
	}
	if rapid.Bool().Draw(t, "cut") {
		h.cutAt, h.cut = ms("cut at", 0, 6000), ms("cut for", 1000, 4000)
	}
	if rapid.Bool().Draw(t, "outage") {
		h.outageAt, h.outage = ms("outage at", 0, 6000), ms("outage for", 500, 2500)
	}
	if !h.bad {
		return h
	}
	if rapid.Bool().Draw(t, "late") {
		h.faultFrom = ms("fault from", 1000, 4000)
	}
	h.underLoad, h.oneRoute = rapid.Bool().Draw(t, "under load"), rapid.Bool().Draw(t, "one route")
	if h.slowFactor = 1; rapid.Bool().Draw(t, "slow") {
		h.slowFactor = float64(rapid.IntRange(30, 60).Draw(t, "slower")) / 10
	} else {
		h.failRate = float64(rapid.IntRange(least, most).Draw(t, "failures")) / 100
	}
	return h
}

// Guards against the two faults of a roll-out: a bad version that gets more requests than
// callers accept or gets them for too long, and a good version that is not completed in time.
func TestRandomHistories(t *testing.T) { checkHistories(t, 25, 100) }

// Guards against the same for versions that fail rarely, of which the limited share shows few
// failures.
func TestRandomHistoriesOfWeakFaults(t *testing.T) { checkHistories(t, 15, 24) }

func checkHistories(t *testing.T, least, most int) {
	good, completed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t, least, most)
		w := play(h)
		if !h.bad {
			good++
			if w.completed > 0 && w.completed <= h.duration {
				completed++
			} else {
				t.Logf("good version not completed in time: completed %v, stored %+v", w.completed, w.stored)
			}
			return
		}
		if limit := 0.1*float64(w.arrived) + 50; float64(w.exposed) > limit {
			t.Fatalf("exposed %d of %d requests, limit %.0f", w.exposed, w.arrived, limit)
		}
		late := 5 * time.Second
		if h.outage > 0 {
			late += 6 * time.Second
		}
		if !w.fiftieth.IsZero() && w.lastSent.After(w.fiftieth.Add(late)) {
			t.Fatalf("a request was sent %v after the 50th bad answer", w.lastSent.Sub(w.fiftieth))
		}
		if w.badAnswers >= 50 && (w.rolledBack == 0 || w.rolledBack > h.duration) {
			t.Fatalf("bad version not rolled back in time: %v, %d bad answers, stored %+v", w.rolledBack, w.badAnswers, w.stored)
		}
	})
	if !t.Failed() && 100*completed < 99*good {
		t.Errorf("%d of %d good versions completed in time, want 99 of 100", completed, good)
	}
}
