package placement

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// Guards against requests that go to a suspect or a full engine, and are lost or refused
// there, because the others have not earned a request of this instance.
func TestSendShareKeepsOffFailingEngines(t *testing.T) {
	for _, failing := range []string{"suspect", "full"} {
		policy := DefaultPolicy()
		policy.Enabled = Mechanisms(SendShares)
		b := NewBalancer(policy)
		list := engines(48)
		for i := range list {
			list[i].Slots = 8
		}
		b.SetServers("p", list)
		var all []fleet.InstanceID
		for i := range 12 {
			all = append(all, fleet.InstanceID(fmt.Sprint("r", i)))
		}
		b.SetInstances("r0", all)
		var suspicions []Suspicion
		bad, loads := map[fleet.ServerID]bool{}, map[fleet.ServerID]Load{}
		for i, s := range list {
			loads[s.ID] = Load{Running: 3}
			if i%3 == 0 { // a data centre
				bad[s.ID] = true
				suspicions = append(suspicions, Suspicion{s.ID, maxSuspicion})
				if failing == "full" {
					loads[s.ID] = Load{Running: 12} // the wait exceeds the target
				}
			}
		}
		now, wrong := epoch, 0
		for i := range 2000 {
			now = now.Add(5 * time.Millisecond)
			b.SetPeerLoads("r1", now, loads)
			if failing == "suspect" {
				b.ApplyPeerSuspicions(now, suspicions)
			}
			req := sized(i, 300)
			ranked, v := b.Rank(now, "p", req, nil)
			if v != Found {
				t.Fatalf("%s: status %d", failing, v)
			}
			if bad[ranked[0].ID] {
				wrong++
			}
			r := b.Reserve(now, "p", ranked[0], req)
			r.OnFirstOutput(now.Add(time.Millisecond))
			r.Release(now.Add(time.Millisecond), Ended)
		}
		if wrong > 0 {
			t.Errorf("%d of 2000 requests went to engines that are %s", wrong, failing)
		}
	}
}
