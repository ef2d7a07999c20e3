package admission

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

// peerNode is an instance that serves requests as well.
type peerNode struct {
	node
	holds           *HeldPermits
	totals          *Totals
	exchanged, sync time.Time // the last exchange and sync
	lost            bool      // the last exchange
	life            uint64
}

// runningRequest is one request on its engine.
type runningRequest struct {
	PermitRequest
	at   *peerNode
	ends time.Time
}

// disagreement is a fleet whose members see changes at different times.
type disagreement struct {
	*rapid.T
	loadModel
	nodes    []*peerNode
	requests []runningRequest
}

func (d *disagreement) by(id fleet.InstanceID) *peerNode {
	for _, nd := range d.nodes {
		if nd.ledger.self == id {
			return nd
		}
	}
	return nil
}

func (d *disagreement) loses(oneIn int) bool { return d.odds(oneIn, "lost") }

func (d *disagreement) odds(oneIn int, label string) bool {
	return rapid.IntRange(1, oneIn).Draw(d.T, label) == 1
}

func (d *disagreement) start(nd *peerNode, v *membership.View, first bool) {
	id := fleet.InstanceID(fmt.Sprintf("r%d", nd.id))
	nd.ledger, nd.holds, nd.totals = NewLedger(id, Params{Seed: 1}), NewHeldPermits(), NewTotals()
	nd.up, nd.pending = true, nil
	nd.table = NewTable(v, d.x, DefaultAdmitters)
	nd.ledger.SetRoles(d.now, nd.table, first)
}

// flip crashes or starts an instance; the others see it within 5 s.
func (d *disagreement) flip(nd *peerNode) {
	nd.up = !nd.up
	var ids []int
	for _, o := range d.nodes {
		if o.up {
			ids = append(ids, o.id)
		}
	}
	nd.life++
	v := testView(d.now, ids...)
	for i := range v.Members {
		v.Members[i].Incarnation = d.by(v.Members[i].ID).life
	}
	if nd.up {
		d.start(nd, v, false)
	}
	for _, o := range d.nodes {
		if o != nd {
			lag := time.Duration(rapid.IntRange(0, 4500).Draw(d.T, "view lag")) * time.Millisecond
			o.pending = append(o.pending, change{d.now.Add(lag), v})
		}
	}
	d.finish(func(q runningRequest) bool { return q.at == nd && !nd.up })
}

func (d *disagreement) finish(ended func(runningRequest) bool) {
	var rest []runningRequest
	for _, q := range d.requests {
		if !ended(q) {
			rest = append(rest, q)
			continue
		}
		d.load[q.Server] -= q.Tokens
		if q.at.up {
			q.at.holds.End(q.Server, q.ID)
			q.at.ledger.Release(d.now, q.Server, q.Holder, q.ID)
		}
	}
	d.requests = rest
	d.note()
}

// loops does what the loops of the daemon do in one step.
func (d *disagreement) loops(nd *peerNode) {
	nd.ledger.Tick(d.now)
	for len(nd.pending) > 0 && !d.now.Before(nd.pending[0].at) {
		v := nd.pending[0].view
		if nd.pending = nd.pending[1:]; !v.ChangedAt.After(nd.table.View.ChangedAt) {
			continue
		}
		old := nd.table
		nd.table = NewTable(v, d.x, DefaultAdmitters)
		lost := d.loses(4)
		for _, s := range nd.ledger.SetRoles(d.now, nd.table, false) {
			if to := d.by(nd.table.Of(s.Server)[0].ID); to.up && !lost {
				to.ledger.Import(d.now, s)
			}
		}
		nd.ledger.MembersLost(old, nd.table)
		nd.totals.MembersLost(old, nd.table)
	}
	alive := func(id fleet.InstanceID) bool { return nd.table.View.Find(id) != nil }
	if d.now.Sub(nd.exchanged) >= nd.table.ExchangeInterval() {
		nd.exchanged = d.now
		to := d.by(nd.table.Aggregator("p").ID)
		if nd.lost = !nd.lost && d.loses(10); !nd.lost && to.up {
			loads := nd.ledger.Loads(d.now, "p", nil)
			nd.ledger.SetTotal(d.now, "p", to.totals.Exchange(d.now, "p", loads), loads)
		}
	}
	if d.now.Sub(nd.sync) >= SyncInterval {
		nd.sync = d.now
		d.report(nd)
		nd.ledger.Expire(d.now, alive)
		lists := nd.holds.Updates(d.now, nd.table)
		for _, id := range slices.Sorted(maps.Keys(lists)) {
			to, lost := d.by(id), d.loses(10)
			for _, l := range lists[id] {
				if !to.up || lost {
					nd.holds.Requeue(l)
					continue
				}
				to.ledger.Ended(d.now, nd.ledger.self, l.Server, l.Ended)
				if l.Full {
					to.ledger.Sync(d.now, nd.ledger.self, l.Server, l.Held)
				}
			}
		}
	}
}

