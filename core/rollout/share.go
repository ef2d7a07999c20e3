package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// safeFraction is the part of the share that instances use. The rest covers requests that
	// were counted and never reached the pool.
	safeFraction = 0.8
	// lowLoadFraction is that part if the observed servers get less than lowLoad of the load of
	// the old ones, as in pools of few servers. A fault under load then shows in the move only,
	// and the rest of the share is kept for it.
	lowLoadFraction = 0.4
	lowLoad         = 0.5
	// maxCredit limits the sends that an instance makes up for when the new servers could not
	// take requests before.
	maxCredit = 3
	// minTestServers is the least number of new servers that are observed, if that many exist:
	// a fault of one server alone must not count against the version.
	minTestServers = 3
)

// moveSteps are the parts of the requests that go to the new version, from fractions of the
// move's time on. The first step is small, because a version that fails only at a higher load
// than observed fails in it.
var moveSteps = []struct{ from, part float64 }{{0, 0.2}, {0.2, 0.5}, {0.4, 1}}

// moveTime returns the length of the move.
func (c Config) moveTime(o Order) time.Duration {
	return min(c.MaxMove, time.Duration(c.MoveShare*float64(o.Duration)))
}

// classify updates the treatment of the servers. The caller holds the lock.
func (p *pool) classify(cfg Config) {
	p.classes = make(map[fleet.ServerID]class, len(p.servers))
	p.restricted = false
	old := 0
	var fresh []Server
	for id, s := range p.servers {
		switch {
		case p.ordered && s.Version == p.order.To && !p.excluded[s.Version]:
			p.classes[id] = classNew
			fresh = append(fresh, s)
			p.restricted = true
		case p.excluded[s.Version], !p.inUse[s.Version]:
			p.classes[id] = classHeld
			p.restricted = true
		case p.phase == Completed && s.StartMillis > p.phaseAt.UnixMilli():
			// It was started after the other servers were given up.
			p.classes[id] = classNew
			fresh = append(fresh, s)
			p.restricted = true
		default:
			if s.Taking {
				old++
			}
		}
	}
	if len(fresh) == len(p.servers) && !p.bad {
		p.restricted = false // there is nothing to move from
	}
	slices.SortFunc(fresh, func(a, b Server) int {
		if a.Taking != b.Taking {
			return map[bool]int{true: -1, false: 1}[a.Taking]
		}
		// The hash is the same on all instances.
		return cmp.Compare(fleet.HashID(string(a.ID)), fleet.HashID(string(b.ID)))
	})
	n := max(minTestServers, int(math.Ceil(safeFraction*cfg.Share*float64(old))))
	n = min(n, len(fresh))
	for _, s := range fresh[:n] {
		p.classes[s.ID] = classTest
	}
	p.fraction = safeFraction
	if safeFraction*cfg.Share*float64(old) < lowLoad*float64(n) {
		p.fraction = lowLoadFraction
	}
}

// Choice is the decision to which servers one attempt may go.
type Choice struct {
	p       *pool
	classes map[fleet.ServerID]class
	// allowed and fallback are bit sets of classes. fallback applies if no allowed server
	// takes requests.
	allowed, fallback uint8
	// begun are the classes whose servers may continue streams that began at their version.
	begun uint8
	// taken is set if the choice has taken credit.
	taken bool
	// onlyWithout restricts the fallback to the case that no allowed server may receive work:
	// full ones are no reason to use a version whose order was removed.
	onlyWithout bool
	row         uint64
}

func bit(c class) uint8 { return 1 << c }

// Excludes reports whether the attempt may not go to the server.
func (c *Choice) Excludes(id fleet.ServerID) bool { return c.excludes(id, c.allowed) }

// Filter returns Excludes, or nil if the attempt may go to all servers.
func (c *Choice) Filter() func(fleet.ServerID) bool {
	if c == nil {
		return nil
	}
	return c.Excludes
}

// ExcludesFallback is Excludes for the case that no other server takes requests.
func (c *Choice) ExcludesFallback(id fleet.ServerID) bool { return c.excludes(id, c.fallback) }

// HoldsBack reports whether the server may not even continue streams that began at its version.
// They may go on at a version that gets few new requests, but not at one that gets none.
func (c *Choice) HoldsBack(id fleet.ServerID) bool { return c.excludes(id, c.begun) }

// HasFallback reports whether the fallback allows other servers. without is set if no allowed
// server may receive work, not set if those that may are full or late.
func (c *Choice) HasFallback(without bool) bool {
	return c != nil && c.fallback != 0 && c.fallback != c.allowed && (without || !c.onlyWithout)
}

func (c *Choice) excludes(id fleet.ServerID, allowed uint8) bool {
	return allowed&bit(c.classes[id]) == 0
}

// Choose decides to which servers an attempt may go; nil means to all. key is a hash of the
// request. first is set for the first attempt of a request.
func (t *Tracker) Choose(now time.Time, id fleet.PoolID, key uint64, first bool) *Choice {
	t.mu.RLock()
	p := t.pools[id]
	t.mu.RUnlock()
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.restricted {
		return nil
	}
	const fresh = 1<<classNew | 1<<classTest
	old := bit(classOld)
	c := &Choice{p: p, classes: p.classes, row: p.order.Row, begun: old | fresh}
	switch {
	case !p.ordered, p.phase == RolledBack, p.bad && p.phase != Completed:
		c.allowed, c.begun = old, old
	case p.phase == Completed:
		c.allowed, c.fallback = fresh, old
	case p.removed:
		c.allowed, c.fallback, c.onlyWithout = old, fresh, true
	case p.phase == Moving && float64(fleet.Mix(key, p.order.Row)>>11)/(1<<53) < p.movedPart(t.cfg, now):
		c.allowed, c.fallback = fresh, old
	case first && p.known && (p.phase == None || p.phase == Observing) && p.credit >= 1:
		p.credit--
		c.taken = true
		c.allowed, c.fallback = bit(classTest), old
	default:
		c.allowed = old
	}
	return c
}

// contactTimeout is the time without a word of the store or a peer after which an instance does
// not raise the part of the requests that it sends to the new version.
const contactTimeout = 1500 * time.Millisecond

// movedPart returns the part of the requests that goes to the new version in the move.
func (p *pool) movedPart(cfg Config, now time.Time) float64 {
	if end := p.heardAt.Add(contactTimeout); now.After(end) {
		now = end
	}
	done := float64(now.Sub(p.phaseAt)) / float64(max(1, cfg.moveTime(p.order)))
	part := 0.0
	for _, s := range moveSteps {
		if done >= s.from {
			part = s.part
		}
	}
	if p.doubtful || now.Before(p.doubtUntil) {
		part = min(part, moveSteps[0].part)
	}
	return part
}

// Placed records that the attempt was sent to a server. first is set for the first attempt of
// the request.
func (t *Tracker) Placed(c *Choice, server fleet.ServerID, first bool) {
	if c == nil {
		return
	}
	p := c.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.order.Row != c.row {
		return // the credit was given anew with the order
	}
	if first && p.ordered {
		p.credit = min(maxCredit, p.credit+p.fraction*t.cfg.Share)
	}
	if c.taken && p.classes[server] == classOld {
		p.credit++
	}
	c.taken = false
}

// Abandon records that the attempt was sent to no server.
func (t *Tracker) Abandon(c *Choice) {
	if c == nil || !c.taken {
		return
	}
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if c.p.order.Row == c.row {
		c.p.credit++
	}
	c.taken = false
}
