package roster

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against instances of a large fleet that get no callers because every lookup
// returns the same subset, and against callers that drop connections because two instances
// return different subsets.
func TestSubsetsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, most := rapid.IntRange(1, 300).Draw(t, "instances"), rapid.IntRange(1, 64).Draw(t, "most")
		peers := make([]Peer, n)
		for i := range peers {
			peers[i] = Peer{ID: fleet.InstanceID(fmt.Sprint("i", i)), LinkMbps: rapid.SampledFrom([]int{10, 10, 10, 200}).Draw(t, "link")}
		}
		got := Subset(peers, "z", most)
		if len(got) != min(n, most) {
			t.Fatalf("%d of %d instances, want %d", len(got), n, min(n, most))
		}
		named := map[fleet.InstanceID]bool{}
		narrow := false
		for _, p := range got {
			if named[p.ID] {
				t.Fatalf("%s is returned twice", p.ID)
			}
			named[p.ID] = true
			narrow = narrow || p.LinkMbps == 10
		}
		for _, p := range peers {
			if narrow && p.LinkMbps > 10 && !named[p.ID] {
				t.Fatalf("%s with %d Mbit/s is left out for one with 10", p.ID, p.LinkMbps)
			}
		}
		shuffled := rapid.Permutation(peers).Draw(t, "order")
		for _, p := range Subset(shuffled, "z", most) {
			if !named[p.ID] {
				t.Fatalf("%s is in the subset of one instance only", p.ID)
			}
		}
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		lost := 0
		after := Subset(append(append([]Peer{}, peers[:gone]...), peers[gone+1:]...), "z", most)
		still := map[fleet.InstanceID]bool{}
		for _, p := range after {
			still[p.ID] = true
		}
		for id := range named {
			if id != peers[gone].ID && !still[id] {
				lost++
			}
		}
		if lost > 0 {
			t.Fatalf("%d other instances left the subset because one was removed", lost)
		}
	})
	all := map[fleet.InstanceID]bool{}
	peers := make([]Peer, 100)
	for i := range peers {
		peers[i] = Peer{ID: fleet.InstanceID(fmt.Sprint("i", i))}
	}
	for _, dc := range []string{"a", "b", "c", "d"} {
		for _, p := range Subset(peers, dc, 64) {
			all[p.ID] = true
		}
	}
	// Left out by all four with a probability of 0.36^4.
	if len(all) < 90 {
		t.Errorf("the callers of four data centres are sent to %d of 100 instances", len(all))
	}
}
