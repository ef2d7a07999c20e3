package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

// takeoverModel is a fleet in which links, views and replies fail. A call is
// answered at once; its reply may arrive later, twice or never.
type takeoverModel struct {
	now    time.Time
	x      *manifest.Index
	nodes  []*takeoverNode
	cut    map[[2]int]bool // from, to
	late   []lateReply
	grants map[fleet.ServerID][]granted
	load   []pastLoad // true load after each change
	lag    time.Duration
	handed map[fleet.ServerID]time.Time
	// asked are the engines granted in the last ask; lossy nodes do not answer.
	asked    []fleet.ServerID
	lossy    []int
	imports  []lateImport
	flight   time.Duration // of a ledger
	answered []lateReply
	early    int // waits that ended before HandoverWait
}

type takeoverNode struct {
	member membership.Member
	ledger *Ledger
	take   *Takeover
	holds  *Holds
	up     bool
	paused time.Time
	dead   map[int]bool // what it sees as dead
	polled time.Time
	began  map[fleet.ServerID]time.Time // of the role
}

type lateReply struct {
	at       time.Time
	sent     time.Time
	to, from int
	q        Query
	a        QueryAnswer
	node     *takeoverNode // the life that sent the query
}

type lateImport struct {
	at   time.Time
	snap Snapshot
	node *takeoverNode
}

var takeoverCentres = []fleet.DataCentreID{"cordon", "goes", "prado", "cerro"}

func newTakeoverModel(nodes, engines int) *takeoverModel {
	m := &takeoverModel{now: start, cut: map[[2]int]bool{}, grants: map[fleet.ServerID][]granted{}, handed: map[fleet.ServerID]time.Time{}}
	x := *testIndex(engines, 0).Manifest
	x.Pools[0].Kind = manifest.KindModel
	x.DataCentres = nil
	for _, dc := range takeoverCentres {
		x.DataCentres = append(x.DataCentres, manifest.DataCentre{Name: dc, Region: "mvd", State: manifest.StateIn})
	}
	m.x = manifest.NewIndex(1, &x)
	m.load = []pastLoad{{start.Add(-time.Hour), map[fleet.ServerID]int64{}}}
	for i := range nodes {
		m.nodes = append(m.nodes, m.newNode(i, 1))
	}
	for i, n := range m.nodes {
		m.apply(i)
		n.take.since = start.Add(-HandoverWait) // the fleet is old
		for id := range n.take.seen {
			n.take.seen[id] = start.Add(-settleTime)
		}
		for s := range n.began {
			n.began[s] = start.Add(-HandoverWait)
		}
	}
	return m
}

func (m *takeoverModel) newNode(i int, incarnation uint64) *takeoverNode {
	id := fleet.InstanceID(fmt.Sprintf("r%d", i))
	n := &takeoverNode{
		member: membership.Member{ID: id, DataCentre: takeoverCentres[i%4], Region: "mvd", Incarnation: incarnation, Eligible: true},
		ledger: NewLedger(id, Params{Seed: 1}), holds: NewHolds(), up: true, dead: map[int]bool{}, began: map[fleet.ServerID]time.Time{},
	}
	n.take = NewTakeover(n.ledger, 1)
	n.ledger.SetTotal(m.now, "p", Total{Load: 1 << 40, Weight: 1}, nil) // no bound refuses
	return n
}

// apply puts the view of a node in force. A ledger reaches the next primary when
// the link works.
func (m *takeoverModel) apply(i int) {
	n := m.nodes[i]
	v := &membership.View{At: m.now}
	for j, o := range m.nodes {
		if !n.dead[j] || i == j {
			v.Members = append(v.Members, o.member)
		}
	}
	t := NewTable(v, m.x, Admitters)
	n.take.SetTable(m.now, t)
	for _, s := range n.ledger.SetRoles(m.now, t, m.now.Equal(start)) {
		var j int
		_, _ = fmt.Sscanf(string(t.Of(s.Server)[0].ID), "r%d", &j)
		if !m.cut[[2]int{i, j}] && m.runs(j) {
			m.imports = append(m.imports, lateImport{m.now.Add(m.flight), s, m.nodes[j]})
		}
	}
	for k := range m.x.Manifest.Servers {
		s := m.x.Manifest.Servers[k].Name
		if !t.Primary(s, n.member.ID) {
			delete(n.began, s)
		} else if _, ok := n.began[s]; !ok {
			n.began[s], n.polled = m.now, time.Time{}
		}
	}
}

