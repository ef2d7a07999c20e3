package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// fabric is a fleet in virtual time whose reports take some ms and may be lost.
type fabric struct {
	now    time.Time
	rnd    *rand.Rand
	nodes  []*node
	byID   map[fleet.InstanceID]*node
	queue  []message
	loss   float64
	cut    func(a, b *node) bool
	listed map[fleet.InstanceID]Listing
	sent   int
	direct int // of each roster
}

type node struct {
	Peer
	r    *Roster
	up   bool
	next time.Time
}

type message struct {
	at     time.Time
	from   Peer
	to     *node
	life   uint64
	wants  bool
	holds  ListVersion
	digest *Digest
}

func newFabric(seed uint64, instances, dataCentres int) *fabric {
	f := &fabric{
		direct: min(directFleet, instances-1),
		now:    epoch, rnd: rand.New(rand.NewPCG(seed, 1)), listed: map[fleet.InstanceID]Listing{},
		byID: map[fleet.InstanceID]*node{},
		cut:  func(a, b *node) bool { return false },
	}
	for i := range instances {
		id := fleet.InstanceID(fmt.Sprint("i", i))
		link := 10
		if i < 2*dataCentres {
			link = 200
		}
		n := &node{Peer: Peer{ID: id, DataCentre: fleet.DataCentreID(fmt.Sprint("d", i%dataCentres)), Peer: string(id), LinkMbps: link}}
		f.nodes = append(f.nodes, n)
		f.byID[id] = n
		f.listed[id] = Listing{Peer: n.Peer.Peer, DataCentre: n.DataCentre, LinkMbps: link}
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

func (f *fabric) start(n *node) {
	n.Incarnation++
	n.up, n.r = true, New(n.ID)
	n.r.direct = f.direct
	n.r.SetListed(f.listed)
	n.next = f.now.Add(time.Duration(f.rnd.IntN(300)) * time.Millisecond)
}

// run plays d in steps of 10 ms.
func (f *fabric) run(d time.Duration, check func()) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		queue := f.queue
		f.queue = nil
		for _, m := range queue {
			if m.at.After(f.now) {
				f.queue = append(f.queue, m)
			} else if m.to.up && m.to.Incarnation == m.life {
				f.deliver(m)
			}
		}
		for _, n := range f.nodes {
			if n.up && !f.now.Before(n.next) {
				f.round(n)
			}
		}
		if check != nil && f.now.Sub(epoch)%(50*time.Millisecond) == 0 {
			check()
		}
	}
}

func (f *fabric) round(n *node) {
	plan := n.r.Plan(f.now, n.Peer)
	for _, t := range plan.All {
		f.send(n, t, false, nil)
	}
	for _, t := range plan.Relays {
		f.send(n, t, true, nil)
	}
	for _, t := range plan.Members {
		d := n.r.Digest(t.ID, n.Incarnation, "")
		f.send(n, t, false, &d)
	}
	for _, t := range plan.Remote {
		d := n.r.Digest(t.ID, n.Incarnation, n.DataCentre)
		f.send(n, t, false, &d)
	}
	gap := ReportInterval(plan.Recipients())
	n.next = f.now.Add(gap - gap/10 + time.Duration(f.rnd.Int64N(int64(gap/5))))
}

func (f *fabric) send(n *node, t Target, wants bool, d *Digest) {
	f.sent++
	to := f.byID[t.ID]
	if to == nil || f.rnd.Float64() < f.loss || f.cut(n, to) {
		return
	}
	f.queue = append(f.queue, message{
		at: f.now.Add(time.Duration(1+f.rnd.IntN(30)) * time.Millisecond), from: n.Peer, to: to, life: to.Incarnation,
		wants: wants, holds: n.r.HeldListVersion(t.ID), digest: d,
	})
}

func (f *fabric) deliver(m message) {
	r := m.to.r
	if !r.HandleReport(f.now, m.from, true) {
		return
	}
	r.RecordListRequest(f.now, m.from.ID, m.holds, m.wants, false)
	if m.digest != nil {
		r.ApplyDigest(f.now, m.from.ID, m.to.DataCentre, *m.digest)
	}
}

// differs returns the first instance that does not see exactly the running others.
func (f *fabric) differs() string {
	for _, n := range f.nodes {
		if !n.up {
			continue
		}
		seen := map[fleet.InstanceID]uint64{}
		for _, p := range n.r.Live(f.now) {
			seen[p.ID] = p.Incarnation
		}
		for _, o := range f.nodes {
			life, ok := seen[o.ID]
			if o != n && (ok != o.up || ok && life != o.Incarnation) {
				return fmt.Sprintf("%s sees %s: %v (life %d), it runs: %v (life %d)", n.ID, o.ID, ok, life, o.up, o.Incarnation)
			}
		}
	}
	return ""
}

