package admission

import (
	"sync"

	"cyclamenhitch/core/fleet"
)

const holdShards = 16

type heldKey struct {
	server fleet.ServerID
	id     uint64
}

type holdShard struct {
	mu   sync.Mutex
	held map[heldKey]HeldPermit
}

// Holds are the permits of the requests that this instance serves, whoever
// granted them. Each second the primary admitters get the list of theirs.
type Holds struct {
	shards [holdShards]holdShard

	sentMu sync.Mutex
	sent   map[sentKey]int // rounds left of lists without a permit
}

type sentKey struct {
	to     fleet.InstanceID
	server fleet.ServerID
}

// emptyRounds is how many empty lists follow the last permit, against loss.
const emptyRounds = 3

// NewHolds returns an empty set.
func NewHolds() *Holds {
	h := &Holds{sent: map[sentKey]int{}}
	for i := range h.shards {
		h.shards[i].held = map[heldKey]HeldPermit{}
	}
	return h
}

// Add notes a permit that a request uses.
func (h *Holds) Add(server fleet.ServerID, p HeldPermit) {
	sh := &h.shards[p.ID%holdShards]
	sh.mu.Lock()
	sh.held[heldKey{server, p.ID}] = p
	sh.mu.Unlock()
}

// Remove notes the end of a request.
func (h *Holds) Remove(server fleet.ServerID, id uint64) {
	sh := &h.shards[id%holdShards]
	sh.mu.Lock()
	delete(sh.held, heldKey{server, id})
	sh.mu.Unlock()
}

// List is the permits of one engine for its primary admitter.
type List struct {
	Server fleet.ServerID
	Held   []HeldPermit
}

// Lists groups the permits by primary admitter. It is called once each
// SyncInterval by one goroutine.
func (h *Holds) Lists(t *Table) map[fleet.InstanceID][]List {
	groups := map[sentKey][]HeldPermit{}
	for i := range h.shards {
		sh := &h.shards[i]
		sh.mu.Lock()
		for k, p := range sh.held {
			if to := t.Of(k.server); len(to) > 0 {
				g := sentKey{to[0].ID, k.server}
				groups[g] = append(groups[g], p)
			}
		}
		sh.mu.Unlock()
	}
	h.sentMu.Lock()
	defer h.sentMu.Unlock()
	for g := range groups {
		h.sent[g] = emptyRounds
	}
	out := map[fleet.InstanceID][]List{}
	for g, left := range h.sent {
		out[g.to] = append(out[g.to], List{g.server, groups[g]})
		if groups[g] != nil {
			continue
		}
		if left <= 1 {
			delete(h.sent, g)
		} else {
			h.sent[g] = left - 1
		}
	}
	return out
}
