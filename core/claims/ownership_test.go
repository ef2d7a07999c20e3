package claims

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/membership"
)

// ownershipModel is an ownerModel whose instances learn of an ownership change with
// a delay of up to membership.MaxViewDivergence. Calls go to the owner in the view
// of the serving instance, and to its successor if the owner does not reply in time.
// Serving instances time out after ClaimTimeout.
type ownershipModel struct {
	*ownerModel
	changedAt   time.Time
	ownerships  [2]Ownership
	incarnation uint64
	staleView   [2]bool // has not seen the last ownership change
}

func newOwnershipModel() *ownershipModel {
	m := &ownershipModel{ownerModel: newOwnerModel(), changedAt: testStart.Add(-time.Hour)}
	m.current = 0
	m.updateView(0)
	m.now = m.now.Add(SettleTime)
	return m
}

// updateView gives an instance the current view. An owner that was replaced and is
// the owner again has had to refute its removal, which changes its incarnation.
func (m *ownershipModel) updateView(i int) {
	m.staleView[i] = false
	if m.ownerships[i].Observe(i == m.current, m.incarnation, m.now) {
		m.owners[i].WithholdFreeUntil(m.ownerships[i].SettledAt())
	}
}

func (m *ownershipModel) changeOwner() {
	m.current, m.changedAt, m.staleView = 1-m.current, m.now, [2]bool{true, true}
	m.incarnation++
}

// advance advances the clock, updates views older than the disagreement bound, and
// times out waiting calls.
func (m *ownershipModel) advance(d time.Duration, t fataler) {
	m.now = m.now.Add(d)
	for i := range m.staleView {
		if m.staleView[i] && !m.now.Before(m.changedAt.Add(membership.MaxViewDivergence)) {
			m.updateView(i)
		}
	}
	m.expireWaiting(t)
}

func (m *ownershipModel) expireWaiting(t fataler) {
	for _, a := range m.inState("waiting") {
		if !m.now.Before(a.sent.Add(ClaimTimeout)) {
			m.withdraw(a, t)
		}
	}
}

// withdraw cancels a waiting call at its owner and uses the result if there is one.
func (m *ownershipModel) withdraw(a *attempt, t fataler) {
	if r, ok := m.owners[a.owner].Withdraw(a.command, m.now); ok && a.firstCommand > 0 {
		m.results([]Result{r}, t)
	}
	if a.state == "waiting" {
		a.state = "refused"
		m.free(a)
	}
}

// work makes an owner perform operations without faults.
func (m *ownershipModel) work(i, ops int, t fataler) {
	for range ops {
		m.step(i, t)
		m.advance(0, t)
		m.finish(i, "", t)
	}
}

func (m *ownershipModel) call(key uint64, owner int, t fataler) {
	m.newAttempt(key, 1)
	m.deliverLast(owner, t)
}

// deliverLast delivers the most recently sent claim.
func (m *ownershipModel) deliverLast(owner int, t fataler) {
	msg := m.inTransit[len(m.inTransit)-1]
	m.inTransit = m.inTransit[:len(m.inTransit)-1]
	msg.sent = m.attempts[msg.rec.Attempt].sent
	m.deliver(msg, owner, t)
}

// target draws the owner in a serving instance's view, which may be stale.
func (m *ownershipModel) target(t *rapid.T) int {
	if m.now.Before(m.changedAt.Add(membership.MaxViewDivergence)) && rapid.Bool().Draw(t, "stale view") {
		return 1 - m.current
	}
	return m.current
}

// Guards against a key that is reported as free, by a lookup or with a refused
// claim, while a call with that key that reached a former owner or the successor can
// still be granted. It checks only replies of the current owner after it has seen
// the last ownership change; see design.md 3.9 for replies before that.
func TestOwnerChangeProperties(t *testing.T) {
	free, known := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnershipModel()
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				m.call(rapid.Uint64Range(1, 2).Draw(t, "key"), m.target(t), t)
			},
			"deliver end": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					t.Skip()
				}
				msg := m.inTransit[0]
				m.inTransit = m.inTransit[1:]
				m.deliver(msg, m.target(t), t)
			},
			"lookup": func(t *rapid.T) {
				i := m.target(t)
				if m.staleView[i] || i != m.current {
					t.Skip()
				}
				m.lookup(rapid.Uint64Range(1, 2).Draw(t, "key"), 1, i, t)
			},
			"fall back": func(t *rapid.T) { // the owner does not reply in time
				as := m.inState("waiting")
				if len(as) == 0 {
					t.Skip()
				}
				a := rapid.SampledFrom(as).Draw(t, "attempt")
				if a.firstCommand == 0 || a.claimsSent > 1 {
					t.Skip()
				}
				m.owners[a.owner].Withdraw(a.command, m.now)
				delete(m.waiting, a.command)
				m.sendClaim(a)
				m.deliverLast(1-a.owner, t)
			},
			"give up": func(t *rapid.T) { // the caller disconnects
				if as := m.inState("waiting"); len(as) > 0 {
					m.withdraw(rapid.SampledFrom(as).Draw(t, "attempt"), t)
				}
			},
			"owner changes": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
					m.changeOwner()
				}
			},
			"works": func(t *rapid.T) {
				m.work(rapid.IntRange(0, 1).Draw(t, "owner"), rapid.IntRange(1, 6).Draw(t, "operations"), t)
			},
			"quiet time": func(t *rapid.T) {
				m.work(m.current, 6, t)
				m.advance(SettleTime+membership.MaxViewDivergence, t)
			},
			"owner changes with a call under way": func(t *rapid.T) { // possibly to the successor and back
				if rapid.Bool().Draw(t, "back") {
					m.changeOwner()
				}
				former, key := m.current, rapid.Uint64Range(1, 2).Draw(t, "key")
				m.call(key, former, t)
				m.work(former, rapid.IntRange(0, 4).Draw(t, "operations before"), t)
				if rapid.Bool().Draw(t, "in flight") {
					m.step(former, t)
				}
				m.changeOwner()
				m.updateView(m.current)
				m.lookup(key, 1, m.current, t)
				m.work(m.current, rapid.IntRange(0, 6).Draw(t, "operations of the new owner"), t)
				m.finish(former, "", t)
				m.work(former, rapid.IntRange(0, 6).Draw(t, "operations of the former owner"), t)
			},
			"learns": func(t *rapid.T) { m.updateView(rapid.IntRange(0, 1).Draw(t, "owner")) },
			"start":  func(t *rapid.T) { m.step(rapid.IntRange(0, 1).Draw(t, "owner"), t); m.advance(0, t) },
			"finish": func(t *rapid.T) { m.finish(rapid.IntRange(0, 1).Draw(t, "owner"), faultGen().Draw(t, "fault"), t) },
			"both": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "owner")
				m.step(i, t)
				m.advance(0, t)
				m.finish(i, faultGen().Draw(t, "fault"), t)
			},
			"late write arrives": func(t *rapid.T) {
				if len(m.delayedWrites) == 0 {
					t.Skip()
				}
				m.applyDelayedWrite(rapid.IntRange(0, len(m.delayedWrites)-1).Draw(t, "write"))
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
				m.advance(rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 8 * time.Second}).Draw(t, "time"), t)
			},
		})
		free += m.freeLookups
		known += m.freeRefusals
	})
	if free == 0 || known == 0 {
		t.Fatalf("%d lookups and %d refused claims found a free key: the test covers nothing", free, known)
	}
}
