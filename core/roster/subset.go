package roster

import (
	"cmp"
	"slices"

	"cyclamenhitch/core/fleet"
)

// Subset returns at most limit of the instances, ordered by bandwidth and, where it is
// equal, by rendezvous hashing with key. All that see the same instances choose the same
// subset, each key gives a different one, and it changes little when an instance joins or
// leaves.
func Subset(instances []Peer, key string, limit int) []Peer {
	if len(instances) <= limit {
		return instances
	}
	seed := fleet.HashID("subset/" + key)
	out := slices.Clone(instances)
	slices.SortFunc(out, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(fleet.Mix(seed, fleet.HashID(string(b.ID))), fleet.Mix(seed, fleet.HashID(string(a.ID)))))
	})
	return out[:limit]
}
