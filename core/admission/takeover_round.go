package admission

import (
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// stepRound starts a round for waiting engines that are in none, and returns the
// instances to ask.
func (k *Takeover) stepRound(now time.Time, waiting []fleet.ServerID) []fleet.InstanceID {
	if len(waiting) == 0 || k.recentlyStarted(now) || !k.oneDataCentreDied(now, k.groups) {
		return nil
	}
	// Engines whose first reports come soon after each other share a round.
	age := now.Sub(k.round.started)
	if age >= queryRetryInterval && (k.round.done || slices.ContainsFunc(waiting, func(s fleet.ServerID) bool { return !k.round.servers[s] })) || age >= maxRoundAge {
		k.startRound(now, waiting)
	}
	if k.round.done {
		return nil
	}
	var to []fleet.InstanceID
	for i := range k.table.View.Members { // in a fixed order
		id := k.table.View.Members[i].ID
		if at, ok := k.round.pending[id]; ok && now.Sub(at) >= queryRetryInterval {
			k.round.pending[id] = now
			to = append(to, id)
		}
	}
	return to
}

func (k *Takeover) startRound(now time.Time, waiting []fleet.ServerID) {
	k.deny(now)
	k.round = round{number: k.round.number + 1, started: now, servers: map[fleet.ServerID]bool{}, pending: map[fleet.InstanceID]time.Time{}}
	for _, s := range waiting {
		k.round.servers[s] = true
	}
	for i := range k.table.View.Members {
		m := &k.table.View.Members[i]
		if m.ID != k.ledger.self && (k.groups[m.DataCentre] || m.Region == k.self.Region) {
			k.round.pending[m.ID] = time.Time{}
		}
	}
}

// oneDataCentreDied reports whether the members that disappeared within
// HandoverWait were all in one data centre and had support. Members of two data
// centres could be cut off together and support each other, and a member that had
// no support yet does not end its grants when it is cut off.
func (k *Takeover) oneDataCentreDied(now time.Time, groups map[fleet.DataCentreID]bool) bool {
	var dc fleet.DataCentreID
	for id, g := range k.departed {
		if now.Sub(g.at) > HandoverWait || !groups[g.dc] || k.table.View.Find(id) != nil {
			continue
		}
		if !g.settled || dc != "" && dc != g.dc {
			return false
		}
		dc = g.dc
	}
	return true
}

// HandleAnswer takes the answer to a query that was sent at a time. With the last
// confirmation, the engines of the round may be granted from ContactLimit later
// on, once a report from after that time shows what they carry.
func (k *Takeover) HandleAnswer(now, sent time.Time, from fleet.InstanceID, q Query, a QueryAnswer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.Supports {
		k.recordSupport(now, sent, from)
	}
	if _, open := k.round.pending[from]; !open || !a.Confirmed || q.Round != k.round.number {
		return
	}
	delete(k.round.pending, from)
	for s, held := range a.Held {
		k.ledger.Sync(now, from, s, held)
	}
	// Without support, nothing would stop this instance when it is cut off.
	if len(k.round.pending) > 0 || k.ledger.leaseExpiry().IsZero() {
		return
	}
	k.round.done = true
	k.pollAt = now.Add(SupportLifetime + maxGrantDelay)
	for s := range k.round.servers {
		k.ledger.setExclusiveFrom(s, now.Add(SupportLifetime+maxGrantDelay))
	}
}

// PollDue reports that a report can end a wait now, each pollAgain until one did.
func (k *Takeover) PollDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pollAt.IsZero() || now.Before(k.pollAt) {
		return false
	}
	if !k.ledger.awaitsReport(now) {
		k.pollAt = time.Time{}
		return false
	}
	k.pollAt = now.Add(pollInterval)
	return true
}
