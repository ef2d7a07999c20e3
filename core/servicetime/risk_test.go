package servicetime

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var someKind = Kind{"p", "a"}

// add records a request that took d and ended a minute before now. With tokens, its first part
// came after first.
func add(tr *Tracker, now time.Time, d, first time.Duration, tokens int) {
	now = now.Add(-time.Minute)
	run := tr.Begin(now.Add(-d), someKind, tokens)
	if tokens > 0 {
		run.Opened(now.Add(first - d))
	}
	run.End(now, Whole)
}

func milliseconds(t *rapid.T, most int, label string) time.Duration {
	return time.Duration(rapid.IntRange(1, most).Draw(t, label)) * time.Millisecond
}

// Guards against a risk below the share of longer times, or one that falls with less time left.
func TestRiskBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tr Tracker
		now := time.Unix(1000, 0)
		if r := tr.Risk(now, someKind, 0, time.Hour); r != 1 {
			t.Fatalf("risk %v without known times", r)
		}
		var known []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			d := milliseconds(t, 20_000, "took")
			known = append(known, d)
			add(&tr, now, d, 0, 0)
		}
		d := milliseconds(t, 30_000, "left")
		over := 0
		for _, k := range known {
			if k > d {
				over++
			}
		}
		risk := tr.Risk(now, someKind, 0, d)
		if risk <= 0 || risk > 1 || risk < float64(over)/float64(len(known)+2) {
			t.Fatalf("risk %v, %d of %d are longer", risk, over, len(known))
		}
		if less := tr.Risk(now, someKind, 0, d-d/10); less < risk {
			t.Fatalf("risk %v with less time, %v with more", less, risk)
		}
		if running := tr.Begin(now.Add(-d-time.Second), someKind, 0); tr.Risk(now, someKind, 0, d) < risk {
			t.Fatalf("a request that runs for longer lowers the risk: %+v", running)
		}
	})
}

// Guards against taking short streams for long ones: the number of output tokens bounds the length.
func TestRiskByTokens(t *testing.T) {
	const perToken = 8 * time.Millisecond
	var tr Tracker
	now := time.Unix(1000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		tokens := 30 + rnd.IntN(700)
		made := 1 + rnd.IntN(tokens)
		add(&tr, now, 100*time.Millisecond+time.Duration(made)*perToken, 100*time.Millisecond, tokens)
	}
	const left = 3 * time.Second
	byTime, short, long := tr.Risk(now, someKind, 0, left), tr.Risk(now, someKind, 60, left), tr.Risk(now, someKind, 700, left)
	if byTime < 0.1 || short > 0.001 || long < 0.1 {
		t.Errorf("risk by time %v, of a short stream %v, of a long one %v", byTime, short, long)
	}
}

// Guards against judging streams by the earlier pace of servers that have become slower.
func TestRiskWhenServersSlowDown(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	// play begins four streams and has them send 20 parts.
	play := func(gap time.Duration) (runs []*Run) {
		for range 4 {
			run := tr.Begin(now, someKind, 0)
			run.Opened(now)
			runs = append(runs, run)
		}
		for range 20 {
			now = now.Add(gap)
			for _, run := range runs {
				run.Part(now)
			}
		}
		return runs
	}
	for range 50 {
		for _, run := range play(50 * time.Millisecond) {
			run.End(now, Whole)
		}
	}
	const left = 1500 * time.Millisecond
	before := tr.Risk(now, someKind, 0, left)
	play(100 * time.Millisecond)
	// A stream that takes 1 s at the usual pace takes 2 s at this one.
	if after := tr.Risk(now, someKind, 0, left); before > 0.01 || after < 0.5 {
		t.Errorf("risk %v at the usual pace, %v at half of it", before, after)
	}
}

// Guards against callers that give up long requests and so hide how long these are.
func TestGivenUpRequestsCount(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for range 100 {
		add(&tr, now, time.Second, 0, 0)
	}
	before := tr.Risk(now, someKind, 0, 3*time.Second)
	tr.Begin(now.Add(-4*time.Second), someKind, 0).End(now, GivenUp)
	if after := tr.Risk(now, someKind, 0, 3*time.Second); after <= before {
		t.Errorf("risk %v before and %v after a request was given up after 4 s", before, after)
	}
}

// Guards against times that are kept for good, or dropped at once, as servers change.
func TestGenerations(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for range 100 {
		add(&tr, now, 5*time.Second, 0, 0)
	}
	risk := func() float64 { return tr.Risk(now, someKind, 0, 2*time.Second) }
	now = now.Add(generationTime)
	add(&tr, now, time.Second, 0, 0)
	if r := risk(); r < 0.5 {
		t.Errorf("risk %v after one generation", r)
	}
	now = now.Add(generationTime)
	for range 100 {
		add(&tr, now, time.Second, 0, 0)
	}
	if r := risk(); r > 0.01 {
		t.Errorf("risk %v after two generations", r)
	}
}

