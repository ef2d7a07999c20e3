package roster

import (
	"maps"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// maxReaders limits the instances that read the store on behalf of the fleet. Up to this
// many data centres have their own reader, which spreads the followers. With 3 readers,
// the followers of two data centres overloaded the reader of another one.
const maxReaders = 8

// Readers returns the instances that read the store for all others: at most one per data
// centre, the one of self's data centre first. Instances with more bandwidth are
// preferred because a reader forwards each change to all its followers. Instances that
// see the same peers choose the same readers. The result is empty while no instance is
// known to reach the store.
func (r *Roster) Readers(now time.Time, self Peer) []Peer {
	return r.readers(now, self, func(p Peer) bool { return p.ReadsStore })
}

// WouldRead reports whether self would be a reader if every instance reached the store.
func (r *Roster) WouldRead(now time.Time, self Peer) bool {
	return slices.ContainsFunc(r.readers(now, self, func(Peer) bool { return true }), func(p Peer) bool { return p.ID == self.ID })
}

// WouldBeReaders returns the peers that would read for all others if every instance reached the
// store. While none does, they know what was read last.
func (r *Roster) WouldBeReaders(now time.Time, self Peer) []Peer {
	return slices.DeleteFunc(r.readers(now, self, func(Peer) bool { return true }), func(p Peer) bool { return p.ID == self.ID })
}

func (r *Roster) readers(now time.Time, self Peer, reads func(Peer) bool) []Peer {
	best := map[fleet.DataCentreID]Peer{}
	for _, p := range append(r.Live(now), self) {
		if !reads(p) || p.Leaving {
			continue
		}
		if b, ok := best[p.DataCentre]; !ok || byRank(p, b) < 0 {
			best[p.DataCentre] = p
		}
	}
	out := slices.Collect(maps.Values(best))
	slices.SortFunc(out, byRank)
	out = out[:min(len(out), maxReaders)]
	slices.SortStableFunc(out, func(a, b Peer) int {
		if (a.DataCentre == self.DataCentre) == (b.DataCentre == self.DataCentre) {
			return 0
		}
		if a.DataCentre == self.DataCentre {
			return -1
		}
		return 1
	})
	return out
}
