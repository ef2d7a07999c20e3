package placement

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
)

// coldLimiter computes this instance's share of the requests to a cold server. Cold
// servers crash above their rate, summed over all instances, so each instance keeps a
// minimum interval between its own requests; this needs no communication.
type coldLimiter struct {
	self      fleet.InstanceID
	selfHash  uint64
	instances []fleet.InstanceID
}

// minColdInstances is the minimum number of instances among which the rate is
// divided. An instance that sees only itself may be partitioned from peers that send
// as well.
const minColdInstances = 3

// coldBurstFactor and coldBurstSlack define by how much the requests within one
// second may exceed the rate of a cold server, as stated by the users.
const (
	coldBurstFactor = 1.5
	coldBurstSlack  = 5
)

// SetInstances sets the instances that send requests, including this one.
func (b *Balancer) SetInstances(self fleet.InstanceID, all []fleet.InstanceID) {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	b.brittleFleet.SetInstances(self, all)
	b.cold = coldLimiter{self: self, selfHash: fleet.HashID(string(self)), instances: append([]fleet.InstanceID(nil), all...)}
}

func (b *Balancer) coldLimiter() coldLimiter {
	b.fleetMu.Lock()
	defer b.fleetMu.Unlock()
	return b.cold
}

// minInterval is the minimum interval between two requests of this instance to a cold
// server, and false if the instance may not send to it. With more instances than
// requests per second, one request from each within the same second would exceed the
// rate, so only some of them send.
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
	// The interval must prevent a second request from this instance within a second in
	// which all others send.
	each := math.Floor((coldBurstFactor*rate + coldBurstSlack) / float64(n))
	gap := max(float64(n)/rate, 1/max(1, each))
	return time.Duration(math.Ceil(gap * float64(time.Second))), true
}

// isSender reports whether this instance is among the n that rank first for the
// server.
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