func (m *takeoverModel) runs(i int) bool { return m.nodes[i].up && !m.now.Before(m.nodes[i].paused) }

// report gives the node the load of its engines as of lag ago.
func (m *takeoverModel) report(i int, lag time.Duration) {
	n, at := m.nodes[i], m.now.Add(-lag)
	then := m.load[0]
	for _, p := range m.load {
		if !p.at.After(at) {
			then = p
		}
	}
	for s := range n.began {
		n.ledger.Report(m.now, s, Report{Incarnation: 1, Load: then.load[s], Running: int(then.load[s]), At: at})
	}
}

// call sends a query and returns its reply, or false when the link is cut.
func (m *takeoverModel) call(i, j int, q Query) (lateReply, bool) {
	if m.cut[[2]int{i, j}] || !m.runs(j) {
		return lateReply{}, false
	}
	a := m.nodes[j].take.Answer(m.now, q, m.nodes[j].holds)
	return lateReply{m.now, m.now, i, j, q, a, m.nodes[i]}, !m.cut[[2]int{j, i}]
}

// deliver hands over the replies and the ledgers that are due.
func (m *takeoverModel) deliver() {
	m.imports = slices.DeleteFunc(m.imports, func(r lateImport) bool {
		if r.at.After(m.now) {
			return false
		}
		r.node.ledger.Import(m.now, r.snap)
		m.handed[r.snap.Server] = m.now
		return true
	})
	m.late = slices.DeleteFunc(m.late, func(r lateReply) bool {
		if r.at.After(m.now) || !m.runs(r.to) {
			return false
		}
		m.answered = append(m.answered, r)
		if r.node == m.nodes[r.to] {
			r.node.take.Answered(m.now, r.sent, m.nodes[r.from].member.ID, r.q, r.a)
		}
		return true
	})
}

// step runs the loops of a node; drop and delay decide the fate of a reply.
func (m *takeoverModel) step(i int, drop func() bool, delay func() time.Duration) {
	n := m.nodes[i]
	n.ledger.Tick(m.now)
	q, to := n.take.Step(m.now)
	for _, id := range to {
		var j int
		_, _ = fmt.Sscanf(string(id), "r%d", &j)
		if r, ok := m.call(i, j, q); ok && !drop() && !slices.Contains(m.lossy, j) {
			r.at = m.now.Add(delay())
			m.late = append(m.late, r)
			if drop() { // a duplicate
				r.at = m.now.Add(4 * delay())
				m.late = append(m.late, r)
			}
		}
	}
	if n.take.PollDue(m.now) || m.now.Sub(n.polled) >= time.Second {
		n.polled = m.now
		m.report(i, m.lag)
	}
}

// permitTime is how long a request of the model runs.
const permitTime = 3 * time.Second

