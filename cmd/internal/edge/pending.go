package edge

import (
	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// pendingItems are items to forward in the next round.
type pendingItems struct {
	placed     []reported[placement.Placement]
	suspicions []reported[placement.Suspicion]
}

// takeRound removes the items of the next round: the newest placements of both lists by
// turns, up to most of them and room bytes, and all suspicions. The newest go first, so that
// the cache contents of engines after a restart do not hold up what is placed now.
func takeRound(local, remote *pendingItems, most, room int) (pendingItems, pendingItems) {
	lists := [...]*pendingItems{local, remote}
	first := [...]int{len(local.placed), len(remote.placed)}
	for taken := true; taken; {
		taken = false
		for i, list := range lists {
			if first[i] == 0 || most == 0 {
				continue
			}
			size := gossip.PlacementSize(&list.placed[first[i]-1].item)
			if size > room {
				continue
			}
			first[i], most, room, taken = first[i]-1, most-1, room-size, true
		}
	}
	return local.cut(first[0]), remote.cut(first[1])
}

// cut removes and returns the placements from index first on, and all suspicions.
func (n *pendingItems) cut(first int) pendingItems {
	out := pendingItems{placed: n.placed[first:], suspicions: n.suspicions}
	n.placed, n.suspicions = n.placed[:first:first], nil
	return out
}

// add queues items of a report. The oldest placements yield when too many are queued.
func (n *pendingItems) add(sender fleet.InstanceID, placed []placement.Placement, suspicions []placement.Suspicion) {
	for _, p := range placed {
		n.placed = append(n.placed, reported[placement.Placement]{sender, p})
	}
	n.placed = n.placed[max(0, len(n.placed)-maxPendingPlacements):]
	for _, s := range suspicions {
		if len(n.suspicions) < maxDigestSuspicions {
			n.suspicions = append(n.suspicions, reported[placement.Suspicion]{sender, s})
		}
	}
}

// reported is an item with the instance that sent it.
type reported[T any] struct {
	sender fleet.InstanceID
	item   T
}
