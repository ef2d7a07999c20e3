package roster

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// directFleet is the largest fleet whose instances report to all others. Beyond it
	// reports to all take more datagrams than reportRate allows in LeastInterval.
	directFleet = 40
	// relaysEach is how many instances of a data centre relay reports, so that one of
	// them may fail unnoticed.
	relaysEach = 2
	// relayGrace is how much longer than a silent relay the instances count as live
	// that it told of: until the next relay answers.
	relayGrace = 2 * time.Second
	// retrySilent is the time between two tries of an instance that does not answer.
	retrySilent = 10 * time.Second
	// forgetAfter is after how many silent times an instance is forgotten.
	forgetAfter = 10
)

// Target is an instance to report to.
type Target struct {
	ID      fleet.InstanceID
	Address string
	// OmitLoads says that it takes loads from another relay.
	OmitLoads bool
}

// Plan says to whom an instance reports in one round.
type Plan struct {
	// All are the instances of a small fleet. The other lists are then empty.
	All []Target
	// Relays are those of the own data centre; they are asked for digests of the fleet.
	Relays []Target
	// Members asked this instance for digests of the fleet.
	Members []Target
	// Remote are the relays of other data centres, which get digests of this one. Only
	// relays have them.
	Remote []Target
	// Relaying says that this instance is a relay of its data centre.
	Relaying bool
}

// IsRelay reports whether an instance is another relay of the own data centre.
func (p *Plan) IsRelay(id fleet.InstanceID) bool {
	return slices.ContainsFunc(p.Relays, func(t Target) bool { return t.ID == id })
}

// Recipients is the number of digests in a round.
func (p *Plan) Recipients() int { return len(p.All) + len(p.Members) + len(p.Remote) }

// Plan decides to whom this instance reports now and brings the member list up to date.
func (r *Roster) Plan(now time.Time, self Peer) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := r.silent()
	r.refresh(now, silent, self.DataCentre)
	if r.size() <= r.direct {
		return Plan{All: byID(r.everybody(now, silent))}
	}
	var p Plan
	near := r.candidates(now, silent, self, func(dc fleet.DataCentreID) bool { return dc == self.DataCentre })
	p.Relays = r.report(now, choose(near[self.DataCentre], r.self))
	p.Relaying = slices.ContainsFunc(p.Relays, func(t Target) bool { return t.ID == r.self })
	p.Relays = slices.DeleteFunc(p.Relays, func(t Target) bool { return t.ID == r.self })
	if p.Relaying {
		far := r.candidates(now, silent, self, func(dc fleet.DataCentreID) bool { return dc != self.DataCentre })
		for _, group := range far {
			p.Remote = append(p.Remote, r.report(now, choose(group, r.self))...)
		}
	}
	for id, e := range r.peers {
		if now.Sub(e.wants) < silent {
			p.Members = append(p.Members, Target{id, e.Peer.Peer, e.spare})
		}
	}
	byID(p.Members)
	byID(p.Remote)
	return p
}

