package burn

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

var testObjectives = map[fleet.PoolID]Objectives{"p": {440, 67, 99.9, 1}, "q": {440, 67, 99.9, 1}}

var testCodes = []result.Code{0, 0, 0, result.PoolAtBound, result.ServerError, result.BadRequest, result.CallerGone, result.DeadlineExceeded}

func drawEvent(t *rapid.T) Event {
	c := rapid.SampledFrom(testCodes).Draw(t, "code")
	e := Event{
		Pool:    fleet.PoolID(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")),
		Account: fleet.ClientAccountID(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "account"))),
		Code:    c, Outcome: c.Info().Outcome, DataCentre: "cordon",
		FirstTokenLimit: 440 * time.Millisecond, BetweenTokensLimit: 67 * time.Millisecond,
	}
	if c == 0 {
		e.Stream = true
		e.FirstToken = time.Duration(rapid.IntRange(1, 1000).Draw(t, "first")) * time.Millisecond
		e.BetweenTokens = time.Duration(rapid.IntRange(1, 130).Draw(t, "between")) * time.Millisecond
	}
	return e
}

func reportJSON(t *rapid.T, r *Recorder, now time.Time) string {
	b, err := json.Marshal([]any{r.PoolReports(now, testObjectives), r.AccountReports(now, StrictestObjectives(testObjectives))})
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Guards against a merge that loses, repeats or shifts events: instances that
// each see a part of the events, hand windows over and are merged must report
// the same as one instance that sees all.
func TestMergeIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_790_000_000, 0)
		one := NewRecorder("one")
		n := rapid.IntRange(2, 4).Draw(t, "instances")
		parts := make([]*Recorder, n)
		for i := range parts {
			parts[i] = NewRecorder(fmt.Sprint("life-", i))
		}
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			e := drawEvent(t)
			one.Record(now, &e)
			parts[rapid.IntRange(0, n-1).Draw(t, "instance")].Record(now, &e)
			now = now.Add(time.Duration(rapid.IntRange(0, 4*3600).Draw(t, "pause")) * time.Second)
		}
		// The last instance stops and hands its windows to the first one.
		handed := parts[n-1].Snapshot(now)
		if ok, err := parts[0].Merge(now, handed); !ok || err != nil {
			t.Fatal(ok, err)
		}
		total := NewRecorder("")
		for _, p := range append(parts[:n-1:n-1], parts[n-1], parts[0]) {
			if _, err := total.Merge(now, roundTrip(t, p.Snapshot(now))); err != nil {
				t.Fatal(err)
			}
		}
		if a, b := reportJSON(t, one, now), reportJSON(t, total, now); a != b {
			t.Fatalf("one instance: %s\nmerged: %s", a, b)
		}
	})
}

// roundTrip passes the snapshot through its stored form.
func roundTrip(t *rapid.T, s *Snapshot) *Snapshot {
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var out Snapshot
	if err := json.Unmarshal(b, &out); err != nil {
		t.Fatal(err)
	}
	return &out
}

// Guards against windows that keep events for too long or drop them too early:
// with a constant rate the sum over each window is the rate times its length.
func TestWindowsSlide(t *testing.T) {
	r := NewRecorder("")
	now := time.Unix(1_790_000_000, 0)
	for range 10 * 24 * 60 {
		r.Record(now, &Event{Pool: "p", Account: "a"})
		now = now.Add(time.Minute)
	}
	for _, s := range append(r.PoolReports(now, testObjectives)[:1], r.AccountReports(now, testObjectives["p"])...) {
		for w, l := range WindowLengths {
			if got, want := s.Sums[w].Complete, l.Minutes(); math.Abs(got-want) > 1 {
				t.Errorf("%s %s: %v events, want %v", s.Name, WindowNames[w], got, want)
			}
		}
	}
	now = now.Add(2 * 72 * time.Hour)
	if s := r.PoolReports(now, testObjectives)[0]; s.Sums[ThreeDays].Complete != 0 {
		t.Errorf("%v events after six idle days", s.Sums[ThreeDays].Complete)
	}
	if n := len(r.AccountReports(now, testObjectives["p"])); n != 0 {
		t.Errorf("%d idle accounts are kept", n)
	}
}

// Guards against an alert that does not fire, fires on a single event, or goes
// on after the loss has stopped.
func TestAlerts(t *testing.T) {
	start := time.Unix(1_790_000_000, 0).Truncate(72 * time.Hour)
	fail := Event{Pool: "p", Account: "a", Code: result.ServerError, Outcome: result.Unknown}
	good := Event{Pool: "p", Account: "a"}
	alert := func(r *Recorder, now time.Time) string { return r.PoolReports(now, testObjectives)[0].Burns[2].Alert }
	run := func(r *Recorder, from, minutes, badOf int) {
		for m := range minutes {
			for i := range 100 {
				e := good
				if i < badOf {
					e = fail
				}
				r.Record(start.Add(time.Duration(from+m)*time.Minute), &e)
			}
		}
	}
	at := func(m int) time.Time { return start.Add(time.Duration(m) * time.Minute) }
	r := NewRecorder("")
	r.Record(start, &fail)
	if a := alert(r, at(1)); a != "" {
		t.Errorf("one failure: %q", a)
	}
	run(r, 1, 59, 2)
	if a := alert(r, at(59)); a != "page" {
		t.Errorf("burn rate 20: %q", a)
	}
	run(r, 60, 15, 0)
	if a := alert(r, at(75)); a != "ticket" {
		t.Errorf("15 minutes after the loss stopped: %q", a)
	}
	run(r, 75, 800, 0)
	if a := alert(r, at(875)); a != "" {
		t.Errorf("13 hours after the loss stopped: %q", a)
	}
}

// BenchmarkState measures the memory of a recorder at the target size, with
// events of every account in all slots and losses in one of ten accounts.
func BenchmarkState(b *testing.B) {
	for b.Loop() {
		r := NewRecorder("")
		now := time.Unix(1_790_000_000, 0)
		before := heapBytes()
		for slot := range 2 {
			for i := range 18000 {
				e := Event{Pool: fleet.PoolID(fmt.Sprint("pool-", i%25)), Account: fleet.ClientAccountID(fmt.Sprint("account-", i)), Stream: true, FirstToken: time.Duration(i%1000) * time.Millisecond, BetweenTokens: time.Duration(i%100) * time.Millisecond, FirstTokenLimit: time.Hour, BetweenTokensLimit: time.Hour}
				if i%10 == 0 {
					e.Code, e.Outcome = result.PoolAtBound, result.NotRun
				}
				r.Record(now.Add(time.Duration(slot)*5*time.Minute), &e)
			}
		}
		b.ReportMetric(float64(heapBytes()-before), "state-B")
		s, _ := json.Marshal(r.Snapshot(now))
		b.ReportMetric(float64(len(s)), "snapshot-B")
	}
}

// BenchmarkRecord measures the cost of one event.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("")
	now := time.Unix(1_790_000_000, 0)
	e := Event{Pool: "p", Account: "a", Stream: true, FirstToken: time.Second, BetweenTokens: time.Millisecond, FirstTokenLimit: time.Hour, BetweenTokensLimit: time.Hour}
	for b.Loop() {
		r.Record(now, &e)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
