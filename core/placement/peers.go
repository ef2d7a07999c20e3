package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// peerLoadTime is how long the load reported by a peer counts without a newer report.
const peerLoadTime = 3 * time.Second

// setPeer replaces the load of another instance.
func (s *state) setPeer(peer fleet.InstanceID, l Load) {
	old := s.peers[peer]
	s.others.Running += l.Running - old.Running
	s.others.Unread += l.Unread - old.Unread
	if l == (Load{}) {
		delete(s.peers, peer)
		return
	}
	s.peers[peer] = l
}

// SetPeer takes the loads that another instance reports. Servers that it does not
// name have none of its work. loads must not be changed afterwards.
func (b *Board) SetPeer(peer fleet.InstanceID, now time.Time, loads map[fleet.ServerID]Load) {
	b.fleetMu.Lock()
	b.heard[peer] = now
	b.fleetMu.Unlock()
	b.setPeer(peer, loads)
}

// setPeer touches only the servers of the last report and of this one: relays of large
// fleets take hundreds of reports a second.
func (b *Board) setPeer(peer fleet.InstanceID, loads map[fleet.ServerID]Load) {
	b.reportMu.Lock()
	defer b.reportMu.Unlock()
	b.fleetMu.Lock()
	old := b.reported[peer]
	if len(loads) == 0 {
		delete(b.reported, peer)
	} else {
		b.reported[peer] = loads
	}
	b.fleetMu.Unlock()
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for id := range old {
			if s := p.servers[id]; s != nil && loads[id] == (Load{}) {
				s.setPeer(peer, Load{})
			}
		}
		for id, l := range loads {
			if s := p.servers[id]; s != nil {
				s.setPeer(peer, l)
			}
		}
		p.mu.Unlock()
	}
}

// DropSilentPeers forgets the loads of instances that have not reported for
// peerLoadTime: they have left or lost their requests.
func (b *Board) DropSilentPeers(now time.Time) {
	b.fleetMu.Lock()
	var silent []fleet.InstanceID
	for peer, at := range b.heard {
		if now.Sub(at) >= peerLoadTime {
			silent = append(silent, peer)
			delete(b.heard, peer)
		}
	}
	b.fleetMu.Unlock()
	for _, peer := range silent {
		b.setPeer(peer, nil)
	}
}

// KeepPeer forgets the loads of all instances but one.
func (b *Board) KeepPeer(kept fleet.InstanceID) {
	b.fleetMu.Lock()
	var others []fleet.InstanceID
	for peer := range b.reported {
		if peer != kept {
			others = append(others, peer)
		}
	}
	b.fleetMu.Unlock()
	for _, peer := range others {
		b.setPeer(peer, nil)
	}
}

// Totals returns the work of all instances at the servers, as far as known.
func (b *Board) Totals() map[fleet.ServerID]Load {
	out := map[fleet.ServerID]Load{}
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			if l := s.load(); l != (Load{}) {
				out[s.ID] = l
			}
		}
		p.mu.Unlock()
	}
	return out
}

// PeerLoads returns the work that another instance reported. It must not be changed.
func (b *Board) PeerLoads(peer fleet.InstanceID) map[fleet.ServerID]Load {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.reported[peer]
}

// PeerLoadsOf returns the work that the chosen instances reported.
func (b *Board) PeerLoadsOf(chosen func(fleet.InstanceID) bool) map[fleet.ServerID]Load {
	out := map[fleet.ServerID]Load{}
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	for peer, loads := range b.reported {
		if !chosen(peer) {
			continue
		}
		for id, l := range loads {
			sum := out[id]
			out[id] = Load{sum.Running + l.Running, sum.Unread + l.Unread}
		}
	}
	return out
}
