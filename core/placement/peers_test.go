package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against stale loads of other instances: after a report without them, after a
// server returned, or after an instance stopped reporting. The totals must be the sum
// of the last reports of the instances that still report.
func TestTotalsAreTheLastReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBalancer(DefaultPolicy()), epoch
		known := map[fleet.ServerID]bool{}
		set := func() {
			clear(known)
			var servers []Server
			for i := range 5 {
				if rapid.IntRange(0, 3).Draw(t, "known") > 0 {
					id := fleet.ServerID(fmt.Sprint("s", i))
					known[id] = true
					servers = append(servers, Server{ID: id, Engine: true})
				}
			}
			b.SetServers("p", servers)
		}
		set()
		type report struct {
			at    time.Time
			loads map[fleet.ServerID]Load
		}
		last := map[fleet.InstanceID]report{}
		heard := func() {
			for peer := range last {
				id := fmt.Sprint(peer)
				loads := map[fleet.ServerID]Load{}
				for i := range 5 {
					if n := rapid.IntRange(0, 2).Draw(t, "running at "+id); n > 0 {
						loads[fleet.ServerID(fmt.Sprint("s", i))] = Load{Running: n, Unread: 10 * n}
					}
				}
				last[peer] = report{now, loads}
				b.SetPeerLoads(peer, now, loads)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				set()
				heard() // a new server knows what the next reports say
			case 1:
				last[fleet.InstanceID(fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "peer")))] = report{at: now}
				heard()
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				b.ExpirePeerLoads(now)
				for peer, r := range last {
					if now.Sub(r.at) >= peerLoadTTL {
						delete(last, peer)
					}
				}
			case 3:
				heard()
			}
			want := map[fleet.ServerID]Load{}
			for peer, r := range last {
				for id, l := range r.loads {
					if known[id] {
						want[id] = Load{want[id].Running + l.Running, want[id].Unread + l.Unread}
					}
				}
				if got := b.PeerLoads(peer); len(got) != len(r.loads) {
					t.Fatalf("%d loads of %s, want %d", len(got), peer, len(r.loads))
				}
			}
			got := b.Totals()
			for i := range 5 {
				id := fleet.ServerID(fmt.Sprint("s", i))
				if got[id] != want[id] {
					t.Fatalf("%s: %+v, want %+v", id, got[id], want[id])
				}
			}
		}
	})
}

// Guards against digests filled with parts that peers already know: a prompt whose
// shared parts the engine is known to cache is reported only occasionally, a new one
// at once.
func TestNewPlacementsAreReported(t *testing.T) {
	b := NewBalancer(DefaultPolicy())
	b.SetServers("p", engines(1))
	reported := func(part, key uint64) bool {
		req := prompt(part)
		req.Key = key
		ranked, _ := b.Rank(epoch, "p", req, nil)
		b.Reserve(epoch, "p", ranked[0], req).Release(epoch, Ended)
		_, placed := b.DrainReport(1000)
		return len(placed) > 0
	}
	if !reported(1, 1) || !reported(2, 1) {
		t.Error("a part that the engine had not read before is not reported")
	}
	repeated := 0
	for key := range uint64(800) {
		if reported(1, key) {
			repeated++
		}
	}
	if repeated != 800/knownReportInterval {
		t.Errorf("%d of 800 prompts with a known part are reported, want %d", repeated, 800/knownReportInterval)
	}
	b.AddPeerCached(epoch, "e0", []Part{{3, 8000}})
	if reported(3, 1) {
		t.Error("what a peer has reported is reported again")
	}
}
