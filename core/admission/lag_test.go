package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

const lagTokens = 49 // load of each request

// lagCaller sends one request after another.
type lagCaller struct {
	next    time.Time // of the next try, or of the end of the running request
	running bool
	waiting bool
	place   Placement
	ask     PermitRequest
	order   [2]fleet.ServerID
}

// Guards against refusals in a pool of two engines with a steady light load:
// each admitter sees the other engine's load late, so that both can be over the
// bound of their own mean at the same time.
func TestLagRefusesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 5 * time.Millisecond
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := newLoadModel(2, 0)
		lag := time.Duration(rapid.IntRange(10, 24).Draw(t, "exchange every 5 ms")) * step
		callers := make([]*lagCaller, rapid.IntRange(4, 16).Draw(t, "callers"))
		for i := range callers {
			callers[i] = &lagCaller{next: m.now.Add(time.Duration(rnd.IntN(100)) * time.Millisecond)}
		}
		for n := 0; n < int(4*time.Second/step); n++ {
			m.wait(step)
			if m.now.Sub(start)%lag == 0 {
				m.exchangeWaiting()
			}
			for _, c := range callers {
				if !m.now.Before(c.next) && !m.advance(c, rnd) {
					t.Fatalf("refused after %v", m.now.Sub(start))
				}
			}
		}
	})
}

// advance ends, begins or retries the caller's request; false means a refusal.
func (m *loadModel) advance(c *lagCaller, rnd *rand.Rand) bool {
	if c.running {
		m.of(c.ask.Server).Release(m.now, c.ask.Server, c.ask.Holder, c.ask.ID)
		c.running = false
		c.order = [2]fleet.ServerID{"e0", "e1"}
		if rnd.IntN(2) == 0 {
			c.order = [2]fleet.ServerID{"e1", "e0"}
		}
		c.place = Placement{Priority: defaultPriority, Remaining: time.Minute}
	}
	if c.order[0] == "" {
		c.running, c.ask = true, PermitRequest{Server: "e0"}
		return true
	}
	m.id++
	i, _, wait := c.place.Step(len(c.order), func(i int, relaxed bool) Verdict {
		c.ask = PermitRequest{Server: c.order[i], Holder: m.ledgers[0].self, ID: m.id, Account: "a", Weight: 1, Tokens: lagTokens, Relaxed: relaxed}
		return m.of(c.ask.Server).Admit(m.now, &c.ask)
	})
	if waits := wait > 0; waits != c.waiting {
		c.waiting = waits
		if waits {
			m.ledgers[0].AddWaiting("p", lagTokens)
		} else {
			m.ledgers[0].AddWaiting("p", -lagTokens)
		}
	}
	switch {
	case i >= 0:
		c.running = true
		c.next = m.now.Add(time.Duration(100+rnd.IntN(60)) * time.Millisecond)
	case wait > 0:
		c.next = m.now.Add(wait)
	}
	return i >= 0 || wait > 0
}

// Guards against a refusal while a server is only over the load bound, because
// another one is in its ramp or the chat has waited for its own server before,
// and against waits that no freed load can end.
func TestWaitsOfASearch(t *testing.T) {
	for _, c := range []struct {
		warm     bool
		verdicts []Verdict
		want     int
	}{
		{false, []Verdict{OverLoadBound, OverLoadBound}, boundWaitAttempts + lagWaitAttempts},
		{false, []Verdict{OverRamp, OverLoadBound}, boundWaitAttempts + lagWaitAttempts},
		{true, []Verdict{OverLoadBound, OverRamp}, boundWaitAttempts + lagWaitAttempts},
		{false, []Verdict{OverRamp, OverRamp}, boundWaitAttempts},
		{false, []Verdict{OverLoadBound, OverCapacity}, 0},
		{true, []Verdict{OverLoadBound, OverShare}, boundWaitAttempts},
	} {
		p := Placement{Warm: c.warm, Priority: defaultPriority, Remaining: time.Minute}
		waits := 0
		for {
			_, _, wait := p.Step(len(c.verdicts), func(i int, _ bool) Verdict { return c.verdicts[i] })
			if wait == 0 {
				break
			}
			waits++
		}
		if waits != c.want {
			t.Errorf("warm %v, %v: %d waits, want %d", c.warm, c.verdicts, waits, c.want)
		}
	}
}
