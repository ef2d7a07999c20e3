package roster

import (
	"cmp"
	"slices"

	"cyclamenhitch/core/fleet"
)

// Subset returns up to most of the instances. Those with most bandwidth come first, the
// others by rendezvous hashing with key: all that see the same instances choose the same
// ones, each key other ones, and few choices change when an instance comes or goes.
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
