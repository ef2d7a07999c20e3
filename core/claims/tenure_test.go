package claims

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/membership"
)

// ownership is a machine whose instances learn of a change of owner late, by at
// most the time for which views of the fleet differ. Calls go to the owner in
// the view of the serving instance, and to its successor when it gives no answer
// in time. Serving instances give up after ClaimWait.
type ownership struct {
	*machine
	changed time.Time
	tenures [2]Ownership
	life    uint64
	stale   [2]bool // has not learned of the last change
}

func newOwnership() *ownership {
	m := &ownership{machine: newMachine(), changed: testStart.Add(-time.Hour)}
	m.current = 0
	m.learn(0)
	m.now = m.now.Add(SettleTime)
	return m
}

// learn brings the present view to an instance. An owner that was replaced and
// is the owner again has had to refute its removal, which changes its life.
func (m *ownership) learn(i int) {
	m.stale[i] = false
	if m.tenures[i].Observe(i == m.current, m.life, m.now) {
		m.owners[i].WithholdFreeUntil(m.tenures[i].SettledAt())
	}
}

func (m *ownership) change() {
	m.current, m.changed, m.stale = 1-m.current, m.now, [2]bool{true, true}
	m.life++
}

// pass moves time on. What has to happen by then happens: views agree again, and
// serving instances give up.
func (m *ownership) pass(d time.Duration, t fataler) {
	m.now = m.now.Add(d)
	for i := range m.stale {
		if m.stale[i] && !m.now.Before(m.changed.Add(membership.MaxViewDivergence)) {
			m.learn(i)
		}
	}
	m.giveUp(t)
}

func (m *ownership) giveUp(t fataler) {
	for _, a := range m.inState("waiting") {
		if !m.now.Before(a.sent.Add(ClaimTimeout)) {
			m.withdraw(a, t)
		}
	}
}

// withdraw ends the wait of a call at its owner, whose answer still counts.
func (m *ownership) withdraw(a *attempt, t fataler) {
	if r, ok := m.owners[a.owner].Withdraw(a.command, m.now); ok && a.reached > 0 {
		m.results([]Result{r}, t)
	}
	if a.state == "waiting" {
		a.state = "refused"
		m.free(a)
	}
}

// work lets an owner perform operations without faults.
func (m *ownership) work(i, ops int, t fataler) {
	for range ops {
		m.step(i, t)
		m.pass(0, t)
		m.finish(i, "", t)
	}
}

func (m *ownership) call(key uint64, owner int, t fataler) {
	m.newAttempt(key, 1)
	m.deliverLast(owner, t)
}

// deliverLast delivers the claim that was sent last.
func (m *ownership) deliverLast(owner int, t fataler) {
	msg := m.bag[len(m.bag)-1]
	m.bag = m.bag[:len(m.bag)-1]
	msg.sent = m.attempts[msg.rec.Attempt].sent
	m.deliver(msg, owner, t)
}

// target draws the owner in the view of a serving instance.
func (m *ownership) target(t *rapid.T) int {
	if m.now.Before(m.changed.Add(membership.MaxViewDivergence)) && rapid.Bool().Draw(t, "stale view") {
		return 1 - m.current
	}
	return m.current
}

// Guards against a key that is reported as free, by a lookup or with a refused
// claim, while a call with it that reached a former owner or the successor can
// still be granted. Covered are answers of the owner once it has learned of the
// last change; design.md 3.9 says what is not promised before that.
func TestOwnerChangeProperties(t *testing.T) {
	free, known := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnership()
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				m.call(rapid.Uint64Range(1, 2).Draw(t, "key"), m.target(t), t)
			},
			"deliver end": func(t *rapid.T) {
				if len(m.bag) == 0 {
					t.Skip()
				}
				msg := m.bag[0]
				m.bag = m.bag[1:]
				m.deliver(msg, m.target(t), t)
			},
			"lookup": func(t *rapid.T) {
				i := m.target(t)
				if m.stale[i] || i != m.current {
					t.Skip()
				}
				m.lookup(rapid.Uint64Range(1, 2).Draw(t, "key"), 1, i, t)
			},
			"fall back": func(t *rapid.T) { // the owner gives no answer in time
				as := m.inState("waiting")
				if len(as) == 0 {
					t.Skip()
				}
				a := rapid.SampledFrom(as).Draw(t, "attempt")
				if a.reached == 0 || a.sends > 1 {
					t.Skip()
				}
				m.owners[a.owner].Withdraw(a.command, m.now)
				delete(m.waiting, a.command)
				m.sendClaim(a)
				m.deliverLast(1-a.owner, t)
			},
			"give up": func(t *rapid.T) { // the caller hangs up
				if as := m.inState("waiting"); len(as) > 0 {
					m.withdraw(rapid.SampledFrom(as).Draw(t, "attempt"), t)
				}
			},
			"owner changes": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					m.change()
				}
			},
			"works": func(t *rapid.T) {
				m.work(rapid.IntRange(0, 1).Draw(t, "owner"), rapid.IntRange(1, 6).Draw(t, "operations"), t)
			},
			"quiet time": func(t *rapid.T) {
				m.work(m.current, 6, t)
				m.pass(SettleTime+membership.MaxViewDivergence, t)
			},
			"owner changes with a call under way": func(t *rapid.T) { // perhaps there and back
				if rapid.Bool().Draw(t, "back") {
					m.change()
				}
				former, key := m.current, rapid.Uint64Range(1, 2).Draw(t, "key")
				m.call(key, former, t)
				m.work(former, rapid.IntRange(0, 4).Draw(t, "operations before"), t)
				if rapid.Bool().Draw(t, "in flight") {
					m.step(former, t)
				}
				m.change()
				m.learn(m.current)
				m.lookup(key, 1, m.current, t)
				m.work(m.current, rapid.IntRange(0, 6).Draw(t, "operations of the new owner"), t)
				m.finish(former, "", t)
				m.work(former, rapid.IntRange(0, 6).Draw(t, "operations of the former owner"), t)
			},
			"learns": func(t *rapid.T) { m.learn(rapid.IntRange(0, 1).Draw(t, "owner")) },
			"start":  func(t *rapid.T) { m.step(rapid.IntRange(0, 1).Draw(t, "owner"), t); m.pass(0, t) },
			"finish": func(t *rapid.T) { m.finish(rapid.IntRange(0, 1).Draw(t, "owner"), faultGen().Draw(t, "fault"), t) },
			"both": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "owner")
				m.step(i, t)
				m.pass(0, t)
				m.finish(i, faultGen().Draw(t, "fault"), t)
			},
			"late write arrives": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip()
				}
				m.arrive(rapid.IntRange(0, len(m.late)-1).Draw(t, "write"))
			},
			"run": func(t *rapid.T) {
				if as := m.inState("running"); len(as) > 0 {
					a := rapid.SampledFrom(as).Draw(t, "attempt")
					if rapid.Bool().Draw(t, "not sent") {
						m.end(a, KindFree)
						return
					}
					m.run(a, t)
					m.end(a, KindOutcome)
				}
			},
			"time": func(t *rapid.T) {
				m.pass(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 8 * time.Second}).Draw(t, "time"), t)
			},
		})
		free += m.foundFree
		known += m.knownFree
	})
	if free == 0 || known == 0 {
		t.Fatalf("%d lookups and %d refused claims found a free key: the test covers nothing", free, known)
	}
}
