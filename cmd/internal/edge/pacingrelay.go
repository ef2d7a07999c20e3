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

// roundDemand holds the sums of the demand for the digests of one round. A sum takes about a
// millisecond with 125 members, too long for each of their digests.
type roundDemand struct {
	fleet, dataCentre       map[fleet.PoolID]pacing.Report
	hasFleet, hasDataCentre bool
}

// fleetDemand returns the demand of all instances except the receiver.
func (d *roundDigests) fleetDemand(to fleet.InstanceID) map[fleet.PoolID]pacing.Report {
	return d.relay.pacers.without(d.now, d.fleetDemandSum(), to)
}

// fleetDemandSum returns the demand of all instances, which takes more space than any digest's.
func (d *roundDigests) fleetDemandSum() map[fleet.PoolID]pacing.Report {
	if !d.demand.hasFleet {
		d.demand.hasFleet = true
		d.demand.fleet = d.relay.pacers.sum(d.now, func(id fleet.InstanceID) bool { return id != wholeFleet })
	}
	return d.demand.fleet
}

// dataCentreDemand returns the demand of the instances of this data centre.
func (d *roundDigests) dataCentreDemand() map[fleet.PoolID]pacing.Report {
	pacers := d.relay.pacers
	if !d.demand.hasDataCentre {
		d.demand.hasDataCentre = true
		sum := pacers.sum(d.now, func(id fleet.InstanceID) bool { return !strings.HasPrefix(string(id), "/") })
		d.demand.dataCentre = pacers.without(d.now, sum, "")
	}
	return d.demand.dataCentre
}
