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
	// told is when a relay last listed it, toldThere when one of its own data centre
	// did, which hears it directly.
	told, toldThere time.Time
	// wants is when it last asked for digests; holds is what it held then.
	wants time.Time
	holds ListVersion
	// spare says that it takes loads from another relay.
	spare bool
	// handed says that the member list names it; changed is the version of the list
	// at which that or the description last changed.
	handed  bool
	changed uint64
	dirty   bool
}

// Roster holds the peers of one instance.
type Roster struct {
	self fleet.InstanceID

	mu     sync.Mutex
	direct int // directFleet, but for tests
	listed map[fleet.InstanceID]Listing
	known  bool // the listed ones
	peers  map[fleet.InstanceID]*entry
	// span is the largest number of digests in a round of a relay.
	span int
	// tried are the instances that are reported to without being heard.
	tried map[fleet.InstanceID]attempt
	lists map[fleet.InstanceID]*list // of the relays
	// version counts the changes of the member list. Members that left it before
	// floor are forgotten.
	version, floor uint64
}

const (
	// MinReportInterval is the time between two reports to a peer in a small fleet.
	MinReportInterval = 200 * time.Millisecond
	// reportRate bounds the reports that an instance sends, in datagrams a second;
	// larger fleets report less often.
	reportRate = 160
	// SilentTime is after how long without a report an instance of a small fleet counts
	// as gone. It is six intervals: single lost datagrams do not count.
	SilentTime = 1200 * time.Millisecond
	// silentIntervals is the same for larger fleets, in intervals.
	silentIntervals = 3
)

// ReportInterval is the time between two reports to each of n peers.
func ReportInterval(n int) time.Duration {
	return max(MinReportInterval, time.Duration(n)*time.Second/reportRate)
}

// silent is after how long without a report an instance counts as gone.
func (r *Roster) silent() time.Duration {
	n := r.size()
	if n > r.direct {
		n = r.span
	}
	return max(SilentTime, silentIntervals*ReportInterval(n))
}

// New returns the roster of an instance that knows no peers.
func New(self fleet.InstanceID) *Roster {
	return &Roster{
		self: self, direct: directFleet, listed: map[fleet.InstanceID]Listing{}, peers: map[fleet.InstanceID]*entry{},
		tried: map[fleet.InstanceID]attempt{}, lists: map[fleet.InstanceID]*list{},
	}
}

// SetListed takes the instances that the store lists. It only names instances to
// report to; it does not say that they are alive.
func (r *Roster) SetListed(listed map[fleet.InstanceID]Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.known = listed, true
	r.measure()
}

// HasListing reports whether the store has been asked for the instances.
func (r *Roster) HasListing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// IsLarge reports whether the fleet has too many instances for each to report to all.
func (r *Roster) IsLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size() > r.direct
}

// size is the number of instances as far as known.
func (r *Roster) size() int { return max(len(r.listed), len(r.peers)) }

// measure finds out how many digests a relay of the largest data centre sends.
func (r *Roster) measure() {
	count := map[fleet.DataCentreID]int{}
	for _, l := range r.listed {
		count[l.DataCentre]++
	}
	for id, e := range r.peers {
		if _, ok := r.listed[id]; !ok {
			count[e.DataCentre]++
		}
	}
	r.span = 0
	for _, n := range count {
		r.span = max(r.span, n+relaysEach*(len(count)-1))
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
	e := r.describe(p)
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

// describe takes a description of an instance. It returns nil for one of an earlier
// life.
func (r *Roster) describe(p Peer) *entry {
	e := r.peers[p.ID]
	switch {
	case e == nil:
		e = &entry{}
		r.peers[p.ID] = e
	case p.Incarnation < e.Incarnation:
		return nil
	}
	// Followers have no use for the version.
	was := e.Peer
	was.Version = p.Version
	e.dirty = e.dirty || was != p
	e.Peer = p
	return e
}

// isLive reports whether the instance was heard or told of lately. While the relay that
// told of it is silent, it counts as live until another relay has been found.
func (e *entry) isLive(now time.Time, silent time.Duration) bool {
	return now.Sub(e.heard) < silent || now.Sub(e.told) < silent+relayGrace
}

// Live returns the peers that are alive as far as known, ordered by id.
func (r *Roster) Live(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.peers))
	silent := r.silent()
	for _, e := range r.peers {
		if e.isLive(now, silent) {
			out = append(out, e.Peer)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