// ask asks the ledger of a node for all engines and checks each grant: no other
// node granted within permitFlight unless it handed its ledger over, and the first grant of a role that did not
// wait HandoverWait comes from a ledger that counts what others granted. An engine
// without load from others has nothing to count.
func (m *takeoverModel) ask(i int) string {
	n := m.nodes[i]
	for k := range m.x.Manifest.Servers {
		s := m.x.Manifest.Servers[k].Name
		a := Ask{Server: s, Holder: n.member.ID, ID: uint64(len(m.load)), Account: "a", Weight: 1, Tokens: 1, Relaxed: true}
		used := n.ledger.Used(s)
		if n.ledger.Admit(m.now, &a) != Granted {
			continue
		}
		m.grants[s] = slices.DeleteFunc(m.grants[s], func(g granted) bool { return m.now.Sub(g.at) >= permitTime })
		others, own := int64(0), false
		for _, g := range m.grants[s] {
			if g.by == i {
				own = true
				continue
			}
			others++
			if m.now.Sub(g.at) < permitFlight && m.handed[s].Before(g.at) {
				return fmt.Sprintf("engine %s: r%d grants %v after r%d", s, i, m.now.Sub(g.at), g.by)
			}
		}
		if began := n.began[s]; m.now.Sub(began) < HandoverWait && m.now.Sub(m.handed[s]) > HandoverWait {
			if !own {
				m.early++
			}
			if !own && used < others-others/reportTolerance-1 {
				return fmt.Sprintf("engine %s: r%d counts %d of %d running requests", s, i, used, others)
			}
		}
		m.grants[s] = append(m.grants[s], granted{i, m.now})
		m.asked = append(m.asked, s)
		n.ledger.Release(m.now, s, n.member.ID, a.ID)
		m.note()
	}
	return ""
}

func (m *takeoverModel) note() {
	load := map[fleet.ServerID]int64{}
	for s, gs := range m.grants {
		for _, g := range gs {
			if m.now.Sub(g.at) < permitTime {
				load[s]++
			}
		}
	}
	m.load = append(m.load, pastLoad{m.now, load})
	if len(m.load) > 200 {
		m.load = slices.Delete(m.load, 0, 50)
	}
}

// episode is a time of at most DisagreementBound in which views differ.
type episode struct {
	end   time.Time
	heal  time.Time
	views []viewChange
}

type viewChange struct {
	at       time.Time
	at2      time.Time // the node sees the truth again
	node     int
	dead     []int
	restored bool
}

// primaries returns the nodes that hold roles, or all when none does.
func (m *takeoverModel) primaries() (out []int) {
	for i, n := range m.nodes {
		if len(n.began) > 0 {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		out = append(out, 0, 1, 2, 3, 4, 5)
	}
	return out
}

// drawEpisode starts cuts, pauses, crashes and wrong views.
func (m *takeoverModel) drawEpisode(t *rapid.T, kind string) *episode {
	// IntRange prefers small numbers.
	ms := func(lo, hi int, name string) time.Duration {
		part := rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}).Draw(t, name)
		return time.Duration(lo+(hi-lo)*part/10) * time.Millisecond
	}
	e := &episode{end: m.now.Add(5 * time.Second)}
	e.heal = m.now.Add(ms(500, 4900, "heal"))
	var away []int // one node, a data centre or a group
	first := rapid.SampledFrom(m.primaries()).Draw(t, "away")
	spread := rapid.SampledFrom([]string{"node", "centre", "group"}).Draw(t, "spread")
	for i := range m.nodes {
		if i == first || spread == "centre" && i%4 == first%4 || spread == "group" && rapid.Bool().Draw(t, "also") {
			away = append(away, i)
		}
	}
	in := func(i int) bool { return slices.Contains(away, i) }
	latest := rapid.SampledFrom([]int{200, 1000, 4900}).Draw(t, "latest")
	agree := rapid.Bool().Draw(t, "agree")
	for i := range m.nodes {
		for j := range m.nodes {
			if kind == "cut" && in(i) != in(j) || kind == "asymmetric" && in(i) && !in(j) {
				m.cut[[2]int{i, j}] = true
			}
		}
		switch {
		case kind == "pause" && in(i):
			m.nodes[i].paused = m.now.Add(ms(500, 8000, "pause"))
		case !m.nodes[i].up && rapid.Bool().Draw(t, "restart"):
			m.nodes[i] = m.newNode(i, uint64(m.now.UnixMilli()))
		case kind == "crash" && in(i):
			m.nodes[i].up = false
		}
	}
	for i := range m.nodes {
		c := viewChange{node: i, at: m.now.Add(ms(0, latest, "sees")), at2: m.now.Add(ms(4500, 4990, "truth"))}
		for j := range m.nodes {
			if in(i) != in(j) && kind != "resume" && (kind != "views" || agree || rapid.Bool().Draw(t, "wrong")) {
				c.dead = append(c.dead, j)
			}
		}
		e.views = append(e.views, c)
	}
	return e
}

