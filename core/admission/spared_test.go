package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against an ask that is held back by the refusal of another account or
// engine, of a lower priority, or of a chat that loses its prefix earlier, and
// against one that is held back for too long or after a grant.
func TestSpared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type refusal struct {
			at       time.Time
			order    float64
			priority int
			verdict  Verdict
		}
		s, now := NewRefusalCache(1), start
		last := map[string][]refusal{} // by account and engine, since the last grant
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			a := PermitRequest{
				Account: fleet.ClientAccountID(fmt.Sprint("a", rapid.IntRange(0, 2).Draw(t, "account"))), Server: fleet.ServerID(fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "engine"))),
				Chat: fleet.ChatKey(rapid.IntRange(1, 20).Draw(t, "chat")), Priority: rapid.IntRange(3, 6).Draw(t, "priority"),
			}
			warm, key := rapid.Bool().Draw(t, "warm"), string(a.Account)+string(a.Server)
			v, skipped := s.Lookup(now, &a, warm)
			if !skipped {
				v = rapid.SampledFrom([]Verdict{Granted, OverShare, OverCapacity, OverLoadBound, Unavailable}).Draw(t, "verdict")
				s.Record(now, &a, warm, v)
				if v == OverShare || v == OverCapacity {
					last[key] = append(last[key], refusal{now, refusalOrder(&a, warm), a.Priority, v})
				}
				continue
			}
			ok := false
			for _, r := range last[key] {
				ok = ok || v == r.verdict && now.Sub(r.at) < 3*shareRefusalTTL/2 && refusalOrder(&a, warm) >= r.order && a.Priority <= r.priority
			}
			if !ok {
				t.Fatalf("%s at %s, warm %v, priority %d: spared with %v after %v", a.Account, a.Server, warm, a.Priority, v, last[key])
			}
		}
	})
}

// Guards against a search that goes on after two refusals for the share, that
// ends after one, and that forgets a server under its hard bound.
func TestSearchEnds(t *testing.T) {
	asked, p := 0, Placement{Priority: defaultPriority, Remaining: time.Minute}
	answers := []Verdict{OverSoftBound, OverShare, OverShare, Granted}
	i, _, _ := p.Step(len(answers), func(i int, relaxed bool) Verdict {
		if asked++; relaxed {
			return Granted
		}
		return answers[i]
	})
	if i != 0 || asked != 4 {
		t.Errorf("server %d after %d asks, want the first after 4", i, asked)
	}
}

// Guards against refusals that spare no asks, that are never probed, and that
// outlast a grant, the retry time or a refusal for the capacity.
func TestSparedScenario(t *testing.T) {
	var s *RefusalCache
	var now time.Time
	datadriven.RunTest(t, "testdata_spared/refusals", func(t *testing.T, d *datadriven.TestData) string {
		a := PermitRequest{Account: "big", Server: "e0", Chat: fleet.ChatKey(intArg(d, t, "chat", 1)), Priority: intArg(d, t, "priority", 5)}
		if d.HasArg("quiet") {
			a.Account = "quiet"
		}
		warm := d.HasArg("warm")
		switch d.Cmd {
		case "new":
			s, now = NewRefusalCache(1), start
		case "wait":
			now = now.Add(time.Duration(intArg(d, t, "ms", 0)) * time.Millisecond)
		case "share":
			s.Record(now, &a, warm, OverShare)
		case "capacity":
			s.Record(now, &a, warm, OverCapacity)
		case "granted":
			s.Record(now, &a, warm, Granted)
		case "asks":
			sent, spared := 0, 0
			for range intArg(d, t, "count", 100) {
				if v, ok := s.Lookup(now, &a, warm); !ok {
					sent++
				} else if spared++; v != OverShare && v != OverCapacity {
					t.Fatalf("spared with %v", v)
				}
			}
			return fmt.Sprintf("sent %d, spared %d\n", sent, spared)
		default:
			t.Fatalf("unknown command %s", d.Cmd)
		}
		return ""
	})
}
