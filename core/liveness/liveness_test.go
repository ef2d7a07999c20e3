package liveness

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

var names = map[Action]string{Wait: "wait", Probe: "probe", Resume: "resume", Drop: "drop", Expire: "expire"}

// Guards against closing slow streams, against streams that hang on a silent
// connection, and against ending a long prefill.
func TestWatchScenarios(t *testing.T) {
	datadriven.RunTest(t, "testdata/watch", func(t *testing.T, d *datadriven.TestData) string {
		var w Monitor
		t0 := time.Unix(1000, 0)
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			var at float64
			var op string
			if _, err := fmt.Sscanf(line, "%f %s", &at, &op); err != nil {
				d.Fatalf(t, "line %q: %v", line, err)
			}
			now := t0.Add(time.Duration(at * float64(time.Second)))
			verdict := ""
			switch op {
			case "start":
				w.Start(now, 5*time.Second, t0.Add(120*time.Second))
			case "bytes":
				w.OnBytes(now)
				w.BodyStarted = true
			case "header":
				w.OnBytes(now)
			case "keepalive":
				w.KeepAlive = true
			case "resumable":
				w.Resumable = true
			case "suspect":
				w.Suspect = true
			case "quiet":
				verdict = names[w.OnIdle(now)]
			case "alive", "dead", "nobudget":
				verdict = names[w.OnProbeResult(now, op != "nobudget", op == "alive")]
			default:
				d.Fatalf(t, "unknown step %q", op)
			}
			if verdict != "" {
				fmt.Fprintf(&out, "%g %s, next %g\n", at, verdict, w.NextCheck().Sub(t0).Seconds())
			}
		}
		return out.String()
	})
}

// Guards against a watch that spins, waits past the deadline, ends a live
// stream without a probe, or lets a silent stream go on past the hard limit.
func TestWatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		silence := time.Duration(rapid.IntRange(1, 60).Draw(t, "silence")) * time.Second
		now := time.Unix(0, 0)
		deadline := now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * time.Second)
		var w Monitor
		w.Start(now, silence, deadline)
		w.Resumable = rapid.Bool().Draw(t, "resumable")
		last, begun, failed, steps := now, false, 0, 0
		for {
			if steps++; steps > 10000 {
				t.Fatal("the watch does not end")
			}
			next := w.NextCheck()
			if next.After(deadline) || next.Before(now) {
				t.Fatalf("next %v, now %v, deadline %v", next, now, deadline)
			}
			if rapid.IntRange(0, 9).Draw(t, "bytes") < 5 && next.Sub(now) > time.Second && steps < 50 {
				now = now.Add(time.Second)
				w.OnBytes(now)
				w.BodyStarted = true
				last, begun, failed = now, true, 0
				continue
			}
			now = next
			v := w.OnIdle(now)
			if v == Probe {
				alive := rapid.Bool().Draw(t, "alive")
				known := rapid.IntRange(0, 3).Draw(t, "known") > 0
				if known && !alive {
					failed++
				} else if known {
					failed = 0
				}
				v = w.OnProbeResult(now, known, alive)
				if v == Drop && failed < maxFailures {
					t.Fatalf("dropped after %d failed probes", failed)
				}
			} else if v == Drop && now.Sub(last) < hardLimitFactor*silence {
				t.Fatalf("dropped without a probe after %v", now.Sub(last))
			}
			switch v {
			case Expire:
				if now.Before(deadline) {
					t.Fatal("expired early")
				}
				return
			case Drop, Resume:
				if v == Resume && !(begun && w.Resumable) {
					t.Fatal("resumed what cannot be resumed")
				}
				return
			}
			if begun && now.Sub(last) > hardLimitFactor*silence+silence {
				t.Fatalf("silent for %v", now.Sub(last))
			}
		}
	})
}

// Guards against a burst of probes when many streams fall silent at once.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := ProbeBudget{ResultTTL: time.Second, Rate: 3}
		now := time.Unix(0, 0)
		sent, perAddress := 0, map[string]time.Time{}
		for range 500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * time.Millisecond)
			addr := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "address"))
			send, known, _ := b.Acquire(now, addr)
			if send && known {
				t.Fatal("a probe whose result is known")
			}
			if send {
				if at, ok := perAddress[addr]; ok && now.Sub(at) < b.ResultTTL {
					t.Fatalf("two probes to %s in %v", addr, now.Sub(at))
				}
				sent++
				perAddress[addr] = now
				if rapid.Bool().Draw(t, "done") {
					b.Record(now, addr, true)
				}
			}
			if limit := 3 + 3*now.Sub(time.Unix(0, 0)).Seconds(); float64(sent) > limit {
				t.Fatalf("%d probes, limit %v", sent, limit)
			}
		}
	})
}
