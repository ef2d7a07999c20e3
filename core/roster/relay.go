package roster

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// maxDirectInstances is the largest fleet in which each instance reports to all others.
	// In a larger one this exceeds maxReportsPerSecond at MinReportInterval.
	maxDirectInstances = 40
	// relaysPerDataCentre is the number of relays per data centre: the failure of one has no
	// visible effect.
	relaysPerDataCentre = 2
	// relayFailoverGrace extends the silence timeout for instances known only through a
	// relay, so that they stay live until another relay takes over.
	relayFailoverGrace = 2 * time.Second
	// silentRetryInterval is the time between two attempts to reach an instance that does not
	// report.
	silentRetryInterval = 10 * time.Second
	// maxOutdated limits the instances that are told of a higher incarnation in one round, which
	// are many if many of a large fleet start again with clocks that were set back.
	maxOutdated = 4
	// forgetTimeouts is the number of silence timeouts after which a peer's state is
	// deleted.
	forgetTimeouts = 10
)

// Target is an instance to report to.
type Target struct {
	ID      fleet.InstanceID
	Address string
	// OmitLoads is set if the target uses the loads of another relay.
	OmitLoads bool
}

// Plan lists the instances that receive reports in one round.
type Plan struct {
	// All lists every other instance of a small fleet. The other lists are then empty.
	All []Target
	// Relays are the other relays of this data centre; reports to them request digests of
	// the whole fleet.
	Relays []Target
	// Members are the instances that requested digests of the whole fleet.
	Members []Target
	// Remote are the relays of other data centres, which receive digests of this one. Only
	// relays have remote targets.
	Remote []Target
	// Outdated are instances that are not listed above and whose reports are ignored because a
	// higher incarnation of them is known. They learn of it from a report.
	Outdated []Target
	// Relaying is set if this instance is a relay of its data centre.
	Relaying bool
}

// IsRelay reports whether an instance is another relay of this data centre.
func (p *Plan) IsRelay(id fleet.InstanceID) bool {
	return slices.ContainsFunc(p.Relays, func(t Target) bool { return t.ID == id })
}

// Recipients is the number of digests in a round.
func (p *Plan) Recipients() int { return len(p.All) + len(p.Members) + len(p.Remote) }

// Plan updates the member list and returns the targets of the reports that are due.
func (r *Roster) Plan(now time.Time, self Peer) Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenceTimeout := r.silenceTimeout()
	r.refreshMembers(now, silenceTimeout, self.DataCentre)
	if r.size() <= r.maxDirect {
		p := Plan{All: byID(r.allTargets(now, silenceTimeout))}
		p.Outdated = r.outdated(now, silenceTimeout, &p)
		return p
	}
	var p Plan
	near := r.candidates(now, silenceTimeout, self, func(dc fleet.DataCentreID) bool { return dc == self.DataCentre })
	p.Relays = r.recordAttempts(now, chooseRelays(near[self.DataCentre], r.self))
	p.Relaying = slices.ContainsFunc(p.Relays, func(t Target) bool { return t.ID == r.self })
	p.Relays = slices.DeleteFunc(p.Relays, func(t Target) bool { return t.ID == r.self })
	if p.Relaying {
		far := r.candidates(now, silenceTimeout, self, func(dc fleet.DataCentreID) bool { return dc != self.DataCentre })
		for _, group := range far {
			p.Remote = append(p.Remote, r.recordAttempts(now, chooseRelays(group, r.self))...)
		}
	}
	for id, e := range r.peers {
		if now.Sub(e.digestWanted) < silenceTimeout {
			p.Members = append(p.Members, Target{id, e.Peer.Peer, e.omitLoads})
		}
	}
	byID(p.Members)
	byID(p.Remote)
	p.Outdated = r.outdated(now, silenceTimeout, &p)
	return p
}