// agreed reports whether every node that runs sees which nodes run.
func (m *takeoverModel) agreed() bool {
	for i, n := range m.nodes {
		for j := range m.nodes {
			if i != j && m.runs(i) && n.dead[j] == m.runs(j) {
				return false
			}
		}
	}
	return true
}

// follow applies the changes of views that are due. At the end every node that
// runs sees the truth.
func (m *takeoverModel) follow(e *episode) {
	if !m.now.Before(e.heal) {
		clear(m.cut)
	}
	for k := range e.views {
		c := &e.views[k]
		if !m.runs(c.node) {
			continue
		}
		n := m.nodes[c.node]
		switch {
		case !m.now.Before(c.at2) && !c.restored:
			c.restored = true
			n.dead = map[int]bool{}
			for j := range m.nodes {
				n.dead[j] = !m.runs(j)
			}
			m.apply(c.node)
		case !m.now.Before(c.at) && !c.restored && c.dead != nil:
			for _, j := range c.dead {
				n.dead[j] = true
			}
			c.dead = nil
			m.apply(c.node)
		}
	}
}

// Guards against two instances that grant on one engine at the same time, and
// against a takeover that does not count the former admitter's requests, while
// the wait ends early: random wrong views, cuts of groups in one or both
// directions, pauses, crashes, restarts, and replies that are lost, late or
// repeated, each for at most the disagreement bound.
func TestTakeoverOneAdmitter(t *testing.T) {
	t.Parallel() // among the slowest tests
	early := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTakeoverModel(6, 3)
		var e *episode
		next := m.now.Add(3 * time.Second)
		lost := 0
		drop := func() bool { // at most two in a row, and none before the first episode
			if lost < 2 && m.now.Sub(start) > 3*time.Second && rapid.IntRange(0, 19).Draw(t, "drop") == 0 {
				lost++
				return true
			}
			lost = 0
			return false
		}
		delay := func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ms")) * time.Millisecond
		}
		for m.now.Sub(start) < time.Minute {
			m.now = m.now.Add(rapid.SampledFrom([]time.Duration{20, 50, 90, 150}).Draw(t, "step") * time.Millisecond)
			m.lag = rapid.SampledFrom([]time.Duration{0, 100, 500, 1000, 2000}).Draw(t, "lag") * time.Millisecond
			m.flight = rapid.SampledFrom([]time.Duration{0, 10, 500, 2900}).Draw(t, "flight") * time.Millisecond
			if e != nil {
				m.follow(e)
				if !m.now.Before(e.end) {
					e = nil
					// Many episodes find waits without earlier deaths.
					next = m.now.Add(rapid.SampledFrom([]time.Duration{1, 3, 9, 12}).Draw(t, "gap") * time.Second)
				}
			}
			if e == nil && !m.agreed() { // an instance resumed
				e = m.drawEpisode(t, "resume")
			}
			if e == nil && !m.now.Before(next) {
				e = m.drawEpisode(t, rapid.SampledFrom([]string{"cut", "asymmetric", "pause", "crash", "views"}).Draw(t, "kind"))
			}
			m.deliver()
			for i := range m.nodes {
				if !m.runs(i) {
					continue
				}
				// A process that resumes may serve a request before its timer runs.
				for k := range 2 {
					if k == 1 {
						m.step(i, drop, delay)
					}
					if fault := m.ask(i); fault != "" {
						t.Fatal(fault)
					}
				}
			}
		}
		early += m.early
	})
	t.Log("shortened waits:", early)
	if early == 0 {
		t.Fatal("no wait ended early, so that nothing was checked")
	}
}
