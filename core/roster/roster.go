// Package roster determines which instances of a fleet are alive from the reports that
// they exchange. In small fleets each instance reports to all others, in larger ones to
// a few relays of its data centre. A Roster belongs to one instance, performs no I/O and
// is safe for concurrent use.
package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// Peer is the last description that another instance gave of itself.
type Peer struct {
	ID          fleet.InstanceID
	Incarnation uint64
	DataCentre  fleet.DataCentreID
	// Caller and Peer are host:port addresses for callers and for other instances.
	Caller, Peer string
	// Serving is set if it accepts requests: its view is fresh and it is not leaving.
	Serving bool
	// Leaving is set during a planned stop.
	Leaving bool
	// ReadsStore is set if its last read of the store succeeded.
	ReadsStore bool
	// Version is the configuration version in force there.
	Version uint64
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 means unknown.
	LinkMbps int
}

// Listing is the store's entry for an instance.
type Listing struct {
	// Peer is its host:port address for other instances.
	Peer       string
	DataCentre fleet.DataCentreID
	// Region is the region of its data centre; empty for an instance of a version that does not
	// state it.
	Region fleet.RegionID
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 means unknown.
	LinkMbps int
}

type entry struct {
	Peer
	// heard is when its last report arrived.
	heard time.Time
	// answered is when its reports last confirmed that it receives those of this instance.
	answered time.Time
	// told is when a relay last listed it; toldByOwnRelayAt is when a relay of its own data
	// centre did, which receives its reports directly.
	told, toldByOwnRelayAt time.Time
	// digestWanted is when it last requested digests; heldList is the list version that it
	// stated last.
	digestWanted time.Time
	heldList     ListVersion
	// omitLoads is set if it uses the loads of another relay.
	omitLoads bool
	// inList is set if the member list contains it; changed is the version of the list at
	// which inList or the description last changed. dirty marks a description that changed
	// since the list was last updated.
	inList  bool
	changed uint64
	dirty   bool
	// refused is when an earlier incarnation last reported, or was listed, with refusedAddress,
	// and zero once the known one has reported again.
	refused        time.Time
	refusedAddress string
	// toldKnown is when it last was a target because of that.
	toldKnown time.Time
}

// Roster is one instance's view of its peers.
type Roster struct {
	self fleet.InstanceID

	mu         sync.Mutex
	maxDirect  int // maxDirectInstances, except in tests
	listed     map[fleet.InstanceID]Listing
	hasListing bool // listed has been set
	peers      map[fleet.InstanceID]*entry
	// maxRecipients is the largest number of digests that a relay sends in one round.
	maxRecipients int
	// tried holds the attempts to reach instances whose reports do not arrive.
	tried map[fleet.InstanceID]attempt
	lists map[fleet.InstanceID]*memberList // by relay
	// version counts the changes of the member list. Removals up to minVersion are no
	// longer known, so that older copies of the list need a full digest.
	version, minVersion uint64
}

const (
	// MinReportInterval is the time between two reports to a peer in a small fleet.
	MinReportInterval = 200 * time.Millisecond
	// maxReportsPerSecond limits the datagrams per second that an instance sends as reports;
	// larger fleets report less often.
	maxReportsPerSecond = 160
	// MinSilenceTimeout is the time without a report after which an instance of a small fleet
	// counts as dead. It spans six intervals to tolerate lost datagrams.
	MinSilenceTimeout = 1200 * time.Millisecond
	// silenceIntervals is the timeout of larger fleets, in report intervals.
	silenceIntervals = 3
)

// ReportInterval is the time between two reports to each of n peers.
func ReportInterval(n int) time.Duration {
	return max(MinReportInterval, time.Duration(n)*time.Second/maxReportsPerSecond)
}

// silenceTimeout returns the time without a report after which an instance counts as dead.
func (r *Roster) silenceTimeout() time.Duration {
	n := r.size()
	if n > r.maxDirect {
		n = r.maxRecipients
	}
	return max(MinSilenceTimeout, silenceIntervals*ReportInterval(n))
}

