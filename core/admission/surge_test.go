package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// exchangeWaiting runs an exchange that includes the waiting load.
func (m *loadModel) exchangeWaiting() {
	for _, l := range m.ledgers {
		loads := l.Loads(m.now, "p", nil)
		total := m.totals.Exchange(m.now, "p", loads)
		total.Waiting = m.totals.Waiting(m.now, "p", l.self, l.Waiting("p"))
		l.SetTotal(m.now, "p", total, loads)
	}
}

// surgeRequest is a request of a surge at the instance that serves it.
type surgeRequest struct {
	at      *Ledger
	place   Placement
	ranked  []fleet.ServerID
	tokens  int64
	waiting bool
}

// Guards against refusing a surge from idle because each admitter compares its engine
// with a stale mean of granted load, and against an engine over the load bound
// relative to the mean of granted and waiting load.
func TestSurgeFromIdle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(2, 6).Draw(t, "engines")
		m := newLoadModel(engines, 0)
		m.exchangeWaiting()
		var open []*surgeRequest
		for range rapid.IntRange(10, 40).Draw(t, "requests for each engine") * engines {
			q := &surgeRequest{
				at:     m.ledgers[rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "instance")],
				place:  Placement{Priority: defaultPriority, Remaining: time.Minute},
				tokens: int64(rapid.IntRange(50, 150).Draw(t, "tokens")),
			}
			first := rapid.IntRange(0, engines-1).Draw(t, "first")
			for i := range engines {
				q.ranked = append(q.ranked, fleet.ServerID(fmt.Sprintf("e%d", (first+i)%engines)))
			}
			open = append(open, q)
		}
		offered, refused := int64(0), int64(0)
		for len(open) > 0 {
			var next []*surgeRequest
			for _, q := range open {
				if !q.waiting {
					offered += q.tokens // granted and waiting load
				}
				i, _, wait := q.place.Step(len(q.ranked), func(i int, relaxed bool) Verdict {
					m.id++
					a := PermitRequest{Server: q.ranked[i], Holder: q.at.self, ID: m.id, Account: "a", Weight: 1, Tokens: q.tokens, Relaxed: relaxed}
					v := m.of(a.Server).Admit(m.now, &a)
					if v == Granted {
						m.load[a.Server] += a.Tokens
					}
					return v
				})
				switch {
				case i >= 0:
					mean := float64(offered) / float64(engines)
					limit := max(1.25*mean, mean+float64(q.tokens))
					if got := float64(m.load[q.ranked[i]]); got > limit+1 {
						t.Fatalf("engine %s carries %v after an admission, limit %v", q.ranked[i], got, limit)
					}
					if q.waiting {
						q.at.AddWaiting("p", -q.tokens)
					}
				case wait > 0:
					if !q.waiting {
						q.waiting = true
						q.at.AddWaiting("p", q.tokens)
					}
					next = append(next, q)
				default:
					// All requests arrive at once, so that only the last round refuses.
					q.at.AddWaiting("p", -q.tokens)
					refused += q.tokens
				}
			}
			open = next
			// Instances repeat an exchange on demand after 50 ms.
			for retry := m.now.Add(BoundWait); m.now.Before(retry); {
				m.wait(25 * time.Millisecond)
				if m.now.Sub(start)%(50*time.Millisecond) == 0 {
					m.exchangeWaiting()
				}
			}
		}
		// Waiting load up to waitingLoadTolerance of the granted load does not count, so that
		// the rest of a surge may be refused as in a steady state.
		if run := offered - refused; float64(refused) > waitingLoadTolerance*float64(run) {
			t.Fatalf("%d of %d tokens refused", refused, offered)
		}
	})
}

// Guards against counting waiting load twice after another admitter granted it, and
// against counting the load of an instance that stopped reporting.
func TestWaitingLoad(t *testing.T) {
	totals := NewTotals()
	report := func(at time.Duration, holder fleet.InstanceID, engine fleet.ServerID, load, waiting int64) int64 {
		now := start.Add(at)
		totals.Exchange(now, "p", []EngineLoad{{engine, load, 1}})
		return totals.Waiting(now, "p", holder, waiting)
	}
	for _, c := range []struct {
		at            time.Duration
		holder        fleet.InstanceID
		engine        fleet.ServerID
		load, waiting int64
		want          int64
		why           string
	}{
		{0, "r0", "e0", 50, 100, 0, "own waiting load is not returned"},
		{10 * time.Millisecond, "r1", "e1", 0, 30, 100, "load that waits at r0"},
		{20 * time.Millisecond, "r2", "e2", 60, 0, 70, "r2 granted 60 of 130"},
		{30 * time.Millisecond, "r0", "e0", 50, 40, 0, "r1 reported before the 60 were granted"},
		{waitingLoadTTL + 15*time.Millisecond, "r2", "e2", 60, 0, 40, "the report of r1 expired"},
		{2 * waitingLoadTTL, "r2", "e2", 60, 0, 0, "both reports expired"},
	} {
		if got := report(c.at, c.holder, c.engine, c.load, c.waiting); got != c.want {
			t.Errorf("at %v: %d tokens wait for %s, want %d: %s", c.at, got, c.holder, c.want, c.why)
		}
	}
}
