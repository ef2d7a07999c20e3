package admission

import (
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// fullListInterval is the time between two full lists of an engine's permits to an
// unchanged primary. Ended permits are sent as they end; the list only repairs
// what loss left behind. Full lists each second cost 49 KB/s for each instance
// at target size.
const fullListInterval = 30 * time.Second

// HeldPermits are the permits of the requests that this instance serves, granted by
// other admitters or by its own ledger. It tells the primary admitters which
// have ended, and tells a new primary all that are in use.
type HeldPermits struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*serverPermits
}

// serverPermits are the permits of one engine.
type serverPermits struct {
	permits map[uint64]HeldPermit
	ended   []uint64 // not yet told to the primary
	// listedTo is the primary that has the full list as of listedAt, and life its
	// incarnation, or 0 before the first message: a restarted primary has no list.
	listedTo          fleet.InstanceID
	listedIncarnation uint64
	listedAt          time.Time
}

// NewHeldPermits returns an empty set.
func NewHeldPermits() *HeldPermits { return &HeldPermits{servers: map[fleet.ServerID]*serverPermits{}} }

// Add notes a permit that a request uses. from is the admitter that granted it.
func (h *HeldPermits) Add(server fleet.ServerID, from fleet.InstanceID, p HeldPermit, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[server]
	if s == nil {
		s = &serverPermits{permits: map[uint64]HeldPermit{}, listedTo: from, listedAt: now}
		h.servers[server] = s
	}
	s.permits[p.ID] = p
	// A repeated ask got the permit whose first reply was lost.
	s.ended = slices.DeleteFunc(s.ended, func(id uint64) bool { return id == p.ID })
	if s.listedTo != from {
		s.listedAt = time.Time{} // the list of the earlier primary is not complete
	}
}

// permitsOn returns the permits in use on some servers.
func (h *HeldPermits) permitsOn(servers []fleet.ServerID) map[fleet.ServerID][]HeldPermit {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[fleet.ServerID][]HeldPermit{}
	for _, id := range servers {
		if s := h.servers[id]; s != nil {
			for _, p := range s.permits {
				out[id] = append(out[id], p)
			}
		}
	}
	return out
}

// End notes the end of a request, or of an ask whose reply was lost.
func (h *HeldPermits) End(server fleet.ServerID, id uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[server]
	if s == nil {
		s = &serverPermits{permits: map[uint64]HeldPermit{}}
		h.servers[server] = s
	}
	delete(s.permits, id)
	s.ended = append(s.ended, id)
}

// PermitUpdate is what one primary admitter is told about one engine.
type PermitUpdate struct {
	Server fleet.ServerID
	// Ended are permits that are not in use any more.
	Ended []uint64
	// Full says that Held is the complete list.
	Full bool
	Held []HeldPermit
}

// Updates returns what the primary admitters must be told now. The caller passes
// each list that could not be delivered to Undelivered.
func (h *HeldPermits) Updates(now time.Time, t *Table) map[fleet.InstanceID][]PermitUpdate {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[fleet.InstanceID][]PermitUpdate{}
	for server, s := range h.servers {
		to := t.Of(server)
		if len(to) == 0 {
			continue
		}
		l := PermitUpdate{Server: server, Ended: s.ended}
		s.ended = nil
		if s.listedTo == to[0].ID && s.listedIncarnation == 0 {
			s.listedIncarnation = to[0].Incarnation
		}
		if len(s.permits) > 0 && (s.listedTo != to[0].ID || s.listedIncarnation != to[0].Incarnation || now.Sub(s.listedAt) >= fullListInterval) {
			l.Full = true
			for _, p := range s.permits {
				l.Held = append(l.Held, p)
			}
			s.listedTo, s.listedIncarnation, s.listedAt = to[0].ID, to[0].Incarnation, now
		}
		if len(s.permits) == 0 {
			delete(h.servers, server)
		}
		if l.Full || len(l.Ended) > 0 {
			out[to[0].ID] = append(out[to[0].ID], l)
		}
	}
	return out
}

// Requeue takes back a list whose call failed.
func (h *HeldPermits) Requeue(l PermitUpdate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[l.Server]
	if s == nil {
		s = &serverPermits{permits: map[uint64]HeldPermit{}}
		h.servers[l.Server] = s
	}
	s.ended = append(s.ended, l.Ended...)
	if l.Full {
		s.listedTo = ""
	}
}