// New returns the roster of an instance that knows no peers.
func New(self fleet.InstanceID) *Roster {
	return &Roster{
		self: self, maxDirect: maxDirectInstances, listed: map[fleet.InstanceID]Listing{}, peers: map[fleet.InstanceID]*entry{},
		tried: map[fleet.InstanceID]attempt{}, lists: map[fleet.InstanceID]*memberList{},
	}
}

// SetListed replaces the instances that the store lists. They become targets of reports
// but do not count as alive.
func (r *Roster) SetListed(listed map[fleet.InstanceID]Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.hasListing = listed, true
	r.updateMaxRecipients()
}

// HasListing reports whether SetListed has been called.
func (r *Roster) HasListing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasListing
}

// IsLarge reports whether the fleet has too many instances for each to report to all.
func (r *Roster) IsLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size() > r.maxDirect
}

// size returns the number of known instances.
func (r *Roster) size() int { return max(len(r.listed), len(r.peers)) }

// updateMaxRecipients computes how many digests a relay of the largest data centre sends.
func (r *Roster) updateMaxRecipients() {
	count := map[fleet.DataCentreID]int{}
	for _, l := range r.listed {
		count[l.DataCentre]++
	}
	for id, e := range r.peers {
		if _, ok := r.listed[id]; !ok {
			count[e.DataCentre]++
		}
	}
	r.maxRecipients = 0
	for _, n := range count {
		r.maxRecipients = max(r.maxRecipients, n+relaysPerDataCentre*(len(count)-1))
	}
}

// Listed returns the instances of the last SetListed.
func (r *Roster) Listed() map[fleet.InstanceID]Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.listed)
}

// HandleReport records a report. It returns false for one of an earlier incarnation or
// of this instance itself.
func (r *Roster) HandleReport(now time.Time, p Peer, answered bool) bool {
	if p.ID == r.self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.updateDescription(p)
	if e == nil {
		r.recordRefused(now, p)
		return false
	}
	e.heard, e.refused = now, time.Time{}
	if answered {
		e.answered = now
	}
	delete(r.tried, p.ID)
	return true
}

// recordRefused records that a description was ignored, so that its sender learns of the known
// incarnation.
func (r *Roster) recordRefused(now time.Time, p Peer) {
	e := r.peers[p.ID]
	e.refused, e.refusedAddress = now, p.Peer
}

// KnownIncarnation returns the incarnation to be stated in reports to a peer: the known one if
// an earlier one reported recently, or was listed, or else 0.
func (r *Roster) KnownIncarnation(now time.Time, id fleet.InstanceID) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.peers[id]; e != nil && now.Sub(e.refused) < r.silenceTimeout() {
		return e.Incarnation
	}
	return 0
}

// updateDescription stores the description of an instance. It returns nil for one of an
// earlier incarnation.
func (r *Roster) updateDescription(p Peer) *entry {
	e := r.peers[p.ID]
	switch {
	case e == nil:
		e = &entry{}
		r.peers[p.ID] = e
	case p.Incarnation < e.Incarnation:
		return nil
	}
	// The version is not forwarded in digests, so that its change does not dirty the entry, and
	// a digest does not replace the one that the instance has reported itself.
	if p.Version == 0 && p.Incarnation == e.Incarnation {
		p.Version = e.Version
	}
	old := e.Peer
	old.Version = p.Version
	e.dirty = e.dirty || old != p
	e.Peer = p
	return e
}

// isLive reports whether the instance reported or was listed by a relay recently. If that
// relay falls silent, the instance stays live until another relay takes over.
func (e *entry) isLive(now time.Time, silenceTimeout time.Duration) bool {
	return now.Sub(e.heard) < silenceTimeout || now.Sub(e.told) < silenceTimeout+relayFailoverGrace
}

// Live returns the peers that are considered alive, ordered by ID.
func (r *Roster) Live(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.peers))
	silenceTimeout := r.silenceTimeout()
	for _, e := range r.peers {
		if e.isLive(now, silenceTimeout) {
			out = append(out, e.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
