package edge

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cyclamenhitch/adapters/tunnel"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/roster"
)

// ownDataCentreWeight is how much more often a peer of the own data centre is asked for connections
// to servers than one of another. More would leave all of them to few where most of the data
// centre is cut off.
const ownDataCentreWeight = 2

// tunnelPeers returns the live peers in the region, in a random order. Bodies of requests may not
// go to other regions.
func (p *peers) tunnelPeers(now time.Time) []roster.Peer {
	inRegion := p.regionDataCentres()
	type ranked struct {
		roster.Peer
		key float64
	}
	var found []ranked
	for _, peer := range p.roster.Live(now) {
		if peer.Leaving || peer.Peer == "" || !inRegion[peer.DataCentre] {
			continue
		}
		key := rand.ExpFloat64()
		if peer.DataCentre == p.set.DataCentre {
			key /= ownDataCentreWeight
		}
		found = append(found, ranked{peer, key})
	}
	slices.SortFunc(found, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	out := make([]roster.Peer, len(found))
	for i, f := range found {
		out[i] = f.Peer
	}
	return out
}

// isAlone reports whether the region has no other instance. One that hears no peer may be cut off.
func (p *peers) isAlone() bool {
	inRegion := p.regionDataCentres()
	for id, l := range p.roster.Listed() {
		if id != p.set.Instance && inRegion[l.DataCentre] {
			return false
		}
	}
	return len(p.tunnelPeers(time.Now())) == 0
}

// regionDataCentres returns the data centres that are known to be in the region of this instance.
func (p *peers) regionDataCentres() map[fleet.DataCentreID]bool {
	out := map[fleet.DataCentreID]bool{p.set.DataCentre: true}
	for _, l := range p.roster.Listed() {
		if l.Region == p.set.Region {
			out[l.DataCentre] = true
		}
	}
	return out
}

// atKnownAddress returns the error of an open. A peer whose view is older may have connected to an
// address that the server no longer has, which says nothing about the server.
func (l *instanceLinks) atKnownAddress(server fleet.ServerID, err error) error {
	var te *tunnel.Error
	if !isServerFault(err) || !errors.As(err, &te) || !differ(te.Address, l.address(server)) {
		return err
	}
	return &tunnel.Error{Reason: tunnel.ServerUnknown, Peer: te.Peer, Server: server, Address: te.Address, Detail: fmt.Errorf("%s at another address", te.Reason)}
}

// differ reports whether two host:port addresses are known to differ. Those with names may be equal.
func differ(a, b string) bool {
	x, errX := netip.ParseAddrPort(a)
	y, errY := netip.ParseAddrPort(b)
	return errX == nil && errY == nil && (x.Addr().Unmap() != y.Addr().Unmap() || x.Port() != y.Port())
}
