package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

func engines(n int) []Server {
	out := make([]Server, n)
	for i := range out {
		out[i] = Server{ID: fleet.ServerID(fmt.Sprint("e", i)), Address: fmt.Sprint("10.0.0.", i, ":1"), Slots: 64, Engine: true, CacheTokens: 300_000, FetchTokensPerMs: 100, DataCentre: "d"}
	}
	return out
}

func prompt(part uint64) *Request {
	return &Request{Parts: []Part{{part, 8000}, {1 << 40, 500}}, PromptTokens: 8500, Objective: 800 * time.Millisecond}
}

// Guards against a prompt that moves between equally busy engines, each of which
// would process its parts again.
func TestPromptStaysWhereItIsCached(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(9))
	now := epoch
	homes := map[uint64]fleet.ServerID{}
	for i := range 400 {
		part := uint64(i % 20)
		now = now.Add(50 * time.Millisecond)
		ranked, v := b.Rank(now, "p", prompt(part), nil)
		if v != Found {
			t.Fatalf("status %d", v)
		}
		if home := homes[part]; home != "" && ranked[0].ID != home {
			t.Fatalf("request %d: part %d moved from %s to %s", i, part, home, ranked[0].ID)
		}
		homes[part] = ranked[0].ID
		tk := b.Reserve(now, "p", ranked[0], prompt(part))
		tk.OnFirstOutput(now.Add(30 * time.Millisecond))
		tk.Release(now.Add(40*time.Millisecond), Ended)
	}
}

// Guards against two instances that send a prompt new to both to different engines.
func TestInstancesAgreeOnFirstPlace(t *testing.T) {
	a, b := NewBalancer(DefaultPolicy()), NewBalancer(DefaultPolicy())
	list := engines(12)
	a.SetServers("p", list)
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	b.SetServers("p", list)
	for part := range uint64(50) {
		x, _ := a.Rank(epoch, "p", prompt(part), nil)
		y, _ := b.Rank(epoch, "p", prompt(part), nil)
		if x[0].ID != y[0].ID {
			t.Fatalf("part %d: %s and %s", part, x[0].ID, y[0].ID)
		}
	}
}

// Guards against a wait above the objective at the engine that caches the prompt
// while others are idle, and against moving a prompt because of a short wait.
func TestSpillNearTheObjective(t *testing.T) {
	for _, row := range []struct {
		unread int
		stays  bool
	}{{0, true}, {4000, true}, {40_000, false}} {
		b := NewBalancer(DefaultPolicy())
		list := engines(3)
		for i := range list {
			list[i].FetchTokensPerMs = 0
		}
		b.SetServers("p", list)
		first, _ := b.Rank(epoch, "p", prompt(1), nil)
		tk := b.Reserve(epoch, "p", first[0], prompt(1))
		tk.Release(epoch, Ended)
		b.SetPeerLoads("other", epoch, map[fleet.ServerID]Load{first[0].ID: {Running: 1, Unread: row.unread}})
		next, _ := b.Rank(epoch, "p", prompt(1), nil)
		if got := next[0].ID == first[0].ID; got != row.stays {
			t.Errorf("%d unread tokens: stays %v, want %v", row.unread, got, row.stays)
		}
	}
}

// Guards against processing parts again that another engine has cached: a prompt that
// moves to another engine names the caching one as its source, even if that one is
// leaving.
func TestSpillFetches(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	list := engines(3)
	b.SetServers("p", list)
	first, _ := b.Rank(epoch, "p", prompt(1), nil)
	run := b.Reserve(epoch, "p", first[0], prompt(1))
	run.OnFirstOutput(epoch)
	run.Release(epoch, Ended)
	for i := range list {
		list[i].Out = list[i].ID == first[0].ID
	}
	b.SetServers("p", list)
	next, _ := b.Rank(epoch, "p", prompt(1), nil)
	if next[0].ID == first[0].ID || next[0].Source != first[0].Address || next[0].Fetched != 8500 {
		t.Fatalf("got %+v after %+v left", next[0], first[0])
	}
}

