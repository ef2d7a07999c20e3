package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

func isolating() Policy {
	p := DefaultPolicy()
	p.Enabled = Mechanisms(PromptIsolation)
	return p
}

func sized(i, tokens int) *Request {
	return &Request{Parts: []Part{{1<<50>>1 | uint64(i), tokens}}, PromptTokens: tokens, Objective: 400 * time.Millisecond, Key: uint64(i)}
}

// Guards against a limit of long prompts that stays after a shortage, that holds without one,
// or that holds short prompts back.
func TestLongPromptsAreLimitedInShortage(t *testing.T) {
	b := NewBalancer(isolating())
	b.SetServers("p", engines(9))
	now := epoch
	// play sends 20 long prompts each second and returns how many of them were placed.
	play := func(seconds int, took time.Duration) (placed int) {
		for i := range 20 * seconds {
			now = now.Add(50 * time.Millisecond)
			if ranked, v := b.Rank(now, "p", sized(i, 18_000), nil); v == Found {
				placed++
				r := b.Reserve(now, "p", ranked[0], sized(i, 18_000))
				r.OnFirstOutput(now.Add(took))
				r.Release(now.Add(took), Ended)
			}
			if _, v := b.Rank(now, "p", sized(i, 200), nil); v != Found {
				t.Fatalf("status %d for a short prompt", v)
			}
		}
		return placed
	}
	if n := play(10, 300*time.Millisecond); n != 200 {
		t.Errorf("%d of 200 long prompts were placed without a shortage", n)
	}
	if n := play(10, 900*time.Millisecond); n > 150 {
		t.Errorf("%d of 200 long prompts were placed while all are late", n)
	}
	play(30, 100*time.Millisecond)
	if n := play(10, 100*time.Millisecond); n != 200 {
		t.Errorf("%d of 200 long prompts were placed after the shortage", n)
	}
}

// Guards against long prompts sent before a shortage that count against the limit when it
// begins, which then holds all of them back until the limit has made up for them.
func TestLongLimitBeginsWithoutDebt(t *testing.T) {
	b := NewBalancer(isolating())
	b.SetServers("p", engines(9))
	now := epoch
	var waiting []*Reservation // those without a first token, oldest first
	// play sends 20 long prompts each second and returns how many of them were placed. Each
	// gets its first token after a number of intervals of 50 ms.
	play := func(n, intervals int) (placed int) {
		for i := range n {
			now = now.Add(50 * time.Millisecond)
			for len(waiting) > 0 && now.Sub(waiting[0].startedAt) >= time.Duration(intervals)*50*time.Millisecond {
				waiting[0].OnFirstOutput(now)
				waiting[0].Release(now, Ended)
				waiting = waiting[1:]
			}
			if ranked, v := b.Rank(now, "p", sized(i, 18_000), nil); v == Found {
				placed++
				waiting = append(waiting, b.Reserve(now, "p", ranked[0], sized(i, 18_000)))
			}
		}
		return placed
	}
	play(1200, 2) // a minute in time
	play(40, 18)  // two seconds of late ones
	if b.Summary(now)["p"].LongTokensPerMilli == 0 {
		t.Fatal("no limit after two seconds in which all long prompts were late")
	}
	if n := play(200, 2); n < 100 {
		t.Errorf("%d of 200 long prompts were placed in the 10 s after a shortage of two seconds", n)
	}
}

// Guards against a long prompt that goes before short ones, and one with little time left
// that goes behind them.
func TestUrgencyShift(t *testing.T) {
	on, off := NewBalancer(isolating()), NewBalancer(DefaultPolicy())
	for _, c := range []struct {
		unread, shift int
		left          time.Duration
	}{
		{200, -1, time.Minute}, {2000, 0, time.Minute}, {18_000, 1, time.Minute}, {18_000, 0, time.Second}, {0, 0, time.Minute},
	} {
		x := &Candidate{unread: c.unread, Wait: 600 * time.Millisecond}
		if got := on.UrgencyShift(x, c.left); got != c.shift {
			t.Errorf("%d tokens, %v left: %d, want %d", c.unread, c.left, got, c.shift)
		}
		if got := off.UrgencyShift(x, c.left); got != 0 {
			t.Errorf("%d tokens: %d without the mechanism", c.unread, got)
		}
	}
}

// Guards against a mechanism that changes decisions among prompts that are neither long nor
// late, and against one that leaves a long prompt without an engine while none is late.
func TestIsolationOnlyOfLongPrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		on, off := NewBalancer(isolating()), NewBalancer(DefaultPolicy())
		on.SetServers("p", engines(12))
		off.SetServers("p", engines(12))
		now := epoch
		for i := range rapid.IntRange(1, 80).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			loads := map[fleet.ServerID]Load{fleet.ServerID(fmt.Sprint("e", i%12)): {Running: rapid.IntRange(1, 9).Draw(t, "running"), Unread: rapid.IntRange(0, 50_000).Draw(t, "unread")}}
			on.SetPeerLoads("x", now, loads)
			off.SetPeerLoads("x", now, loads)
			if _, v := on.Rank(now, "p", sized(i, 18_000), nil); v != Found {
				t.Fatalf("status %d for a long prompt", v)
			}
			req := sized(i, rapid.IntRange(1, longTokens-1).Draw(t, "tokens"))
			x, _ := on.Rank(now, "p", req, nil)
			y, _ := off.Rank(now, "p", req, nil)
			if len(x) != len(y) || x[0].ID != y[0].ID || x[0].Cost != y[0].Cost {
				t.Fatalf("request %d: %+v and %+v", i, x[0], y[0])
			}
			on.Reserve(now, "p", x[0], req)
			off.Reserve(now, "p", y[0], req)
		}
	})
}

// Guards against a long prompt that goes to a suspect engine because it would miss its target
// at the others.
func TestLongPromptsKeepOffSuspectEngines(t *testing.T) {
	b := NewBalancer(isolating())
	b.SetServers("p", engines(8))
	loads := map[fleet.ServerID]Load{}
	for i := range 4 {
		loads[fleet.ServerID(fmt.Sprint("e", i))] = Load{Running: 2, Unread: 40_000}
	}
	b.SetPeerLoads("x", epoch, loads)
	var list []Suspicion
	for i := 4; i < 8; i++ {
		list = append(list, Suspicion{fleet.ServerID(fmt.Sprint("e", i)), maxSuspicion})
	}
	b.ApplyPeerSuspicions(epoch, list)
	for i := range 50 {
		req := sized(i, 18_000)
		req.Objective = 1200 * time.Millisecond
		ranked, v := b.Rank(epoch, "p", req, nil)
		if v != Found || ranked[0].Suspect {
			t.Fatalf("prompt %d: status %d, %+v", i, v, ranked)
		}
	}
}

// Guards against times that are counted twice because requests take them before they wait for
// the lock and arrive in another order.
func TestLongLimitTimesOutOfOrder(t *testing.T) {
	l := longLimit{limit: 10, credit: -100_000, at: epoch, cutAt: epoch}
	for range 50 {
		l.advance(epoch.Add(100 * time.Millisecond))
		l.advance(epoch.Add(50 * time.Millisecond))
	}
	if l.credit > -98_000 {
		t.Errorf("credit rose to %v in 100 ms at 10 tokens per ms", l.credit)
	}
}
