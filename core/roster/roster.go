// Package roster decides which instances of a small fleet are alive and may be
// named to callers, from the reports that each sends to all others. A Roster
// belongs to one instance and is safe for concurrent use. It performs no I/O.
package roster

import (
	"cmp"
	"maps"
	"slices"
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
	// Reads says that its last read of the store succeeded.
	Reads bool
	// Version is the configuration version in force there.
	Version uint64
	// LinkMbps is the bandwidth of its network link, in Mbit/s; 0 means unknown.
	LinkMbps int
}

type entry struct {
	Peer
	heard time.Time
	// answered is when it last showed that it hears this instance.
	answered time.Time
}

// Roster holds the peers of one instance.
type Roster struct {
	self fleet.InstanceID

	mu     sync.Mutex
	listed map[fleet.InstanceID]string // peer address by instance
	peers  map[fleet.InstanceID]*entry
}

const (
	// LeastInterval is the time between two reports to a peer in a small fleet.
	LeastInterval = 200 * time.Millisecond
	// reportRate bounds the reports that an instance sends, in datagrams a second;
	// larger fleets report less often.
	reportRate = 160
	// SilentTime is after how long without a report an instance of a small fleet counts
	// as gone. It is six intervals: single lost datagrams do not count.
	SilentTime = 1200 * time.Millisecond
	// silentIntervals is the same for larger fleets, in intervals.
	silentIntervals = 3
)

// Interval is the time between two reports to each of n peers.
func Interval(n int) time.Duration {
	return max(LeastInterval, time.Duration(n)*time.Second/reportRate)
}

// silent is after how long without a report an instance counts as gone.
func (r *Roster) silent() time.Duration {
	return max(SilentTime, silentIntervals*Interval(max(len(r.listed), len(r.peers))))
}

// New returns the roster of an instance that knows no peers.
func New(self fleet.InstanceID) *Roster {
	return &Roster{self: self, listed: map[fleet.InstanceID]string{}, peers: map[fleet.InstanceID]*entry{}}
}

// SetListed takes the instances that the store lists, with their addresses. It
// only names instances to report to; it does not say that they are alive.
func (r *Roster) SetListed(listed map[fleet.InstanceID]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = listed
}

// Listed returns the instances of the last SetListed.
func (r *Roster) Listed() map[fleet.InstanceID]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.listed)
}

// Heard takes a report. It returns false for one of an earlier life.
func (r *Roster) Heard(now time.Time, p Peer, answered bool) bool {
	if p.ID == r.self {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.peers[p.ID]
	if e == nil {
		e = &entry{}
		r.peers[p.ID] = e
	}
	if p.Incarnation < e.Incarnation {
		return false
	}
	e.Peer, e.heard = p, now
	if answered {
		e.answered = now
	}
	return true
}

// Targets returns the addresses to report to: those listed and those heard from.
func (r *Roster) Targets(now time.Time) map[fleet.InstanceID]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[fleet.InstanceID]string, len(r.listed))
	for id, addr := range r.listed {
		if id != r.self {
			out[id] = addr
		}
	}
	silent := r.silent()
	for id, e := range r.peers {
		if now.Sub(e.heard) < silent {
			out[id] = e.Peer.Peer
		}
	}
	return out
}

// Live returns the peers that were heard from lately, ordered by id.
func (r *Roster) Live(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.peers))
	silent := r.silent()
	for id, e := range r.peers {
		if now.Sub(e.heard) < silent {
			out = append(out, e.Peer)
		} else if now.Sub(e.heard) > 10*silent {
			delete(r.peers, id)
		}
	}
	slices.SortFunc(out, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// maxReaders bounds the instances that read the store for all. Up to that many data
// centres have a reader of their own, so that followers are spread; with three, those
// of two data centres overloaded the reader of another one.
const maxReaders = 5

// Readers returns the instances that read the store for all others, at most one of
// each data centre, that of self's data centre first. Instances with more bandwidth
// are preferred, because a reader hands each change on to all its followers. All instances that see the
// same peers choose the same ones. It is empty while nobody is known to reach the
// store.
func (r *Roster) Readers(now time.Time, self Peer) []Peer {
	return r.readers(now, self, func(p Peer) bool { return p.Reads })
}

// WouldRead reports whether self would be a reader if everybody reached the store.
func (r *Roster) WouldRead(now time.Time, self Peer) bool {
	return slices.ContainsFunc(r.readers(now, self, func(Peer) bool { return true }), func(p Peer) bool { return p.ID == self.ID })
}

func (r *Roster) readers(now time.Time, self Peer, reads func(Peer) bool) []Peer {
	best := map[fleet.DataCentreID]Peer{}
	for _, p := range append(r.Live(now), self) {
		if !reads(p) || p.Leaving {
			continue
		}
		if b, ok := best[p.DataCentre]; !ok || byReaderRank(p, b) < 0 {
			best[p.DataCentre] = p
		}
	}
	out := slices.Collect(maps.Values(best))
	slices.SortFunc(out, byReaderRank)
	out = out[:min(len(out), maxReaders)]
	slices.SortStableFunc(out, func(a, b Peer) int {
		if (a.DataCentre == self.DataCentre) == (b.DataCentre == self.DataCentre) {
			return 0
		}
		if a.DataCentre == self.DataCentre {
			return -1
		}
		return 1
	})
	return out
}

// byReaderRank orders instances by how well they suit as readers, the best first.
func byReaderRank(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(readerScore(b.ID), readerScore(a.ID)))
}

func readerScore(id fleet.InstanceID) uint64 { return fleet.HashID("reader/" + string(id)) }