// Guards against overloading a cold server: in any second all instances together send
// at most 1.5 times its rate plus 5, however their views differ.
func TestColdRateOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "instances")
		rate := rapid.SampledFrom([]float64{4, 7.4, 20}).Draw(t, "rate")
		all := make([]fleet.InstanceID, n)
		for i := range all {
			all[i] = fleet.InstanceID(fmt.Sprint("i", i))
		}
		balancers := make([]*Balancer, n)
		for i := range balancers {
			balancers[i] = NewBalancer(DefaultPolicy())
			balancers[i].SetInstances(all[i], all)
			s := engines(1)
			s[0].ColdUntil, s[0].ColdRate = epoch.Add(time.Hour), rate
			balancers[i].SetServers("p", s)
		}
		var sends []time.Time
		for now := epoch; now.Before(epoch.Add(4 * time.Second)); now = now.Add(20 * time.Millisecond) {
			for _, b := range balancers {
				if ranked, v := b.Rank(now, "p", prompt(1), nil); v == Found && b.Reserve(now, "p", ranked[0], prompt(1)) != nil {
					sends = append(sends, now)
				}
			}
		}
		for i, from := range sends {
			k := i
			for k < len(sends) && sends[k].Sub(from) < time.Second {
				k++
			}
			if float64(k-i) > rate*1.5+5 {
				t.Fatalf("%d requests within a second, rate %v, %d instances", k-i, rate, n)
			}
		}
		if len(sends) == 0 {
			t.Fatal("a cold server got nothing at all")
		}
	})
}

// Guards against two requests of one instance within one second. The worst case is
// the largest fleet in which all instances may still send: 18 instances at a rate of
// 20/s sent 36 requests, 35 are allowed.
func TestColdSpacing(t *testing.T) {
	for n := 1; n <= 40; n++ {
		for _, rate := range []float64{1, 4, 7.4, 20, 33} {
			all := make([]fleet.InstanceID, n)
			for i := range all {
				all[i] = fleet.InstanceID(fmt.Sprint("i", i))
			}
			senders, most := 0, 0.0
			for _, id := range all {
				gap, ok := (coldLimiter{self: id, instances: all}).minInterval(7, rate)
				if !ok {
					continue
				}
				senders++
				most += float64((time.Second + gap - 1) / gap)
			}
			if most > rate*1.5+5 || senders == 0 {
				t.Errorf("%d instances, rate %v: %d senders, %v requests within a second", n, rate, senders, most)
			}
		}
	}
}

// Guards against an engine with a load above twice the mean plus 3 while requests for
// a single prompt keep arriving.
func TestLoadBoundUnderOneHotPrompt(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(9))
	running := map[fleet.ServerID]int{}
	total := 0
	for range 400 {
		ranked, v := b.Rank(epoch, "p", prompt(1), nil)
		if v != Found {
			t.Fatalf("status %d with %d requests running", v, total)
		}
		b.Reserve(epoch, "p", ranked[0], prompt(1)).OnFirstOutput(epoch)
		running[ranked[0].ID]++
		total++
		if mean := float64(total) / 9; float64(running[ranked[0].ID]) > 2*mean+3 {
			t.Fatalf("%d requests on one engine, the mean is %.1f", running[ranked[0].ID], mean)
		}
	}
}

// Guards against load that is counted twice or lost.
func TestReservationsReturnTheirLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBalancer(DefaultPolicy())
		b.SetServers("p", engines(3))
		var open []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "begin") || len(open) == 0 {
				ranked, _ := b.Rank(epoch, "p", prompt(uint64(len(open))), nil)
				open = append(open, b.Reserve(epoch, "p", ranked[0], prompt(uint64(len(open)))))
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "opened") {
				open[i].OnFirstOutput(epoch)
			}
			open[i].Release(epoch, Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
			open[i].Release(epoch, Failed)
			open = append(open[:i], open[i+1:]...)
		}
		for _, tk := range open {
			tk.Release(epoch, Ended)
		}
		loads, _ := b.DrainReport(1000)
		if len(loads) != 0 {
			t.Fatalf("loads %v are left", loads)
		}
		for _, s := range b.pool("p").list {
			if s.ownLoad != (Load{}) {
				t.Fatalf("%s keeps %+v", s.ID, s.ownLoad)
			}
		}
	})
}

// Guards against sending more requests to a server that fails them.
func TestFailedServerComesLast(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(3))
	first, _ := b.Rank(epoch, "p", prompt(1), nil)
	b.Reserve(epoch, "p", first[0], prompt(1)).Release(epoch, Failed)
	next, _ := b.Rank(epoch, "p", prompt(1), nil)
	if next[0].ID == first[0].ID || next[len(next)-1].ID != first[0].ID {
		t.Fatalf("%s failed and is ranked %v", first[0].ID, next)
	}
	later, _ := b.Rank(epoch.Add(failureBackoffBase), "p", prompt(1), nil)
	if later[len(later)-1].Suspect {
		t.Fatal("the server is suspect for longer than the first failure allows")
	}
}

