package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// coldLimiter is this instance's part of the requests to a cold server. Cold servers
// crash above their rate, summed over all instances, so that each instance keeps
// a distance between its own sends; no message is needed for it.
type coldLimiter struct {
	self      fleet.InstanceID
	instances []fleet.InstanceID
}

// minColdInstances is the least number of instances to share with. An instance that sees
// only itself may be cut off from peers that send as well.
const minColdInstances = 3

// coldFactor and coldSlack are how far the requests of a single second may exceed
// the rate of a cold server, as the users state it.
const (
	coldBurstFactor = 1.5
	coldBurstSlack  = 5
)

// SetInstances tells which instances send requests, this one included.
func (b *Balancer) SetInstances(self fleet.InstanceID, all []fleet.InstanceID) {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	b.cold = coldLimiter{self: self, instances: append([]fleet.InstanceID(nil), all...)}
}

func (b *Balancer) coldLimiter() coldLimiter {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.cold
}

// minInterval is the distance between two sends of this instance to a cold server, and
// false when the instance is not among those that may send to it. With more
// instances than requests a second, one request of each within the same second
// would already be too many, so that only some of them send.
func (c coldLimiter) minInterval(server uint64, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, true
	}
	n := max(minColdInstances, len(c.instances))
	if senders := max(1, int(math.Floor(rate))); n > senders {
		if !c.isSender(server, senders) {
			return 0, false
		}
		n = senders
	}
	// The distance must not let a second send into a second in which all others
	// send as well.
	each := math.Floor((coldBurstFactor*rate + coldBurstSlack) / float64(n))
	gap := max(float64(n)/rate, 1/max(1, each))
	return time.Duration(math.Ceil(gap * float64(time.Second))), true
}

// isSender reports whether this instance is one of the n that rank first for the server.
func (c coldLimiter) isSender(server uint64, n int) bool {
	self := fleet.Mix(server, fleet.HashID(string(c.self)))
	for _, id := range c.instances {
		if id != c.self && fleet.Mix(server, fleet.HashID(string(id))) > self {
			n--
		}
	}
	return n > 0
}

func (s *serverState) cold(now time.Time) bool { return now.Before(s.ColdUntil) }
