package admission

import (
	"fmt"
	"slices"
	"time"

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
	holds  *HeldPermits
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
		for id := range n.take.firstSeen {
			n.take.firstSeen[id] = start.Add(-memberSettleTime)
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
		ledger: NewLedger(id, Params{Seed: 1}), holds: NewHeldPermits(), up: true, dead: map[int]bool{}, began: map[fleet.ServerID]time.Time{},
	}
	n.take = NewTakeover(n.ledger, 1)
	n.ledger.SetTotal(m.now, "p", Total{Load: 1 << 40, Weight: 1}, nil) // no bound refuses
	return n
}

// apply puts the view of a node in force. A ledger reaches the next primary when
// the link works.
func (m *takeoverModel) apply(i int) {
	n := m.nodes[i]
	v := &membership.View{ChangedAt: m.now}
	for j, o := range m.nodes {
		if !n.dead[j] || i == j {
			v.Members = append(v.Members, o.member)
		}
	}
	t := NewTable(v, m.x, DefaultAdmitters)
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
			r.node.take.HandleAnswer(m.now, r.sent, m.nodes[r.from].member.ID, r.q, r.a)
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
		a := PermitRequest{Server: s, Holder: n.member.ID, ID: uint64(len(m.load)), Account: "a", Weight: 1, Tokens: 1, Relaxed: true}
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
			if m.now.Sub(g.at) < maxGrantDelay && m.handed[s].Before(g.at) {
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