func byID(list []Target) []Target {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// WouldRelay reports whether this instance is a relay of its data centre as far as the
// listed and the live instances tell.
func (r *Roster) WouldRelay(now time.Time, self Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := r.candidates(now, r.silent(), self, func(dc fleet.DataCentreID) bool { return dc == self.DataCentre })
	return slices.ContainsFunc(choose(near[self.DataCentre], r.self), func(c candidate) bool { return c.ID == r.self })
}

// report notes that the instances are reported to from now on.
func (r *Roster) report(now time.Time, to []candidate) []Target {
	out := make([]Target, len(to))
	for i, c := range to {
		out[i] = Target{ID: c.ID, Address: c.address}
		if e := r.peers[c.ID]; e != nil {
			out[i].OmitLoads = e.spare
		}
		if !c.heard && !c.trying {
			r.tried[c.ID] = attempt{now, c.again}
		}
	}
	return out
}

// everybody returns the instances that are listed or heard from.
func (r *Roster) everybody(now time.Time, silent time.Duration) []Target {
	out := make([]Target, 0, len(r.listed))
	for id, l := range r.listed {
		if id != r.self {
			out = append(out, Target{ID: id, Address: l.Peer})
		}
	}
	for id, e := range r.peers {
		if _, ok := r.listed[id]; !ok && now.Sub(e.heard) < silent {
			out = append(out, Target{ID: id, Address: e.Peer.Peer})
		}
	}
	return out
}

// candidate is an instance that may be a relay.
type candidate struct {
	Peer
	address string
	// heard says that it answers.
	heard bool
	// again says that an earlier attempt failed, trying that one goes on, which began
	// at since.
	again, trying bool
	since         time.Time
}

// attempt is a try of an instance that is not heard.
type attempt struct {
	since time.Time
	// again says that an earlier one failed.
	again bool
}

// candidates returns the instances of some data centres that may be relays: live ones
// and listed ones that do not answer yet.
func (r *Roster) candidates(now time.Time, silent time.Duration, self Peer, of func(fleet.DataCentreID) bool) map[fleet.DataCentreID][]candidate {
	groups := map[fleet.DataCentreID][]candidate{}
	add := func(c candidate) { groups[c.DataCentre] = append(groups[c.DataCentre], c) }
	if !self.Leaving && of(self.DataCentre) {
		add(candidate{Peer: self, address: self.Peer, heard: true})
	}
	for _, e := range r.peers {
		if e.Leaving || !of(e.DataCentre) || !e.isLive(now, silent) {
			continue
		}
		c := candidate{Peer: e.Peer, address: e.Peer.Peer, heard: now.Sub(e.heard) < silent}
		if c.heard || r.tryable(now, &c, e, silent) {
			add(c)
		}
	}
	for id, l := range r.listed {
		if id == r.self || !of(l.DataCentre) {
			continue
		}
		e := r.peers[id]
		if e != nil && e.isLive(now, silent) {
			continue
		}
		c := candidate{Peer: Peer{ID: id, DataCentre: l.DataCentre, LinkMbps: l.LinkMbps}, address: l.Peer}
		if r.tryable(now, &c, e, silent) {
			add(c)
		}
	}
	return groups
}

// tryable reports whether an instance that is not heard may be reported to, and notes
// in c how far earlier attempts went.
func (r *Roster) tryable(now time.Time, c *candidate, e *entry, silent time.Duration) bool {
	a, tried := r.tried[c.ID]
	if !tried && e != nil && !e.heard.IsZero() {
		a, tried = attempt{since: e.heard}, true
	}
	if !tried {
		return true
	}
	c.since, c.again = a.since, a.again
	switch age := now.Sub(a.since); {
	case age < silent:
		c.trying = true
		return true
	case age < retrySilent:
		return false
	}
	c.again = true
	return true
}

// choose returns the instances of a data centre to report to: the first relaysEach that
// are heard, and a few before them that may answer. Repeated attempts neither take the
// place of a relay that is heard nor of this instance.
func choose(group []candidate, self fleet.InstanceID) []candidate {
	slices.SortFunc(group, func(a, b candidate) int { return byRank(a.Peer, b.Peer) })
	var out, again []candidate
	heard, ahead := 0, 0
	for _, c := range group {
		if heard == relaysEach {
			break
		}
		switch {
		case c.again:
			again = append(again, c)
			continue
		case ahead-heard >= relaysEach && !c.heard, c.ID == self && ahead >= relaysEach:
			continue
		case c.heard:
			heard++
		}
		ahead++
		out = append(out, c)
	}
	// Those that go on first, then the ones that were tried longest ago.
	slices.SortFunc(again, func(a, b candidate) int {
		if a.trying != b.trying {
			return boolRank(a.trying) - boolRank(b.trying)
		}
		return a.since.Compare(b.since)
	})
	return append(out, again[:min(len(again), relaysEach)]...)
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// byRank orders instances by how well they suit to relay reports and to read the store
// for others, the best first. With one order the reader of a data centre is one of its
// relays, whose reports its members hear directly.
func byRank(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rankHash(b.ID), rankHash(a.ID)))
}

func rankHash(id fleet.InstanceID) uint64 { return fleet.HashID("relay/" + string(id)) }

// LoadSource returns the relay whose digests count for a data centre: the best ranked one
// that was heard lately and knows the loads. Counting several would count work twice.
func (r *Roster) LoadSource(now time.Time, dc fleet.DataCentreID) (fleet.InstanceID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	silent := r.silent()
	var best *entry
	for id, l := range r.lists {
		e := r.peers[id]
		if e == nil || l.partial || e.DataCentre != dc || now.Sub(l.at) >= silent || now.Sub(e.heard) >= silent {
			continue
		}
		if best == nil || byRank(e.Peer, best.Peer) < 0 {
			best = e
		}
	}
	if best == nil {
		return "", false
	}
	return best.ID, true
}

// HasOtherLoadSource reports whether loads are taken from another relay of the data centre of a
// relay, so that it need not send them.
func (r *Roster) HasOtherLoadSource(now time.Time, relay fleet.InstanceID) bool {
	r.mu.Lock()
	e := r.peers[relay]
	r.mu.Unlock()
	if e == nil {
		return false
	}
	source, ok := r.LoadSource(now, e.DataCentre)
	return ok && source != relay
}
