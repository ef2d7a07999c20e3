package placement

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// fetchBoard has engines of which the first ones keep a shared part of 9,000 tokens.
func fetchBoard(engines, keep int) (*Balancer, []Part) {
	b := NewBalancer()
	var servers []Server
	for i := range engines {
		servers = append(servers, Server{
			ID: fleet.ServerID(fmt.Sprint("e", i)), Address: fmt.Sprint("a", i), Engine: true, Slots: 64, CacheTokens: 300_000, FetchTokensPerMs: 99,
		})
	}
	b.SetServers("p", servers)
	part := []Part{{ID: 7, Tokens: 9000}}
	for i := range keep {
		b.AddPeerPlacement(fleet.ServerID(fmt.Sprint("e", i)), part)
	}
	return b, part
}

// Guards against fetches that all queue at the first of the engines that keep a shared
// part: instances that know the same choose different ones.
func TestDonorsAreSpread(t *testing.T) {
	const engines, keep, instances = 20, 4, 400
	count := map[string]int{}
	keeps := map[fleet.ServerID]bool{}
	for i := range keep {
		keeps[fleet.ServerID(fmt.Sprint("e", i))] = true
	}
	for i := range instances {
		b, part := fetchBoard(engines, keep)
		ask := &Request{Parts: append(part, Part{ID: uint64(1000 + i), Tokens: 100}), PromptTokens: 9100, Key: fleet.HashID(fmt.Sprint(i))}
		ranked, _ := b.Rank(epoch, "p", ask, func(id fleet.ServerID) bool { return keeps[id] })
		for _, c := range ranked {
			if c.Source != "" {
				count[c.Source]++
				break
			}
		}
	}
	sum := 0
	for _, n := range count {
		sum += n
	}
	for i := range keep {
		if n := count[fmt.Sprint("a", i)]; n < sum/keep/2 {
			t.Errorf("engine e%d is the source of %d of %d fetches, want about %d", i, n, sum, sum/keep)
		}
	}
}

// Guards against a wait that is promised too short: an engine transfers one prompt after
// another, so that a second fetch from it ends after the first.
func TestFetchesQueue(t *testing.T) {
	b, part := fetchBoard(3, 1)
	only := func(id fleet.ServerID) func(fleet.ServerID) bool {
		return func(other fleet.ServerID) bool { return other != id }
	}
	wait := func(id fleet.ServerID, now time.Time) Candidate {
		ranked, _ := b.Rank(now, "p", &Request{Parts: part, PromptTokens: 9000}, only(id))
		if len(ranked) != 1 || ranked[0].Fetched != 9000 {
			t.Fatalf("%s: %+v", id, ranked)
		}
		return ranked[0]
	}
	first := wait("e1", epoch)
	if b.Reserve(epoch, "p", first, &Request{Parts: part, PromptTokens: 9000}) == nil {
		t.Fatal("no place")
	}
	second := wait("e2", epoch)
	if got := second.Wait - first.Wait; got != first.transferTime {
		t.Errorf("the second fetch is expected %v later, want the first one's transfer, %v", got, first.transferTime)
	}
	if later := wait("e2", epoch.Add(first.transferTime)); later.Wait != first.Wait {
		t.Errorf("after the transfer a fetch is expected to take %v, want %v", later.Wait, first.Wait)
	}
}
