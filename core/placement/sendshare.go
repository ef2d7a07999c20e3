package placement

import (
	"math"

	"cyclamenhitch/core/fleet"
)

// sendShares limits the share of this instance's requests that goes to one engine. The loads
// that peers report are some hundred ms old. Where many instances send requests that take no
// longer, all of them send to a server that the last reports showed idle, or that caches the
// prompt of a surge, before any learns of the others. A limit of each instance's own share
// needs no recent reports of single servers: if all keep to it, their sum keeps the load
// bound. It is guarded by the lock of its pool.
type sendShares struct {
	// on is set while the limit applies.
	on bool
	// perSend is the credit that each engine earns with each request of this instance, and
	// earned the sum over the requests so far.
	perSend, earned float64
	// most is the credit that an engine can keep: an even part of the bound.
	most float64
	// least is the credit that an engine needs for a request.
	least float64
}

const (
	// usersLoadFactor and usersLoadSlack are the users' bound of a server's load, relative to
	// the mean of its pool.
	usersLoadFactor = 2
	usersLoadSlack  = 3
	// boundDeviations is the distance between the share and the users' bound, in standard
	// deviations of the sum of independent requests: at three the sum exceeds the bound at
	// under 1 in 100 moments.
	boundDeviations = 3
	// minLimitedInstances is the number of instances from which the limit applies. Few
	// instances know most of the load of an engine from their own requests.
	minLimitedInstances = 8
	// minSendCredit limits what an engine has to earn again after requests beyond its
	// share, which it gets if no other engine takes them.
	minSendCredit = -1
)

// partCredit suffices at an engine of the shortlist if none of them has earned a whole
// request, which saves the comparison of all engines.
const partCredit = 0.5

// fallbackCredits are the credits that suffice if no engine has earned a whole request.
var fallbackCredits = [...]float64{partCredit, minSendCredit}

// update derives the limit from the known load of the pool.
func (s *sendShares) update(running, takers, members, instances int) {
	load := float64(running + 1)
	bound := usersLoadFactor*load/float64(max(1, members)) + usersLoadSlack
	if s.on = instances >= minLimitedInstances; !s.on {
		return
	}
	s.most = max(1, bound/float64(instances))
	// The load x is such that x + boundDeviations * sqrt(x) is the bound.
	root := (math.Sqrt(boundDeviations*boundDeviations+4*bound) - boundDeviations) / 2
	s.perSend = min(1, max(root*root/load, evenFactor/float64(max(1, takers))))
}

// sendCredit is the number of requests that this instance may send to an engine.
type sendCredit struct {
	known        bool
	credit, seen float64
}

// allows reports whether the engine has earned the next request. An engine seen for the first
// time starts with a part of a request that differs between instances and engines, so that
// instances with few requests do not send them all at once.
func (c *sendCredit) allows(s *sendShares, server, self uint64) bool {
	if !c.known {
		*c = sendCredit{known: true, credit: float64(fleet.Mix(server, self)>>11) / (1 << 53), seen: s.earned}
	}
	c.credit, c.seen = min(s.most, c.credit+s.earned-c.seen), s.earned
	return c.credit >= s.least
}

// recordSend accounts for a request to an engine. The caller holds the lock.
func (p *pool) recordSend(s *serverState) {
	if p.sendShares.on {
		p.sendShares.earned += p.sendShares.perSend
		s.sendCredit.credit = max(minSendCredit, s.sendCredit.credit-1)
	}
}

// sendLimit returns the limit that applies to a request to the eligible servers; nil means
// none.
func (p *pool) sendLimit(eligible []*serverState, running, takers, members int, c *coldLimiter) *sendShares {
	if !eligible[0].Engine || !p.policy.On(LoadBound) || !p.policy.On(SendShares) {
		return nil
	}
	if p.sendShares.update(running, takers, members, len(c.instances)); !p.sendShares.on {
		return nil
	}
	p.sendShares.least = 1
	return &p.sendShares
}

// mayGet reports whether the server may get the request by the limit.
func (r *ranking) mayGet(s *serverState) bool {
	return r.shares == nil || s.sendCredit.allows(r.shares, s.hash, r.self)
}
