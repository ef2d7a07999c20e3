package placement

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// newFetchBalancer returns a balancer whose first engines cache a shared part of 9,000 tokens.
func newFetchBalancer(engines, keep int) (*Balancer, []Part) {
	b := NewBalancer(DefaultPolicy())
	var servers []Server
	for i := range engines {
		servers = append(servers, Server{
			ID: fleet.ServerID(fmt.Sprint("e", i)), Address: fmt.Sprint("a", i), Engine: true, Slots: 64, CacheTokens: 300_000, FetchTokensPerMs: 99,
		})
	}
	b.SetServers("p", servers)
	part := []Part{{ID: 7, Tokens: 9000}}
	for i := range keep {
		b.AddPeerCached(epoch, fleet.ServerID(fmt.Sprint("e", i)), part)
	}
	return b, part
}

// Guards against fetches that all queue at the first engine that caches a shared
// part: instances with the same knowledge must select different sources.
func TestFetchSourcesAreSpread(t *testing.T) {
	const engines, keep, instances = 20, 4, 400
	count := map[string]int{}
	keeps := map[fleet.ServerID]bool{}
	for i := range keep {
		keeps[fleet.ServerID(fmt.Sprint("e", i))] = true
	}
	for i := range instances {
		b, part := newFetchBalancer(engines, keep)
		req := &Request{Parts: append(part, Part{ID: uint64(1000 + i), Tokens: 100}), PromptTokens: 9100, Key: fleet.HashID(fmt.Sprint(i))}
		ranked, _ := b.Rank(epoch, "p", req, func(id fleet.ServerID) bool { return keeps[id] })
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

// Guards against an underestimated wait: an engine performs its transfers one at a
// time, so a second fetch from it ends after the first.
func TestFetchesQueue(t *testing.T) {
	b, part := newFetchBalancer(3, 1)
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

// Guards against fetches that find nothing: a part can be fetched only once its engine has
// processed it. A second request for it is placed at that engine and does not count the
// part again.
func TestFetchOnlyProcessedParts(t *testing.T) {
	b, part := newFetchBalancer(2, 0)
	req := &Request{Parts: part, PromptTokens: 9000, Objective: 4 * time.Second}
	ranked, _ := b.Rank(epoch, "p", req, nil)
	run := b.Reserve(epoch, "p", ranked[0], req)
	first := ranked[0].ID
	ranked, _ = b.Rank(epoch, "p", req, nil)
	if ranked[0].ID != first || ranked[0].Cached != 9000 || ranked[1].Source != "" {
		t.Errorf("while the part is processed: %+v", ranked)
	}
	run.OnFirstOutput(epoch.Add(50 * time.Millisecond))
	ranked, _ = b.Rank(epoch.Add(50*time.Millisecond), "p", req, func(id fleet.ServerID) bool { return id == first })
	if ranked[0].Fetched != 9000 {
		t.Errorf("after the part was processed: %+v", ranked)
	}
}

// Guards against parts that an engine is wrongly believed to cache: one that refused the
// request has not processed them.
func TestRefusedPartsAreNotCached(t *testing.T) {
	b, part := newFetchBalancer(2, 0)
	req := &Request{Parts: part, PromptTokens: 9000}
	ranked, _ := b.Rank(epoch, "p", req, nil)
	b.Reserve(epoch, "p", ranked[0], req).Release(epoch, Refused)
	ranked, _ = b.Rank(epoch.Add(time.Minute), "p", req, nil)
	for _, c := range ranked {
		if c.Cached != 0 || c.Fetched != 0 {
			t.Errorf("%+v, want nothing cached", c)
		}
	}
}