// report tells an admitter the loads of its engines as of up to 2 s ago.
func (d *disagreement) report(nd *peerNode) {
	at := d.now.Add(-time.Duration(rapid.IntRange(0, int(ReportLag/time.Millisecond)).Draw(d.T, "report lag")) * time.Millisecond)
	i := max(sort.Search(len(d.past), func(i int) bool { return d.past[i].at.After(at) })-1, 0)
	for s, load := range d.past[i].load {
		if nd.table.Primary(s, nd.ledger.self) {
			nd.ledger.Report(d.now, s, Report{Incarnation: 1, Load: load, At: at})
		}
	}
}

// ask asks the first two admitters in the view of the serving instance.
func (d *disagreement) ask(nd *peerNode, s fleet.ServerID, tokens int64) {
	d.id++
	a := PermitRequest{Server: s, Holder: nd.ledger.self, ID: d.id, Account: "a", Weight: 1, Tokens: tokens, Relaxed: true}
	for _, m := range nd.table.Of(s)[:min(2, len(nd.table.Of(s)))] {
		to := d.by(m.ID)
		v := NotAdmitter
		mean := to.ledger.Mean(d.now, "p")
		if to.up {
			v = to.ledger.Admit(d.now, &a)
		}
		if to != nd && d.loses(20) {
			nd.holds.End(s, a.ID)
			v = NotAdmitter
		}
		if v == Granted {
			nd.holds.Add(s, m.ID, HeldPermit{Holder: a.Holder, ID: a.ID, Account: a.Account, Weight: 1, Tokens: tokens}, d.now)
			ends := d.now.Add(time.Duration(rapid.IntRange(500, 9000).Draw(d.T, "runs ms")) * time.Millisecond)
			d.requests = append(d.requests, runningRequest{a, nd, ends})
			d.load[s] += tokens
			d.note()
			if limit := max(1.25*mean, mean+float64(tokens)); float64(d.load[s]) > limit+1 {
				d.Fatalf("engine %s carries %d after an admission by %s, limit %v", s, d.load[s], m.ID, limit)
			}
		}
		if v != NotAdmitter && v != HandoverPending {
			return
		}
	}
}

// Guards against an engine over the load bound while instances crash, join and
// flap under load, see each other's changes up to 5 s late, and lose asks,
// replies, exchanges, lists and ledgers. The mean is the highest that an admitter
// may see: totals lag, and a crash shows after the time of disagreement.
func TestLoadBoundDuringDisagreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		engines := rapid.IntRange(2, 6).Draw(t, "engines")
		d := &disagreement{T: t, loadModel: loadModel{now: start, x: testIndex(engines, 0), load: map[fleet.ServerID]int64{}}}
		for i := range n {
			nd := &peerNode{node: node{id: i}}
			d.start(nd, testView(d.now, 0, 1, 2, 3), true)
			d.nodes = append(d.nodes, nd)
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(50, 500).Draw(t, "ms")) * time.Millisecond)
			d.finish(func(q runningRequest) bool { return !d.now.Before(q.ends) })
			if nd := d.nodes[rapid.IntRange(1, n-1).Draw(t, "node")]; d.odds(25, "flip") {
				d.flip(nd)
			}
			for _, nd := range d.nodes {
				if nd.up {
					d.loops(nd)
				}
			}
			for range rapid.IntRange(0, 12).Draw(t, "asks") {
				if nd := d.nodes[rapid.IntRange(0, n-1).Draw(t, "serving")]; nd.up {
					d.ask(nd, d.engine(t), int64(rapid.IntRange(50, 150).Draw(t, "tokens")))
				}
			}
		}
	})
}

// Guards against a primary that restarts under its name and gets no list of the
// permits in use for 30 s, and against full lists each second to a known one.
func TestListToRestartedPrimary(t *testing.T) {
	x, h := testIndex(1, 0), NewHeldPermits()
	v := testView(start, 0)
	for i, c := range []struct {
		incarnation uint64
		full        bool
	}{{1, false}, {1, false}, {2, true}, {2, false}} {
		v.Members[0].Incarnation = c.incarnation
		now := start.Add(time.Duration(i) * SyncInterval)
		if i == 0 {
			h.Add("e0", "r0", HeldPermit{ID: 1, Tokens: 10}, now)
		}
		lists := h.Updates(now, NewTable(v, x, DefaultAdmitters))["r0"]
		if got := len(lists) == 1 && lists[0].Full && len(lists[0].Held) == 1; got != c.full {
			t.Errorf("message %d to life %d: full list %v, want %v", i, c.incarnation, got, c.full)
		}
	}
}