// Guards against assigning requests to servers that are out, unknown or gone.
func TestNoServer(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	if _, v := b.Rank(epoch, "none", prompt(1), nil); v != NoServers {
		t.Errorf("status %d for an unknown pool", v)
	}
	list := engines(1)
	list[0].Out = true
	b.SetServers("p", list)
	if _, v := b.Rank(epoch, "p", prompt(1), nil); v != NoServers {
		t.Errorf("status %d for a pool whose server is out", v)
	}
	if b.Reserve(epoch, "p", Candidate{ID: "e0"}, prompt(1)) != nil || b.Reserve(epoch, "p", Candidate{ID: "gone"}, prompt(1)) != nil {
		t.Error("a server that is out or gone got a request")
	}
}

// Guards against instances that each have to detect a dead server themselves, and
// against an instance with a broken network path that takes a server away from all
// others.
func TestSuspicionsAreShared(t *testing.T) {
	a, b := NewBalancer(DefaultPolicy()), NewBalancer(DefaultPolicy())
	a.SetServers("p", engines(3))
	b.SetServers("p", engines(3))
	first, _ := a.Rank(epoch, "p", prompt(1), nil)
	dead := first[0].ID
	a.Reserve(epoch, "p", first[0], prompt(1)).Release(epoch, Failed)
	if s := a.Suspicions(epoch); len(s) != 0 {
		t.Fatalf("a single failure is reported: %v", s)
	}
	a.Reserve(epoch, "p", first[0], prompt(1)).Release(epoch, Unreachable)
	shared := a.Suspicions(epoch)
	if len(shared) != 1 || shared[0].Server != dead {
		t.Fatalf("suspicions %v, want %s", shared, dead)
	}
	b.ApplyPeerSuspicions(epoch, shared)
	ranked, _ := b.Rank(epoch, "p", prompt(1), nil)
	if ranked[0].ID == dead || !ranked[2].Suspect {
		t.Fatalf("ranked %+v", ranked)
	}
	if s := b.Suspicions(epoch); len(s) != 0 {
		t.Fatalf("a suspicion learned from a peer is reported again: %v", s)
	}
	later := epoch.Add(maxSuspicion)
	ranked, _ = b.Rank(later, "p", prompt(1), nil)
	if ranked[2].Suspect {
		t.Fatal("the suspicion does not end")
	}
	tk := b.Reserve(later, "p", ranked[0], prompt(1))
	tk.OnFirstOutput(later)
	tk.Release(later, Ended)
	b.ApplyPeerSuspicions(later, []Suspicion{{ranked[0].ID, time.Second}})
	again, _ := b.Rank(later, "p", prompt(1), nil)
	for _, c := range again {
		if c.Suspect {
			t.Fatalf("%s has just answered and is suspect because another instance says so", c.ID)
		}
	}
}

// Guards against sending more requests to a server that returns errors while others
// do not, and against moving prompts because of errors that every server returns,
// which the requests themselves cause.
func TestErrorsAboveTheUsual(t *testing.T) {
	for _, all := range []bool{false, true} {
		b := NewBalancer(DefaultPolicy())
		b.SetServers("p", engines(4))
		first, _ := b.Rank(epoch, "p", prompt(1), nil)
		home := first[0].ID
		now := epoch
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			for i := range 4 {
				c := Candidate{ID: fleet.ServerID(fmt.Sprint("e", i))}
				tk := b.Reserve(now, "p", c, prompt(uint64(100+i)))
				tk.OnFirstOutput(now.Add(10 * time.Millisecond))
				if all || c.ID == home {
					tk.Release(now.Add(10*time.Millisecond), Errored)
				} else {
					tk.Release(now.Add(10*time.Millisecond), Ended)
				}
			}
		}
		ranked, _ := b.Rank(now.Add(10*time.Millisecond), "p", prompt(1), nil)
		for _, c := range ranked {
			if c.Suspect != (!all && c.ID == home) {
				t.Errorf("errors everywhere %v: %s suspect %v", all, c.ID, c.Suspect)
			}
		}
		now = now.Add(maxSuspicion)
		ranked, _ = b.Rank(now, "p", prompt(1), nil)
		if stays := ranked[0].ID == home; stays != all {
			t.Errorf("errors everywhere %v: the prompt stays %v", all, stays)
		}
		ranked, _ = b.Rank(now.Add(10*errorHalfLife), "p", prompt(1), nil)
		if ranked[0].ID != home {
			t.Errorf("errors everywhere %v: the prompt does not return", all)
		}
	}
}