// outdated returns the targets for Plan.Outdated: maxOutdated of those told longest ago.
func (r *Roster) outdated(now time.Time, silenceTimeout time.Duration, p *Plan) []Target {
	var refused []*entry
	for _, e := range r.peers {
		if now.Sub(e.refused) < silenceTimeout {
			refused = append(refused, e)
		}
	}
	slices.SortFunc(refused, func(a, b *entry) int { return cmp.Or(a.toldKnown.Compare(b.toldKnown), cmp.Compare(a.ID, b.ID)) })
	refused = refused[:min(len(refused), maxOutdated)]
	var out []Target
	for _, e := range refused {
		e.toldKnown = now
		isTarget := func(t Target) bool { return t.ID == e.ID && t.Address == e.refusedAddress }
		if !slices.ContainsFunc(slices.Concat(p.All, p.Relays, p.Members, p.Remote), isTarget) {
			out = append(out, Target{ID: e.ID, Address: e.refusedAddress})
		}
	}
	return out
}

func byID(list []Target) []Target {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// WouldRelay reports whether this instance is a relay of its data centre, judged by the
// listed and the live instances.
func (r *Roster) WouldRelay(now time.Time, self Peer) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	near := r.candidates(now, r.silenceTimeout(), self, func(dc fleet.DataCentreID) bool { return dc == self.DataCentre })
	return slices.ContainsFunc(chooseRelays(near[self.DataCentre], r.self), func(c candidate) bool { return c.ID == r.self })
}

// recordAttempts returns the targets of the chosen instances and records a new attempt for
// each that does not report and has no attempt in progress.
func (r *Roster) recordAttempts(now time.Time, to []candidate) []Target {
	out := make([]Target, len(to))
	for i, c := range to {
		out[i] = Target{ID: c.ID, Address: c.address}
		if e := r.peers[c.ID]; e != nil {
			out[i].OmitLoads = e.omitLoads
		}
		if !c.heard && !c.inProgress {
			r.tried[c.ID] = attempt{now, c.failedBefore}
		}
	}
	return out
}

// allTargets returns the instances that are listed or report directly.
func (r *Roster) allTargets(now time.Time, silenceTimeout time.Duration) []Target {
	out := make([]Target, 0, len(r.listed))
	for id, l := range r.listed {
		if id != r.self {
			out = append(out, Target{ID: id, Address: l.Peer})
		}
	}
	for id, e := range r.peers {
		if _, ok := r.listed[id]; !ok && now.Sub(e.heard) < silenceTimeout {
			out = append(out, Target{ID: id, Address: e.Peer.Peer})
		}
	}
	return out
}

// candidate is an instance that may be a relay.
type candidate struct {
	Peer
	address string
	// heard is set if its reports arrive.
	heard bool
	// failedBefore is set if an earlier attempt failed, inProgress if an attempt is under
	// way that began at since.
	failedBefore, inProgress bool
	since                    time.Time
}

// attempt records that an instance whose reports do not arrive is being reported to.
type attempt struct {
	since time.Time
	// failedBefore is set if an earlier attempt failed.
	failedBefore bool
}

// candidates returns the possible relays of the data centres that include selects: live
// instances, and listed ones that have not reported yet.
func (r *Roster) candidates(now time.Time, silenceTimeout time.Duration, self Peer, include func(fleet.DataCentreID) bool) map[fleet.DataCentreID][]candidate {
	groups := map[fleet.DataCentreID][]candidate{}
	add := func(c candidate) { groups[c.DataCentre] = append(groups[c.DataCentre], c) }
	if !self.Leaving && include(self.DataCentre) {
		add(candidate{Peer: self, address: self.Peer, heard: true})
	}
	for _, e := range r.peers {
		if e.Leaving || !include(e.DataCentre) || !e.isLive(now, silenceTimeout) {
			continue
		}
		c := candidate{Peer: e.Peer, address: e.Peer.Peer, heard: now.Sub(e.heard) < silenceTimeout}
		if c.heard || r.mayTry(now, &c, e, silenceTimeout) {
			add(c)
		}
	}
	for id, l := range r.listed {
		if id == r.self || !include(l.DataCentre) {
			continue
		}
		e := r.peers[id]
		if e != nil && e.isLive(now, silenceTimeout) {
			continue
		}
		c := candidate{Peer: Peer{ID: id, DataCentre: l.DataCentre, LinkMbps: l.LinkMbps}, address: l.Peer}
		if r.mayTry(now, &c, e, silenceTimeout) {
			add(c)
		}
	}
	return groups
}

