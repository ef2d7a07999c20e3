package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// peerLoadTTL is how long a peer's reported load is valid without a newer report.
const peerLoadTTL = 3 * time.Second

// setPeerLoads replaces the load of another instance at the server.
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

// SetPeerLoads applies a load report of another instance. Servers missing from the
// report carry none of its load. The caller must not modify loads afterwards.
func (b *Balancer) SetPeerLoads(peer fleet.InstanceID, now time.Time, loads map[fleet.ServerID]Load) {
	b.fleetMu.Lock()
	b.lastReport[peer] = now
	b.brittleFleet.OnReport(now)
	b.fleetMu.Unlock()
	b.setPeerLoads(peer, loads)
}

// setPeerLoads visits only the servers of the previous and the new report, because
// relays in large fleets process hundreds of reports per second.
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

// ExpirePeerLoads removes the loads of instances that have not reported for
// peerLoadTTL: they have left, or their requests are lost. It is called in each round of
// reports.
func (b *Balancer) ExpirePeerLoads(now time.Time) {
	b.fleetMu.Lock()
	b.brittleFleet.OnRound(now)
	var expired []fleet.InstanceID
	for peer, at := range b.lastReport {
		if now.Sub(at) >= peerLoadTTL {
			expired = append(expired, peer)
			delete(b.lastReport, peer)
		}
	}
	b.fleetMu.Unlock()
	for _, peer := range expired {
		b.setPeerLoads(peer, nil)
	}
}

// RetainOnlyPeer removes the loads of all instances except one.
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

// Totals returns the known load of all instances at each server.
func (b *Balancer) Totals() map[fleet.ServerID]Load {
	out := map[fleet.ServerID]Load{}
	round := b.roundTime()
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.list {
			l := s.reportedLoad(round)
			l.Running, l.Unread = l.Running+s.peerLoad.Running, l.Unread+s.peerLoad.Unread
			if l != (Load{}) {
				out[s.ID] = l
			}
		}
		p.mu.Unlock()
	}
	return out
}

// PeerLoads returns the loads that another instance reported. The map must not be
// modified.
func (b *Balancer) PeerLoads(peer fleet.InstanceID) map[fleet.ServerID]Load {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.peerLoads[peer]
}

// PeerLoadsOf returns the sum of the loads that the chosen instances reported.
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
