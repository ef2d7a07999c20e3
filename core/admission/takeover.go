package admission

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

const (
	// SupportLifetime is how long an admitter grants after it sent the last call that
	// an instance of another group answered with its support.
	SupportLifetime = 1500 * time.Millisecond
	// supportRenewalAge is the age of the last support from which an admitter asks for
	// more. It is above SyncInterval, because the answers to syncs and exchanges
	// carry support as well.
	supportRenewalAge = 1050 * time.Millisecond
	// supportAcquireTime is the time in which an admitter without support gets some: ten
	// calls.
	supportAcquireTime = 10 * supportQueryInterval
	// memberSettleTime is the time after which a member has support: instances give none
	// for HandoverWait after their start.
	memberSettleTime = HandoverWait + supportAcquireTime
	// queryRetryInterval is the time between two calls to an instance without an answer.
	queryRetryInterval = 200 * time.Millisecond
	// supportQueryInterval is the time between two calls of an admitter without support.
	supportQueryInterval = 250 * time.Millisecond
	// maxRoundAge is the age at which confirmations are asked for again. It is under
	// DenyTime.
	maxRoundAge = 2 * time.Second
	// DenyDuration is how long an instance that confirmed a takeover does not support
	// the instances that it held as dead, at whatever incarnation. It outlasts
	// their support and their handover wait.
	DenyDuration = HandoverWait + 2*SupportLifetime
	// departedRetention is how long members that disappeared are remembered.
	departedRetention = time.Minute
	// pollInterval is the time between two load reports of an engine that only waits
	// for a recent one.
	pollInterval = 250 * time.Millisecond
	// maxGrantDelay is the longest time from a grant to the start of the request.
	maxGrantDelay = 100 * time.Millisecond
	// minGroups is the least number of groups. With two, each would be all the
	// support of the other, and the loss of one would stop the other.
	minGroups = 3
)

// Query asks an instance for its support and, with servers, to confirm that the
// sender is their primary admitter.
type Query struct {
	Holder fleet.InstanceID
	// Round matches answers to the query; it is not sent.
	Round   uint64
	Digest  uint64 // of the members of the sender's groups
	Servers []fleet.ServerID
}

// QueryAnswer is the answer to a Query.
type QueryAnswer struct {
	// Supports says that the sender is a live member to the answering instance
	// and not denied.
	Supports  bool
	Confirmed bool
	Held      map[fleet.ServerID][]HeldPermit // of the answering instance
}

type departedMember struct {
	at time.Time
	dc fleet.DataCentreID
	// settled says that it was a member for settleTime and not denied for
	// supportTime, so that its grants end with its support.
	settled     bool
	established bool // as in isEstablished
}

// round collects the confirmations of one set of members and servers.
type round struct {
	number  uint64
	started time.Time
	servers map[fleet.ServerID]bool
	pending map[fleet.InstanceID]time.Time // without a confirmation; zero before the first query
	done    bool
}

// Takeover ends the handover wait early when every live member of the region
// and of its groups confirms that it sees the same members. The groups of a
// region are its data centres, and one outside when it has two. An admitter
// grants only while some instance of another group than its own supports it. The
// recent deaths must be in one data centre: then an admitter there has no support
// ContactLimit after all live members of the other groups denied theirs, whoever
// of its own data centre is cut off with it.
type Takeover struct {
	ledger *Ledger

	mu          sync.Mutex
	rnd         *rand.Rand
	table       *Table
	self        membership.Member
	groups      map[fleet.DataCentreID]bool
	since       time.Time // when the view began to grow from this instance alone
	lastResumed time.Time
	firstSeen   map[fleet.InstanceID]time.Time // first seen in an unbroken row of views
	departed    map[fleet.InstanceID]departedMember
	deniedUntil map[fleet.InstanceID]time.Time // until then
	lastQuery   time.Time
	pollAt      time.Time // zero when no poll is due
	round       round
}

// NewTakeover returns the takeovers of the instance that owns the ledger.
func NewTakeover(l *Ledger, seed uint64) *Takeover {
	return &Takeover{
		ledger: l, rnd: rand.New(rand.NewPCG(seed, fleet.HashID(string(l.self)))),
		firstSeen: map[fleet.InstanceID]time.Time{}, departed: map[fleet.InstanceID]departedMember{}, deniedUntil: map[fleet.InstanceID]time.Time{},
	}
}

