package edge

import (
	"strings"
	"time"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
)

// applyDemand applies the demand in a report in the same way as its loads. When roles change,
// an instance can be counted twice until the older report expires; that leaves the shares as
// they are, because completions and demand are counted alike.
func (rl *relay) applyDemand(now time.Time, r *gossip.Report, relaying, local, fromSource bool) {
	if relaying && local || !rl.roster.IsLarge() {
		rl.pacers.applyPeer(now, r.From.ID, r.Demand)
	}
	if r.Digest == nil || !fromSource {
		return
	}
	switch {
	case !local && relaying:
		rl.pacers.applyPeer(now, dataCentrePrefix+fleet.InstanceID(r.From.DataCentre), r.Digest.Demand)
	case local && !relaying:
		rl.pacers.applyPeer(now, wholeFleet, r.Digest.Demand)
	}
}

// fleetDemand returns the demand of all instances except the receiver.
func (rl *relay) fleetDemand(now time.Time, to fleet.InstanceID) map[fleet.PoolID]pacing.Report {
	return rl.pacers.sum(now, func(id fleet.InstanceID) bool { return id != to && id != wholeFleet })
}

// dataCentreDemand returns the demand of the instances of this data centre.
func (rl *relay) dataCentreDemand(now time.Time) map[fleet.PoolID]pacing.Report {
	return rl.pacers.sum(now, func(id fleet.InstanceID) bool { return !strings.HasPrefix(string(id), "/") })
}
