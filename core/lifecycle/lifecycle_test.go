package lifecycle

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var names = []string{"announce", "hand-over", "refuse", "abort", "exit"}

// Guards against a shutdown that refuses requests before callers have moved, exits
// with requests running, or exceeds its time limit.
func TestScenarios(t *testing.T) {
	datadriven.RunTest(t, "testdata/stop", func(t *testing.T, d *datadriven.TestData) string {
		var limit, keep int
		d.ScanArgs(t, "limit", &limit)
		d.ScanArgs(t, "keep", &keep)
		t0 := time.Unix(0, 0)
		begin := Begin
		if d.Cmd == "selective" {
			begin = BeginSelective
		}
		s := begin(t0, time.Duration(limit)*time.Second, time.Duration(keep)*time.Second)
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var at float64
			var st Status
			line, responding, found := strings.Cut(line, " responding=")
			if found {
				var err error
				if st.Responding, err = strconv.Atoi(responding); err != nil {
					d.Fatalf(t, "line %q: %v", line, err)
				}
			}
			if _, err := fmt.Sscanf(line, "%f running=%d handed=%t", &at, &st.Running, &st.HandedOver); err != nil {
				d.Fatalf(t, "line %q: %v", line, err)
			}
			fmt.Fprintf(&out, "%g:", at)
			for _, a := range s.Step(t0.Add(time.Duration(at*float64(time.Second))), st) {
				fmt.Fprintf(&out, " %s", names[a])
			}
			out.WriteByte('\n')
		}
		fmt.Fprintf(&out, "complete %t\n", s.Complete())
		return out.String()
	})
}

// Guards against an order of actions that can interrupt a running request, and against an
// abort while all that runs are responses under way, which have no other answer.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t0 := time.Unix(0, 0)
		limit := time.Duration(rapid.IntRange(1, 300).Draw(t, "limit")) * time.Second
		keep := time.Duration(rapid.IntRange(0, 600).Draw(t, "keep")) * time.Second
		begin := rapid.SampledFrom([]func(time.Time, time.Duration, time.Duration) *Stop{Begin, BeginSelective}).Draw(t, "begin")
		s := begin(t0, limit, keep)
		last := Action(-1)
		for now := t0; ; now = now.Add(100 * time.Millisecond) {
			if now.After(t0.Add(limit)) {
				t.Fatalf("no exit after %v", limit)
			}
			st := Status{Running: rapid.IntRange(0, 2).Draw(t, "running"), HandedOver: rapid.Bool().Draw(t, "handed")}
			st.Responding = rapid.IntRange(0, st.Running).Draw(t, "responding")
			for _, a := range s.Step(now, st) {
				if a <= last {
					t.Fatalf("%s after %s", names[a], names[last])
				}
				early := now.Sub(t0) < min(LeavePropagationTime+keep, limit/2)
				if a >= Refuse && early {
					t.Fatalf("%s after %v, callers keep the address for %v", names[a], now.Sub(t0), keep)
				}
				if a == Exit && s.Complete() && (st.Running > 0 || !st.HandedOver) {
					t.Fatalf("complete with %+v", st)
				}
				if a == Abort && now.Sub(t0) < limit-maxAbortTime {
					t.Fatalf("aborted after %v of %v", now.Sub(t0), limit)
				}
				if a == Abort && st.Running == st.Responding && st.HandedOver {
					t.Fatalf("aborted with %+v", st)
				}
				if a == Exit && st.Running > 0 && now.Before(s.ExitBy()) {
					t.Fatalf("%d requests had no answer at the exit after %v of %v", st.Running, now.Sub(t0), limit)
				}
				last = a
				if a == Exit {
					return
				}
			}
		}
	})
}

// Guards against requests that are accepted in a shutdown and cannot end before its limit,
// and against refusing those that can. The limit is 8 s, requests are aborted after 7.2 s.
func TestMayFinish(t *testing.T) {
	t0 := time.Unix(0, 0)
	s := BeginSelective(t0, 8*time.Second, time.Second)
	// times returns a history with a number of requests for each duration in seconds.
	times := func(counts map[float64]int) func(time.Duration) (int, int) {
		return func(d time.Duration) (over, total int) {
			for took, n := range counts {
				total += n
				if time.Duration(took*float64(time.Second)) > d {
					over += n
				}
			}
			return over, total
		}
	}
	spread := func(counts map[float64]int) func() (median, longest time.Duration) {
		return func() (time.Duration, time.Duration) {
			var all []float64
			for took, n := range counts {
				all = append(all, slices.Repeat([]float64{took}, n)...)
			}
			slices.Sort(all)
			if len(all) == 0 {
				return 0, 0
			}
			return time.Duration(all[len(all)/2] * float64(time.Second)), time.Duration(all[len(all)-1] * float64(time.Second))
		}
	}
	for name, row := range map[string]struct {
		history map[float64]int
		// until, untilRepeatable and untilStream are the last times, in tenths of a second
		// after the start, at which a request is accepted; -1 for none.
		until, untilRepeatable, untilStream int
	}{
		"short requests to the end":              {map[float64]int{0.3: 100}, 67, 67, 67},
		"long requests at the start only":        {map[float64]int{6.5: 100}, 2, 2, 2},
		"none that outlasts the limit":           {map[float64]int{10: 100}, -1, -1, -1},
		"few long requests among short ones":     {map[float64]int{0.3: 95, 5.5: 5}, 13, 67, -1},
		"one long request among many short ones": {map[float64]int{0.3: 199, 20: 1}, 67, 67, -1},
		"different times":                        {map[float64]int{0.5: 10, 1: 20, 2: 10, 3: 2}, 39, 50, 18},
		"one known time":                         {map[float64]int{1: 1}, 60, 60, 50},
		"unknown kind":                           {nil, -1, 36, -1},
	} {
		for tenth := range 80 {
			at := t0.Add(time.Duration(tenth) * 100 * time.Millisecond)
			r := Request{Deadline: at.Add(time.Minute), Over: times(row.history), Spread: spread(row.history)}
			if got, want := s.MayFinish(at, r), tenth <= row.until; got != want {
				t.Errorf("%s after %d tenths: accepted %v, want %v", name, tenth, got, want)
			}
			r.Repeatable = true
			if got, want := s.MayFinish(at, r), tenth <= row.untilRepeatable; got != want {
				t.Errorf("%s, repeatable, after %d tenths: accepted %v, want %v", name, tenth, got, want)
			}
			r.Stream = true
			for _, repeatable := range []bool{false, true} {
				r.Repeatable = repeatable
				if got, want := s.MayFinish(at, r), tenth <= row.untilStream; got != want {
					t.Errorf("%s, stream, after %d tenths: accepted %v, want %v", name, tenth, got, want)
				}
			}
			r.Deadline = t0.Add(7200 * time.Millisecond)
			if !s.MayFinish(at, r) {
				t.Errorf("%s after %d tenths: a request whose deadline is before the abort was refused", name, tenth)
			}
		}
	}
}
