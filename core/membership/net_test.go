package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

type flight struct {
	from, to string
	at       time.Time
	p        Packet
}

type testNode struct {
	name    string
	m       *Detector
	up      bool
	paused  time.Time // until then
	started time.Time
	died    time.Time
	listed  bool
	// gone is, for each instance that left the view, its incarnation then.
	gone map[fleet.InstanceID]uint64
	last *View
}

// testNet runs machines on a network with faults. It checks the size of each
// datagram and that no view names an instance that cannot be alive.
type testNet struct {
	fail    func(string, ...any)
	now     time.Time
	rng     *rand.Rand
	nodes   []*testNode
	air     []flight
	past    []flight
	loss    float64
	dup     float64
	late    float64 // share of datagrams delayed by up to 3 s
	cut     map[string]bool
	listOff bool
}

func newTestNet(fail func(string, ...any), n int, seed uint64) *testNet {
	t := &testNet{fail: fail, now: time.UnixMilli(1_790_000_000_000), rng: rand.New(rand.NewPCG(seed, 7)), cut: map[string]bool{}}
	for i := range n {
		t.nodes = append(t.nodes, &testNode{name: fmt.Sprintf("r%d", i+1), listed: true})
	}
	return t
}

func (t *testNet) node(name string) *testNode {
	for _, n := range t.nodes {
		if n.name == name {
			return n
		}
	}
	t.fail("no node %s", name)
	return nil
}

func (t *testNet) start(n *testNode) {
	n.up, n.paused, n.started = true, time.Time{}, t.now
	n.m = New(Member{
		ID: fleet.InstanceID(n.name), Peer: n.name + ":2", Datagram: n.name, Incarnation: uint64(t.now.UnixMilli()),
	}, t.now, t.rng.Uint64())
	n.gone, n.last = map[fleet.InstanceID]uint64{}, n.m.View()
	t.list(n)
}

func (t *testNet) kill(n *testNode) { n.up, n.died = false, t.now }

// list gives the platform's list, which names dead instances for good.
func (t *testNet) list(n *testNode) {
	var entries []Member
	for _, o := range t.nodes {
		if o.listed {
			entries = append(entries, Member{ID: fleet.InstanceID(o.name), Datagram: o.name})
		}
	}
	n.m.ApplyList(t.now, entries)
}

func (t *testNet) running(n *testNode) bool { return n.up && !t.now.Before(n.paused) }

// run advances time in ticks.
func (t *testNet) run(d time.Duration) {
	for end := t.now.Add(d); t.now.Before(end); {
		t.now = t.now.Add(TickInterval)
		t.deliver()
		for _, n := range t.nodes {
			if !t.running(n) {
				continue
			}
			n.m.Tick(t.now)
			t.flush(n)
			if !t.listOff && t.now.UnixMilli()%1000 == 0 {
				t.list(n)
			}
			t.checkView(n)
		}
		// Most answers arrive within the tick; their own answers do too.
		for range 4 {
			t.deliver()
		}
	}
}

func (t *testNet) flush(n *testNode) {
	for _, out := range n.m.TakeOutgoing() {
		if b := out.Packet.WireBytes(); b > MaxPacketBytes {
			t.fail("%s sends %d bytes", n.name, b)
		}
		f := flight{n.name, out.To, t.now, out.Packet}
		if len(t.past) < 4000 {
			t.past = append(t.past, f)
		} else {
			t.past[1000+t.rng.IntN(3000)] = f // the first ones are kept
		}
		if t.rng.Float64() < t.loss {
			continue
		}
		if t.rng.Float64() < t.late {
			f.at = t.now.Add(time.Duration(t.rng.Int64N(int64(3 * time.Second))))
		}
		t.air = append(t.air, f)
		if t.rng.Float64() < t.dup {
			f.at = f.at.Add(time.Duration(t.rng.Int64N(int64(time.Second))))
			t.air = append(t.air, f)
		}
	}
}

func (t *testNet) deliver() {
	var due []flight
	t.air = slices.DeleteFunc(t.air, func(f flight) bool {
		if f.at.After(t.now) {
			return false
		}
		due = append(due, f)
		return true
	})
	t.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, f := range due {
		n := t.node(f.to)
		if !t.running(n) || t.cut[f.from] != t.cut[f.to] {
			continue
		}
		n.m.Receive(t.now, &f.p)
		t.flush(n)
	}
}

// replay delivers old datagrams once more, however old they are.
func (t *testNet) replay(count int) {
	for range min(count, len(t.past)) {
		f := t.past[t.rng.IntN(len(t.past))]
		f.at = t.now
		t.air = append(t.air, f)
	}
}

// replayBefore delivers all datagrams from before the death of n once more.
func (t *testNet) replayBefore(n *testNode) {
	for _, f := range t.past {
		if f.at.Before(n.died) {
			f.at = t.now
			t.air = append(t.air, f)
		}
	}
}

// checkView fails when a view names an instance that was dead during the whole
// life of the observer, or one that it removed, with the same incarnation.
func (t *testNet) checkView(n *testNode) {
	v := n.m.View()
	if v == n.last {
		return
	}
	if !v.ResumedAt.Equal(n.last.ResumedAt) {
		// After a long own pause the view is rebuilt from answered probes, as in
		// a new life.
		n.started, n.last, n.gone = t.now, v, map[fleet.InstanceID]uint64{}
	}
	for _, m := range n.last.Members {
		if v.Find(m.ID) == nil {
			n.gone[m.ID] = max(n.gone[m.ID], m.Incarnation)
		}
	}
	n.last = v
	for _, m := range v.Members {
		o := t.node(string(m.ID))
		if inc, ok := n.gone[m.ID]; ok && m.Incarnation <= inc {
			t.fail("%s revives %s with incarnation %d, removed at %d", n.name, m.ID, m.Incarnation, inc)
		}
		if !o.up && o.died.Before(n.started) {
			t.fail("%s sees %s, which died before %s started", n.name, m.ID, n.name)
		}
	}
}

// settle ends all faults and requires that the views become exact.
func (t *testNet) settle() {
	t.loss, t.dup, t.late, t.listOff = 0, 0, 0, false
	clear(t.cut)
	t.run(100 * time.Second)
	for _, n := range t.nodes {
		for _, o := range t.nodes {
			if n.up && o.up != (n.m.View().Find(fleet.InstanceID(o.name)) != nil) {
				t.fail("after all faults ended, %s sees %s: %v, running: %v", n.name, o.name, !o.up, o.up)
			}
		}
	}
}

func (n *testNode) String() string {
	out := ""
	for _, m := range n.m.View().Members {
		out += string(m.ID)
		if m.Leaving {
			out += " leaving"
		} else if !m.Eligible {
			out += " held"
		}
		out += "\n"
	}
	return out
}
