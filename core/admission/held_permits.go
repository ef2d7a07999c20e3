package admission

import (
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// fullListInterval is the time between two full lists of an engine's permits sent
// to an unchanged primary. Ended permits are sent as they end; the full list only
// repairs the effect of lost messages. Sending it every second costs 49 KB/s per
// instance at target size.
const fullListInterval = 30 * time.Second

// HeldPermits tracks the permits of the requests that this instance serves,
// granted by other admitters or by its own ledger. It produces the updates that
// report ended permits to the primary admitters and all permits in use to a new
// primary.
type HeldPermits struct {
	mu      sync.Mutex
	servers map[fleet.ServerID]*serverPermits
}

// serverPermits holds the permits of one engine.
type serverPermits struct {
	permits map[uint64]HeldPermit
	ended   []uint64 // not yet reported to the primary
	// listedTo is the primary that received the full list at listedAt, and
	// listedIncarnation its incarnation, 0 before the first message. A restarted
	// primary has lost the list.
	listedTo          fleet.InstanceID
	listedIncarnation uint64
	listedAt          time.Time
}

// NewHeldPermits returns an empty set.
func NewHeldPermits() *HeldPermits { return &HeldPermits{servers: map[fleet.ServerID]*serverPermits{}} }

// Add records a permit that a request uses. from is the admitter that granted it.
func (h *HeldPermits) Add(server fleet.ServerID, from fleet.InstanceID, p HeldPermit, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[server]
	if s == nil {
		s = &serverPermits{permits: map[uint64]HeldPermit{}, listedTo: from, listedAt: now}
		h.servers[server] = s
	}
	s.permits[p.ID] = p
	// A retried request received the permit whose first reply was lost.
	s.ended = slices.DeleteFunc(s.ended, func(id uint64) bool { return id == p.ID })
	if s.listedTo != from {
		s.listedAt = time.Time{} // the new primary does not have the complete list
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

// End records the end of a request, or of a permit request whose reply was lost.
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

// PermitUpdate reports the permits of one engine to its primary admitter.
type PermitUpdate struct {
	Server fleet.ServerID
	// Ended lists the permits that are no longer in use.
	Ended []uint64
	// Full reports whether Held is the complete list.
	Full bool
	Held []HeldPermit
}

// Updates returns the updates to send now, by primary admitter. The caller passes
// each update that could not be delivered to Requeue.
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

// Requeue schedules the contents of an update whose delivery failed.
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