// groupsOf returns the groups of a region.
func groupsOf(x *manifest.Index, region fleet.RegionID) map[fleet.DataCentreID]bool {
	out := map[fleet.DataCentreID]bool{}
	var outside fleet.DataCentreID
	best := uint64(0)
	for i := range x.Manifest.DataCentres {
		dc := &x.Manifest.DataCentres[i]
		if dc.Region == region {
			out[dc.Name] = true
		} else if h := fleet.Mix(fleet.HashID(string(region)), fleet.HashID(string(dc.Name))); outside == "" || h > best {
			outside, best = dc.Name, h
		}
	}
	if len(out) == 2 && outside != "" {
		out[outside] = true
	}
	return out
}

// digest is the same for two instances that see the same members of a region's
// groups under the same configuration.
func digest(t *Table, region fleet.RegionID) uint64 {
	groups := groupsOf(t.Index, region)
	sum := t.Index.Version
	for i := range t.View.Members {
		// A leaving instance, which does not count itself, has the same digest.
		if m := &t.View.Members[i]; groups[m.DataCentre] && !m.Leaving {
			sum += fleet.Mix(fleet.HashID(string(m.ID)), m.Incarnation)
		}
	}
	return sum
}

// SetTable takes the members and the roles in force. Call it before the ledger's
// SetRoles.
func (k *Takeover) SetTable(now time.Time, t *Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.table
	k.table = t
	if m := t.View.Find(k.ledger.self); m != nil {
		k.self = *m
	}
	k.groups = groupsOf(t.Index, k.self.Region)
	k.round = round{number: k.round.number + 1}
	if old == nil || len(old.View.Members) <= 1 || t.View.ResumedAt.After(k.lastResumed) {
		k.since, k.lastResumed = now, t.View.ResumedAt
	}
	if old != nil {
		for i := range old.View.Members {
			if m := &old.View.Members[i]; m.ID != k.ledger.self && t.View.Find(m.ID) == nil {
				k.departed[m.ID] = departedMember{
					at: now, dc: m.DataCentre, established: k.isEstablished(now, m),
					settled: now.Sub(k.firstSeen[m.ID]) >= memberSettleTime && now.Sub(k.deniedUntil[m.ID]) >= supportAcquireTime,
				}
				delete(k.firstSeen, m.ID)
			}
		}
	}
	for i := range t.View.Members {
		if id := t.View.Members[i].ID; k.firstSeen[id].IsZero() {
			k.firstSeen[id] = now
		}
	}
	defer k.setNeedsLease(now)
	maps.DeleteFunc(k.departed, func(_ fleet.InstanceID, g departedMember) bool { return now.Sub(g.at) > departedRetention })
	maps.DeleteFunc(k.deniedUntil, func(_ fleet.InstanceID, until time.Time) bool { return now.Sub(until) >= supportAcquireTime })
}

// isEstablished says that a member may confirm takeovers: this instance knows it for
// HandoverWait, or it started so long before. Incarnations begin as start times in
// ms.
func (k *Takeover) isEstablished(now time.Time, m *membership.Member) bool {
	return now.Sub(k.firstSeen[m.ID]) >= HandoverWait || m.Incarnation+uint64(HandoverWait.Milliseconds()) <= k.self.Incarnation
}

// setNeedsLease tells the ledger whether members of other groups may confirm a
// takeover, also those that disappeared. A fleet that starts has none and
// hands its ledgers over without support.
func (k *Takeover) setNeedsLease(now time.Time) {
	need := false
	for i := range k.table.View.Members {
		m := &k.table.View.Members[i]
		need = need || k.inOtherGroup(m.DataCentre) && k.isEstablished(now, m)
	}
	for _, g := range k.departed {
		need = need || k.inOtherGroup(g.dc) && g.established
	}
	k.ledger.needsLease.Store(need && len(k.groups) >= minGroups)
}

func (k *Takeover) inOtherGroup(dc fleet.DataCentreID) bool {
	return dc != k.self.DataCentre && k.groups[dc]
}

// recentlyStarted says that the instance may not know all members yet.
func (k *Takeover) recentlyStarted(now time.Time) bool { return now.Sub(k.since) < HandoverWait }

// Supports reports whether this instance supports another one as an admitter.
func (k *Takeover) Supports(now time.Time, id fleet.InstanceID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.supports(now, id)
}

// Supported reports whether another group supports this instance.
func (k *Takeover) Supported(now time.Time) bool {
	return k.ledger.leaseUntil.Load() != nil && !k.ledger.leaseExpired(now)
}