// mayTry reports whether an instance whose reports do not arrive may be reported to, and
// stores the state of earlier attempts in c.
func (r *Roster) mayTry(now time.Time, c *candidate, e *entry, silenceTimeout time.Duration) bool {
	a, tried := r.tried[c.ID]
	if !tried && e != nil && !e.heard.IsZero() {
		a, tried = attempt{since: e.heard}, true
	}
	if !tried {
		return true
	}
	c.since, c.failedBefore = a.since, a.failedBefore
	switch age := now.Sub(a.since); {
	case age < silenceTimeout:
		c.inProgress = true
		return true
	case age < silentRetryInterval:
		return false
	}
	c.failedBefore = true
	return true
}

// chooseRelays returns the instances of a data centre to report to: the best ranked
// relaysPerDataCentre whose reports arrive, and a few that rank above them and may still
// answer. A repeated attempt takes the place neither of a reporting relay nor of this
// instance.
func chooseRelays(group []candidate, self fleet.InstanceID) []candidate {
	slices.SortFunc(group, func(a, b candidate) int { return byRank(a.Peer, b.Peer) })
	var out, failedBefore []candidate
	heard, selected := 0, 0
	for _, c := range group {
		if heard == relaysPerDataCentre {
			break
		}
		switch {
		case c.failedBefore:
			failedBefore = append(failedBefore, c)
			continue
		case selected-heard >= relaysPerDataCentre && !c.heard, c.ID == self && selected >= relaysPerDataCentre:
			continue
		case c.heard:
			heard++
		}
		selected++
		out = append(out, c)
	}
	// Attempts in progress come first, then the instances tried longest ago.
	slices.SortFunc(failedBefore, func(a, b candidate) int {
		if a.inProgress != b.inProgress {
			return boolRank(a.inProgress) - boolRank(b.inProgress)
		}
		return a.since.Compare(b.since)
	})
	return append(out, failedBefore[:min(len(failedBefore), relaysPerDataCentre)]...)
}

func boolRank(first bool) int {
	if first {
		return 0
	}
	return 1
}

// byRank orders instances by their suitability as relays and as store readers, best first.
// Since both roles use one order, the reader of a data centre is one of its relays, whose
// reports the members receive directly.
func byRank(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rankHash(b.ID), rankHash(a.ID)))
}

func rankHash(id fleet.InstanceID) uint64 { return fleet.HashID("relay/" + string(id)) }

// LoadSource returns the relay whose digests supply the loads of a data centre: the best
// ranked one that reported recently and knows the loads. Adding up several relays would
// count requests twice.
func (r *Roster) LoadSource(now time.Time, dc fleet.DataCentreID) (fleet.InstanceID, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loadSource(now, dc)
}

// loadSource is LoadSource for a caller that holds mu.
func (r *Roster) loadSource(now time.Time, dc fleet.DataCentreID) (fleet.InstanceID, bool) {
	silenceTimeout := r.silenceTimeout()
	var best *entry
	for id, l := range r.lists {
		e := r.peers[id]
		if e == nil || l.loadsUnknown || e.DataCentre != dc || now.Sub(l.updatedAt) >= silenceTimeout || now.Sub(e.heard) >= silenceTimeout {
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

// HasOtherLoadSource reports whether this instance takes the loads of the relay's data
// centre from another relay, so that this one need not send them.
func (r *Roster) HasOtherLoadSource(now time.Time, relay fleet.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.peers[relay]
	if e == nil {
		return false
	}
	source, ok := r.loadSource(now, e.DataCentre)
	return ok && source != relay
}
