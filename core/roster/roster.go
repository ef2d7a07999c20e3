// Package roster decides which instances of a fleet are alive, from the reports that
// they send each other: to all in small fleets, to a few relays of their data centre
// in larger ones. A Roster belongs to one instance and is safe for concurrent use. It
// performs no I/O.
package roster

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// Peer is another instance as it last described itself.
type Peer struct {
	ID          fleet.InstanceID
	Incarnation uint64
	DataCentre  fleet.DataCentreID
	// Caller and Peer are host:port addresses for callers and for other instances.
	Caller, Peer string
	// Serving says that it takes requests: it has a fresh view and is not leaving.
	Serving bool
	// Leaving says that it is in a planned stop.
	Leaving bool
	// ReadsStore says that its last read of the store succeeded.
	ReadsStore bool
	// Version is the configuration version in force there.
	Version uint64
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 means unknown.
	LinkMbps int
}

// Listing is what the store says of an instance.
type Listing struct {
	// Peer is its host:port address for other instances.
	Peer       string
	DataCentre fleet.DataCentreID
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 means unknown.
	LinkMbps int
}

type entry struct {
	Peer
	heard time.Time
	// answered is when it last showed that it hears this instance.
	answered time.Time
	// told is when a relay last listed it, toldByOwnRelayAt when one of its own data centre
	// did, which hears it directly.
	told, toldByOwnRelayAt time.Time
	// digestWanted is when it last asked for digests; holds is what it held then.
	digestWanted time.Time
	heldList     ListVersion
	// omitLoads says that it takes loads from another relay.
	omitLoads bool
	// inList says that the member list names it; changed is the version of the list
	// at which that or the description last changed.
	inList  bool
	changed uint64
	dirty   bool
}

// Roster holds the peers of one instance.
type Roster struct {
	self fleet.InstanceID

	mu         sync.Mutex
	maxDirect  int // directFleet, but for tests
	listed     map[fleet.InstanceID]Listing
	hasListing bool // the listed ones
	peers      map[fleet.InstanceID]*entry
	// maxRecipients is the largest number of digests in a round of a relay.
	maxRecipients int
	// tried are the instances that are reported to without being heard.
	tried map[fleet.InstanceID]attempt
	lists map[fleet.InstanceID]*memberList // of the relays
	// version counts the changes of the member list. Members that left it before
	// minVersion are forgotten.
	version, minVersion uint64
}

const (
	// MinReportInterval is the time between two reports to a peer in a small fleet.
	MinReportInterval = 200 * time.Millisecond
	// maxReportsPerSecond bounds the reports that an instance sends, in datagrams a second;
	// larger fleets report less often.
	maxReportsPerSecond = 160
	// MinSilenceTimeout is after how long without a report an instance of a small fleet counts
	// as gone. It is six intervals: single lost datagrams do not count.
	MinSilenceTimeout = 1200 * time.Millisecond
	// silenceIntervals is the same for larger fleets, in intervals.
	silenceIntervals = 3
)

// ReportInterval is the time between two reports to each of n peers.
func ReportInterval(n int) time.Duration {
	return max(MinReportInterval, time.Duration(n)*time.Second/maxReportsPerSecond)
}

// silenceTimeout is after how long without a report an instance counts as gone.
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

// SetListed takes the instances that the store lists. It only names instances to
// report to; it does not say that they are alive.
func (r *Roster) SetListed(listed map[fleet.InstanceID]Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.hasListing = listed, true
	r.updateMaxRecipients()
}

// HasListing reports whether the store has been asked for the instances.
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

// size is the number of instances as far as known.
func (r *Roster) size() int { return max(len(r.listed), len(r.peers)) }

// updateMaxRecipients finds out how many digests a relay of the largest data centre sends.
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

// HandleReport takes a report. It returns false for one of an earlier life.
func (r *Roster) HandleReport(now time.Time, p Peer, answered bool) bool {
	if p.ID == r.self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.updateDescription(p)
	if e == nil {
		return false
	}
	e.heard = now
	if answered {
		e.answered = now
	}
	delete(r.tried, p.ID)
	return true
}

// updateDescription takes a description of an instance. It returns nil for one of an earlier
// life.
func (r *Roster) updateDescription(p Peer) *entry {
	e := r.peers[p.ID]
	switch {
	case e == nil:
		e = &entry{}
		r.peers[p.ID] = e
	case p.Incarnation < e.Incarnation:
		return nil
	}
	// Followers have no use for the version.
	old := e.Peer
	old.Version = p.Version
	e.dirty = e.dirty || old != p
	e.Peer = p
	return e
}

// isLive reports whether the instance was heard or told of lately. While the relay that
// told of it is silent, it counts as live until another relay has been found.
func (e *entry) isLive(now time.Time, silenceTimeout time.Duration) bool {
	return now.Sub(e.heard) < silenceTimeout || now.Sub(e.told) < silenceTimeout+relayFailoverGrace
}

// Live returns the peers that are alive as far as known, ordered by id.
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
