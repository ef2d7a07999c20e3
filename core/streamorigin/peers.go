package streamorigin

import (
	"slices"

	"cyclamenhitch/core/fleet"
)

// PeerView is what a peer knows of the versions that serve.
type PeerView struct {
	// ReadsStore is set if the peer has read the server entries from the store just now.
	ReadsStore bool `json:"reads_store"`
	// Versions are those that may have begun streams of each pool. A pool that the peer does not
	// know is missing.
	Versions map[fleet.PoolID][]string `json:"versions"`
}

// NoneNewer reports whether peers show that the store answers nobody and that no version but
// the given one has joined a pool. instances is the size of the fleet, live how many peers are
// heard, asked how many of them were asked. An instance that hears less than half of the fleet,
// or no peer that knows the pool, may be cut off alone.
func NoneNewer(pool fleet.PoolID, version string, instances, live, asked int, views []PeerView) bool {
	if instances <= 1 && live == 0 {
		return true
	}
	informed := 0
	for _, v := range views {
		known := v.Versions[pool]
		if v.ReadsStore || slices.ContainsFunc(known, func(other string) bool { return other != version }) {
			return false
		}
		if len(known) > 0 {
			informed++
		}
	}
	return informed > 0 && 2*informed >= asked && 2*(live+1) > instances
}