func (k *Takeover) supports(now time.Time, id fleet.InstanceID) bool {
	return k.table != nil && !k.recentlyStarted(now) && k.table.View.Find(id) != nil && !now.Before(k.deniedUntil[id])
}

// Answer answers a query of another instance. A confirmation denies support to
// all instances that this one holds as dead.
func (k *Takeover) Answer(now time.Time, q Query, holds *HeldPermits) QueryAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := QueryAnswer{Supports: k.supports(now, q.Holder)}
	if !a.Supports || len(q.Servers) == 0 {
		return a
	}
	holder := k.table.View.Find(q.Holder)
	if digest(k.table, holder.Region) != q.Digest || !k.oneDataCentreDied(now, groupsOf(k.table.Index, holder.Region)) {
		return a
	}
	for _, s := range q.Servers {
		if !k.table.Primary(s, q.Holder) {
			return a
		}
	}
	k.deny(now)
	k.ledger.confirmTakeover(now, q.Servers)
	a.Confirmed, a.Held = true, holds.permitsOn(q.Servers)
	return a
}

// deny ends the support of all members that this instance holds as dead.
func (k *Takeover) deny(now time.Time) {
	for id := range k.departed {
		if k.table.View.Find(id) == nil {
			k.deniedUntil[id] = now.Add(DenyDuration)
		}
	}
}

// RecordSupport takes the support of an instance, from a call that was sent at a time.
func (k *Takeover) RecordSupport(now, sent time.Time, from fleet.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordSupport(now, sent, from)
}

func (k *Takeover) recordSupport(now, sent time.Time, from fleet.InstanceID) {
	if k.table == nil || len(k.groups) < minGroups || now.Sub(sent) > SupportLifetime {
		return
	}
	m := k.table.View.Find(from)
	if m == nil || !k.inOtherGroup(m.DataCentre) {
		return
	}
	if until := k.ledger.leaseExpiry(); until.IsZero() || !now.After(until) {
		k.ledger.extendLease(sent.Add(SupportLifetime))
	}
}

// Step returns the query to send now and the instances to send it to. It must be
// called several times within askAgain.
func (k *Takeover) Step(now time.Time) (Query, []fleet.InstanceID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ledger.handleLeaseExpiry(now) {
		k.round = round{number: k.round.number + 1}
	}
	if k.table == nil || len(k.groups) < minGroups {
		return Query{}, nil
	}
	k.setNeedsLease(now)
	q := Query{Holder: k.ledger.self, Round: k.round.number}
	waitingEngines := k.ledger.waitingEngines(now)
	if to := k.stepRound(now, waitingEngines); len(to) > 0 {
		q.Round, q.Digest = k.round.number, digest(k.table, k.self.Region)
		q.Servers = slices.Sorted(maps.Keys(k.round.servers))
		return q, to
	}
	gap := supportQueryInterval
	if until := k.ledger.leaseExpiry(); !until.IsZero() {
		if until.Sub(now) > SupportLifetime-supportRenewalAge {
			return q, nil
		}
		gap = queryRetryInterval / 2
	}
	if now.Sub(k.lastQuery) < gap {
		return q, nil
	}
	again := now.Sub(k.lastQuery) < 2*gap
	k.lastQuery = now
	return q, k.queryTargets(again)
}

// queryTargets returns a random member of another group, or one of each: after a data
// centre died, half of single calls could go there.
func (k *Takeover) queryTargets(each bool) (out []fleet.InstanceID) {
	otherGroupMembers := k.otherGroupMembers()
	k.rnd.Shuffle(len(otherGroupMembers), func(i, j int) {
		otherGroupMembers[i], otherGroupMembers[j] = otherGroupMembers[j], otherGroupMembers[i]
	})
	seen := map[fleet.DataCentreID]bool{}
	for _, id := range otherGroupMembers {
		if dc := k.table.View.Find(id).DataCentre; !seen[dc] && (each || len(out) == 0) {
			seen[dc] = true
			out = append(out, id)
		}
	}
	return out
}

// otherGroupMembers are the members of other groups.
func (k *Takeover) otherGroupMembers() (out []fleet.InstanceID) {
	for i := range k.table.View.Members {
		if m := &k.table.View.Members[i]; k.inOtherGroup(m.DataCentre) {
			out = append(out, m.ID)
		}
	}
	return out
}
