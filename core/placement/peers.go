package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// peerLoadTTL is how long the load reported by a peer counts without a newer report.
const peerLoadTTL = 3 * time.Second

// setPeerLoads replaces the load of another instance.
func (s *serverState) setPeerLoads(peer fleet.InstanceID, l Load) {
	old := s.loadByPeer[peer]
	s.peerLoad.Running += l.Running - old.Running
	s.peerLoad.Unread += l.Unread - old.Unread
	if l == (Load{}) {
		delete(s.loadByPeer, peer)
		return
	}
	s.loadByPeer[peer] = l
}

// SetPeerLoads takes the loads that another instance reports. Servers that it does not
// name have none of its work. loads must not be changed afterwards.
func (b *Balancer) SetPeerLoads(peer fleet.InstanceID, now time.Time, loads map[fleet.ServerID]Load) {
	b.fleetMu.Lock()
	b.lastReport[peer] = now
	b.fleetMu.Unlock()
	b.setPeerLoads(peer, loads)
}

// setPeerLoads touches only the servers of the last report and of this one: relays of large
// fleets take hundreds of reports a second.
func (b *Balancer) setPeerLoads(peer fleet.InstanceID, loads map[fleet.ServerID]Load) {
	b.reportMu.Lock()
	defer b.reportMu.Unlock()
	b.fleetMu.Lock()
	old := b.peerLoads[peer]
	if len(loads) == 0 {
		delete(b.peerLoads, peer)
	} else {
		b.peerLoads[peer] = loads
	}
	b.fleetMu.Unlock()
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for id := range old {
			if s := p.servers[id]; s != nil && loads[id] == (Load{}) {
				s.setPeerLoads(peer, Load{})
			}
		}
		for id, l := range loads {
			if s := p.servers[id]; s != nil {
				s.setPeerLoads(peer, l)
			}
		}
		p.mu.Unlock()
	}
}

// ExpirePeerLoads forgets the loads of instances that have not reported for
// peerLoadTime: they have left or lost their requests.
func (b *Balancer) ExpirePeerLoads(now time.Time) {
	b.fleetMu.Lock()
	var silent []fleet.InstanceID
	for peer, at := range b.lastReport {
		if now.Sub(at) >= peerLoadTTL {
			silent = append(silent, peer)
			delete(b.lastReport, peer)
		}
	}
	b.fleetMu.Unlock()
	for _, peer := range silent {
		b.setPeerLoads(peer, nil)
	}
}

// RetainOnlyPeer forgets the loads of all instances but one.
func (b *Balancer) RetainOnlyPeer(kept fleet.InstanceID) {
	b.fleetMu.Lock()
	var others []fleet.InstanceID
	for peer := range b.peerLoads {
		if peer != kept {
			others = append(others, peer)
		}
	}
	b.fleetMu.Unlock()
	for _, peer := range others {
		b.setPeerLoads(peer, nil)
	}
}

// Totals returns the work of all instances at the servers, as far as known.
func (b *Balancer) Totals() map[fleet.ServerID]Load {
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
func (b *Balancer) PeerLoads(peer fleet.InstanceID) map[fleet.ServerID]Load {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.peerLoads[peer]
}

// PeerLoadsOf returns the work that the chosen instances reported.
func (b *Balancer) PeerLoadsOf(chosen func(fleet.InstanceID) bool) map[fleet.ServerID]Load {
	out := map[fleet.ServerID]Load{}
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	for peer, loads := range b.peerLoads {
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