// settle is after how long all instances agree again: a silent time, a grace and some
// tries of relays that do not answer.
const settle = 10 * time.Second

// Guards against fleets above directFleet whose instances see different peers for long:
// after instances, also most relays, died or started anew and cuts ended, all see the
// running ones, and only those.
func TestRelaysAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFabric(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 24).Draw(t, "instances"), rapid.IntRange(1, 4).Draw(t, "data centres"))
		f.loss = 0.02
		f.run(settle, nil)
		if d := f.differs(); d != "" {
			t.Fatalf("after the start: %s", d)
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			share := rapid.SampledFrom([]float64{0.02, 0.3, 0.9}).Draw(t, "share")
			switch rapid.SampledFrom([]string{"kill", "restart", "cut", "killWide"}).Draw(t, "what") {
			case "kill":
				for _, n := range f.nodes {
					n.up = n.up && f.rnd.Float64() >= share
				}
			case "killWide":
				for _, n := range f.nodes {
					n.up = n.up && n.LinkMbps < 200
				}
			case "restart":
				for _, n := range f.nodes {
					if f.rnd.Float64() < share {
						f.start(n)
					}
				}
			case "cut":
				side := map[*node]bool{}
				for _, n := range f.nodes {
					side[n] = f.rnd.Float64() < share
				}
				f.cut = func(a, b *node) bool { return side[a] != side[b] }
				f.run(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds"))*time.Second, nil)
				f.cut = func(a, b *node) bool { return false }
			}
			f.run(settle+retrySilent, nil)
			if d := f.differs(); d != "" {
				t.Fatal(d)
			}
		}
	})
}

// Guards against instances that flap in a calm fleet that loses a datagram in 50.
func TestRelaysDoNotFlap(t *testing.T) {
	f := newFabric(7, 60, 4)
	f.loss = 0.02
	f.run(settle, nil)
	f.run(10*time.Second, func() {
		if d := f.differs(); d != "" {
			t.Fatalf("after %v: %s", f.now.Sub(epoch), d)
		}
	})
}

// Guards against directories that name dead instances: one that dies, a relay too, is
// gone everywhere within 6.5 s, and no living one is dropped for it.
func TestDeadInstancesAreGoneSoon(t *testing.T) {
	for _, victim := range []string{"member", "relay", "all relays"} {
		f := newFabric(11, 60, 4)
		f.run(settle, nil)
		for i, n := range f.nodes {
			switch victim {
			case "member":
				n.up = n.up && i != 59
			case "relay":
				n.up = n.up && i != 0
			default:
				n.up = n.up && n.LinkMbps < 200
			}
		}
		died := f.now
		f.run(6500*time.Millisecond, func() {
			for _, n := range f.nodes {
				if !n.up {
					continue
				}
				seen := map[fleet.InstanceID]bool{}
				for _, p := range n.r.Live(f.now) {
					seen[p.ID] = true
				}
				for _, o := range f.nodes {
					if o != n && o.up && !seen[o.ID] {
						t.Fatalf("%s dies: %s drops %s, which lives, after %v", victim, n.ID, o.ID, f.now.Sub(died))
					}
				}
			}
		})
		if d := f.differs(); d != "" {
			t.Errorf("%s dies: 6.5 s later %s", victim, d)
		}
	}
}

// Guards against reports whose number grows with the square of the fleet: each instance
// reports to two relays and gets digests of two, and the relays of each two data centres
// report to each other.
func TestReportsGrowLinearly(t *testing.T) {
	const (
		dataCentres = 6
		relays      = relaysEach * dataCentres
		jitter      = 1.1
		seconds     = 1
	)
	for _, n := range []int{60, 370} {
		f := newFabric(3, n, dataCentres)
		f.run(settle/4, nil)
		f.sent = 0
		f.run(seconds*time.Second, nil)
		rounds := float64(time.Second / MinReportInterval)
		most := rounds * jitter * (2*relaysEach + float64(relays*(relays-relaysEach))/float64(n))
		if got := float64(f.sent) / seconds / float64(n); got > most {
			t.Errorf("%d instances: %.1f datagrams a second of each, want %.1f at most", n, got, most)
		}
	}
}

// Guards against a fleet of which every instance reads all tables from the store at the
// same moment: after a common start two of each data centre begin, whom the list names.
func TestFewBeginAtTheStore(t *testing.T) {
	f := newFabric(5, 80, 4)
	begin := map[fleet.DataCentreID]int{}
	for _, n := range f.nodes {
		if n.r.WouldRelay(f.now, n.Peer) {
			begin[n.DataCentre]++
		}
	}
	for dc, n := range begin {
		if n != relaysEach {
			t.Errorf("%d instances of %s begin, want %d", n, dc, relaysEach)
		}
	}
	if len(begin) != 4 {
		t.Errorf("instances of %d data centres begin, want 4", len(begin))
	}
}
