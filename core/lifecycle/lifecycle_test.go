package lifecycle

import (
	"fmt"
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
