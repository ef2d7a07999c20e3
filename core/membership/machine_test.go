package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against views that a fault damages for good: a dead instance that old
// datagrams, a late list or a restart revives, and a live instance that stays
// removed. One or two faults act in each step.
func TestFaultsRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNet(t.Fatalf, rapid.IntRange(2, 6).Draw(t, "instances"), rapid.Uint64().Draw(t, "seed"))
		for _, node := range n.nodes {
			n.start(node)
		}
		n.run(5 * time.Second)
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			for range rapid.IntRange(1, 2).Draw(t, "faults") {
				inject(t, n)
			}
			n.run(time.Duration(rapid.IntRange(1, 80).Draw(t, "run")) * 100 * time.Millisecond)
		}
		n.settle()
	})
}

func inject(t *rapid.T, n *testNet) {
	node := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"loss", "dup", "late", "kill", "restart", "pause", "cut", "heal", "replay", "stale list", "no list"}).Draw(t, "fault") {
	case "loss":
		n.loss = 0.3
	case "dup":
		n.dup = 0.3
	case "late":
		n.late = 0.2
	case "kill":
		if node.up {
			n.kill(node)
		}
	case "restart":
		if node.up {
			n.kill(node)
		}
		n.start(node)
	case "pause":
		node.paused = n.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * time.Second)
	case "cut":
		n.cut[node.name] = true
	case "heal":
		clear(n.cut)
	case "replay":
		n.replay(200)
	case "stale list":
		if n.running(node) {
			n.list(node)
		}
	case "no list":
		n.listOff = true
	}
}

// Guards against a detection that takes longer than the bound of 3 s.
func TestDetectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNet(t.Fatalf, rapid.IntRange(3, 9).Draw(t, "instances"), rapid.Uint64().Draw(t, "seed"))
		for _, node := range n.nodes {
			n.start(node)
		}
		n.run(5*time.Second + time.Duration(rapid.IntRange(0, 20).Draw(t, "phase"))*TickInterval)
		n.kill(n.nodes[0])
		n.run(3 * time.Second)
		for _, node := range n.nodes[1:] {
			if node.m.View().Find("r1") != nil {
				t.Fatalf("%s still sees r1 after 3 s", node.name)
			}
		}
	})
}

// The scenarios guard the single rules; each file states its own.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var n *testNet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var names []string
			for _, a := range d.CmdArgs {
				names = append(names, a.Key)
			}
			switch d.Cmd {
			case "fleet":
				var size int
				d.ScanArgs(t, "instances", &size)
				n = newTestNet(t.Fatalf, size, 1)
				for _, node := range n.nodes {
					n.start(node)
				}
				n.run(5 * time.Second)
				return ""
			case "run":
				dur, err := time.ParseDuration(names[0])
				if err != nil {
					t.Fatal(err)
				}
				n.run(dur)
				return ""
			}
			var out strings.Builder
			for _, name := range names {
				if name == "all" {
					n.replay(4000)
					continue
				}
				node := n.node(name)
				switch d.Cmd {
				case "kill":
					n.kill(node)
				case "restart":
					n.kill(node)
					n.start(node)
				case "pause":
					node.paused = n.now.Add(20 * time.Second)
				case "replay":
					n.replayBefore(node)
				case "cut":
					n.cut[name] = true
				case "heal":
					delete(n.cut, name)
				case "unlist":
					node.listed = false
				case "leave":
					node.m.SetLeaving()
				case "view":
					out.WriteString(node.String())
				case "counts":
					fmt.Fprintf(&out, "%+v\n", node.m.Stats())
				default:
					t.Fatalf("unknown command %s", d.Cmd)
				}
			}
			return out.String()
		})
	})
}

// Guards against datagrams over the bound when there is more to say than fits.
func TestPacketBound(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	long := strings.Repeat("x", 40)
	member := func(i int) Member {
		id := fmt.Sprintf("%s-%04d", long, i)
		return Member{ID: fleet.InstanceID(id), Region: fleet.RegionID(long), Caller: long, Admin: long, Peer: long, Datagram: id, Incarnation: 1}
	}
	m := New(member(0), now, 1)
	for range 700 { // past PacketWindow, records of others are taken
		now = now.Add(TickInterval)
		m.Tick(now)
	}
	sent := 0
	for i := 1; i < 200; i++ {
		from := New(member(1), now, 2).self.Update
		p := Packet{Kind: Gossip, SentMillis: uint64(now.UnixMilli()), From: from}
		o := New(member(i), now, 3).self.Update
		o.State = State(i % 3)
		p.Updates = []Update{o}
		m.Receive(now, &p)
	}
	for range 100 {
		m.Tick(now)
		now = now.Add(TickInterval)
		for _, out := range m.TakeOutgoing() {
			sent++
			if b := out.Packet.WireBytes(); b > MaxPacketBytes {
				t.Fatalf("%d bytes", b)
			}
		}
	}
	if sent == 0 || len(m.records) < 100 {
		t.Fatalf("%d datagrams, %d records: the test says nothing", sent, len(m.records))
	}
}
