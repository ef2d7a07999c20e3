package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against loads of other instances that stay after a report without them, after
// a server came back, or after an instance fell silent: the board's totals are the sum
// of the last reports of those heard from.
func TestTotalsAreTheLastReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBoard(), epoch
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
				b.SetPeer(peer, now, loads)
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
				b.DropSilentPeers(now)
				for peer, r := range last {
					if now.Sub(r.at) >= peerLoadTime {
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