// Guards against ignoring the times of peers, passing them on as own ones, or failing on bad ones.
func TestTimesOfPeers(t *testing.T) {
	var tr, peer Tracker
	now := time.Unix(1000, 0)
	for range 990 {
		add(&peer, now, time.Second, 100*time.Millisecond, 100)
	}
	for range 10 {
		add(&peer, now, 6*time.Second, 100*time.Millisecond, 100)
	}
	add(&tr, now, time.Second, 100*time.Millisecond, 100)
	tr.AddPeer(now, peer.Export(now))
	for _, tokens := range []int{0, 100} {
		if got, want := tr.Risk(now, someKind, tokens, 3*time.Second), peer.Risk(now, someKind, tokens, 3*time.Second); got < want*0.9 || got > want*1.1 {
			t.Errorf("risk with %d tokens %v, the peer's %v", tokens, got, want)
		}
	}
	// Those that still run at the peer are long, too.
	before := tr.Risk(now, someKind, 0, 3*time.Second)
	for range 20 {
		peer.Begin(now.Add(-5*time.Second), someKind, 0)
	}
	tr.AddPeer(now, peer.Export(now))
	if after := tr.Risk(now, someKind, 0, 3*time.Second); after < 1.4*before {
		t.Errorf("risk %v, and %v with the peer's requests under way", before, after)
	}
	if own := tr.Export(now); len(own) != 1 || own[0].Whole[bucketOf(time.Second)] != 1 {
		t.Errorf("own times %v", own)
	}
	tr.AddPeer(now, []KindCounts{{Pool: "p", Name: "a", Whole: Counts{-1: 5, bucketCount: 5, 1 << 30: 5}}})
	absurd := KindCounts{Pool: "p", Name: "absurd", Whole: Counts{bucketOf(time.Hour): 1<<32 - 1, 0: 100}}
	absurd.Recent[0] = 1<<32 - 1
	for range 8 {
		tr.AddPeer(now, []KindCounts{absurd})
	}
	if risk := tr.Risk(now, Kind{"p", "absurd"}, 0, time.Second); risk < 0.9 {
		t.Errorf("risk %v where a peer's times are all longer", risk)
	}
	many := make([]KindCounts, 3*maxKinds)
	for i := range many {
		many[i].Name = time.Duration(i).String()
	}
	tr.AddPeer(now, many)
	tr.AddPeer(now, many[maxKinds:])
	if n := len(tr.kinds); n > maxKinds {
		t.Errorf("%d kinds after a peer sent many", n)
	}
}

// Guards against taking all streams for short because only the short ones have ended yet.
func TestRiskWhileLongOnesStillRun(t *testing.T) {
	var tr Tracker
	now := time.Unix(1000, 0)
	for range 2000 {
		tr.Begin(now, someKind, 0).End(now.Add(time.Second), Whole)
	}
	for range 20 {
		tr.Begin(now, someKind, 0)
	}
	for after := 1500 * time.Millisecond; after < 8*time.Second; after += 500 * time.Millisecond {
		if risk := tr.Risk(now.Add(after), someKind, 0, 5*time.Second); risk < 0.005 {
			t.Errorf("risk %v after %v", risk, after)
		}
	}
	if risk := tr.Risk(now.Add(3500*time.Millisecond), someKind, 0, 1500*time.Millisecond); risk < 0.005 || risk > 0.05 {
		t.Errorf("risk %v of streams over 1.5 s, of which 1 in 100 is known", risk)
	}
}

// Guards against accepting streams by their number of tokens while servers are silent.
func TestSilentStreamsCount(t *testing.T) {
	const tokens = 400
	for name, silent := range map[string]func(tr *Tracker, now time.Time){
		"before the first part": func(tr *Tracker, now time.Time) { tr.Begin(now.Add(-6*time.Second), someKind, tokens) },
		"after the first part": func(tr *Tracker, now time.Time) {
			tr.Begin(now.Add(-6*time.Second), someKind, tokens).Opened(now.Add(-5900 * time.Millisecond))
		},
		"up to the deadline": func(tr *Tracker, now time.Time) {
			ended := now.Add(-time.Minute)
			tr.Begin(ended.Add(-6*time.Second), someKind, tokens).End(ended, Expired)
		},
	} {
		var tr Tracker
		now := time.Unix(1000, 0)
		for range 1000 {
			add(&tr, now, time.Second, 100*time.Millisecond, tokens)
		}
		for range 300 {
			silent(&tr, now)
		}
		if risk := tr.Risk(now, someKind, tokens, 4*time.Second); risk < 0.1 {
			t.Errorf("%s: risk %v", name, risk)
		}
	}
}

// Guards against times that are cut short, by callers or deadlines, and taken for whole ones.
func TestTimesCutShort(t *testing.T) {
	now := time.Unix(1000, 0)
	var givenUp, expired Tracker
	for i := range 1000 {
		add(&givenUp, now, time.Second, 0, 0)
		ended := now.Add(-time.Minute)
		if i%10 == 0 {
			givenUp.Begin(ended.Add(-5*time.Second), someKind, 0).End(ended, GivenUp)
		}
		expired.Begin(ended.Add(-900*time.Millisecond), someKind, 0).End(ended, Expired)
	}
	if risk := givenUp.Risk(now, someKind, 0, 4*time.Second); risk < 0.05 {
		t.Errorf("risk %v where 1 in 10 is given up after 5 s", risk)
	}
	if risk := expired.Risk(now, someKind, 0, 3*time.Second); risk < 0.5 {
		t.Errorf("risk %v where all end at a deadline of 0.9 s", risk)
	}
}

// Guards against requests that are younger than a limit and count as evidence on it.
func TestRecentIsAtLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r recent
		start := time.Unix(1000, 0).Add(milliseconds(t, 5000, "start"))
		begins := rapid.SliceOfN(rapid.IntRange(0, 12_000), 1, 100).Draw(t, "begins")
		now := start.Add(12 * time.Second)
		d := milliseconds(t, 12_000, "d")
		want := uint64(0)
		for _, ms := range begins {
			began := start.Add(time.Duration(ms) * time.Millisecond)
			r.add(began)
			if now.Sub(began) < d {
				want++
			}
		}
		if got := r.within(now, d); got < want {
			t.Fatalf("%d within %v, want at least %d", got, d, want)
		}
	})
}
