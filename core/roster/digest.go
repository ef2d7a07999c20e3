package roster

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// ListVersion says which member list of a relay an instance holds.
type ListVersion struct {
	// Incarnation is the life of the relay, 0 for none.
	Incarnation uint64
	// Version is that of the list.
	Version uint64
}

// Digest is the part of a relay's member list that a recipient lacks.
type Digest struct {
	// Base is the version that the changes follow; 0 means that they are the whole list.
	Base uint64
	// Version is the one that the changes lead to.
	Version uint64
	// Members are the instances whose description changed; Gone are no longer live.
	Members []Peer
	Removed []fleet.InstanceID
	// LoadsUnknown says that the relay does not know the loads yet, or no longer: its role has
	// just begun or ended. Loads are taken from another one.
	LoadsUnknown bool
}

// list is a relay's member list as held here.
type list struct {
	ListVersion
	at      time.Time // of the last digest
	partial bool      // in the last digest
	members map[fleet.InstanceID]Peer
}

// maxDigest bounds the members of one digest, so that it fits into a datagram. The next
// one goes on where it ended.
const maxDigest = 120

// RecordListRequest notes what a peer, which has just been heard, holds of this instance's list,
// whether it wants digests of the whole fleet and whether it takes loads from another
// relay.
func (r *Roster) RecordListRequest(now time.Time, id fleet.InstanceID, holds ListVersion, wants, spare bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.peers[id]
	if e == nil {
		return
	}
	e.holds, e.spare = holds, spare
	if wants {
		e.wants = now
	}
}

// HeldListVersion returns which list of a relay is held here.
func (r *Roster) HeldListVersion(relay fleet.InstanceID) ListVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.lists[relay]; l != nil {
		return l.ListVersion
	}
	return ListVersion{}
}

// refresh brings the member list up to date: the instances of the own data centre that
// are heard, and those of others that their own relays hear. What relays of the own
// data centre tell is not handed on, because two relays would keep each other's dead.
func (r *Roster) refresh(now time.Time, silent time.Duration, own fleet.DataCentreID) {
	for id, e := range r.peers {
		handed := now.Sub(e.heard) < silent
		if e.DataCentre != own {
			handed = now.Sub(e.toldThere) < silent+relayGrace
		}
		if handed != e.handed || handed && e.dirty {
			r.version++
			e.handed, e.changed = handed, r.version
		}
		e.dirty = false
		if !e.isLive(now, forgetAfter*silent) {
			r.floor = max(r.floor, e.changed)
			delete(r.peers, id)
		}
	}
	for id, l := range r.lists {
		if now.Sub(l.at) > forgetAfter*silent {
			delete(r.lists, id)
		}
	}
	for id := range r.tried {
		if _, ok := r.listed[id]; !ok && r.peers[id] == nil {
			delete(r.tried, id)
		}
	}
	r.measure()
}

// Digest returns what a recipient lacks of the member list. With only, just the members
// of that data centre are listed.
func (r *Roster) Digest(recipient fleet.InstanceID, incarnation uint64, only fleet.DataCentreID) Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Digest{Version: r.version}
	if e := r.peers[recipient]; e != nil && e.holds.Incarnation == incarnation && e.holds.Version >= r.floor && e.holds.Version <= r.version {
		d.Base = e.holds.Version
	}
	var changed []*entry
	for id, e := range r.peers {
		if e.changed > d.Base && id != recipient && (only == "" || e.DataCentre == only) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	if len(changed) > maxDigest {
		changed = changed[:maxDigest]
		d.Version = changed[maxDigest-1].changed
	}
	for _, e := range changed {
		if e.handed {
			d.Members = append(d.Members, e.Peer)
		} else if d.Base > 0 {
			d.Removed = append(d.Removed, e.ID)
		}
	}
	return d
}

// untold ends that an instance counts as told of when no relay lists it any more. What
// a relay that is silent told after before, the last digest of the one that dropped it,
// still counts.
func (r *Roster) untold(now time.Time, id fleet.InstanceID, before time.Time) {
	e := r.peers[id]
	if e == nil {
		return
	}
	silent := r.silent()
	told, there := false, false
	for relay, l := range r.lists {
		from := r.peers[relay]
		if _, ok := l.members[id]; !ok || from == nil || now.Sub(l.at) >= silent {
			continue
		}
		told = true
		there = there || from.DataCentre == e.DataCentre
	}
	if !told && !e.told.After(before) {
		e.told = time.Time{}
	}
	if !there && !e.toldThere.After(before) {
		e.toldThere = time.Time{}
	}
}

// ApplyDigest takes the digest of a relay, which has just been heard.
func (r *Roster) ApplyDigest(now time.Time, relay fleet.InstanceID, own fleet.DataCentreID, d Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := r.peers[relay]
	if from == nil {
		return
	}
	l := r.lists[relay]
	if l == nil || l.Incarnation != from.Incarnation || d.Base == 0 {
		if d.Base > 0 {
			return // changes of a list that is not held
		}
		l = &list{ListVersion: ListVersion{Incarnation: from.Incarnation}, members: map[fleet.InstanceID]Peer{}}
		r.lists[relay] = l
	}
	before := l.at
	l.at, l.partial = now, d.LoadsUnknown
	if d.Base <= l.Version {
		for _, p := range d.Members {
			if p.ID != r.self {
				l.members[p.ID] = p
				r.describe(p)
			}
		}
		for _, id := range d.Removed {
			if _, ok := l.members[id]; ok {
				delete(l.members, id)
				r.untold(now, id, before)
			}
		}
		l.Version = max(l.Version, d.Version)
	}
	for id, p := range l.members {
		e := r.peers[id]
		if e == nil {
			e = r.describe(p) // forgotten while another relay did not hear it
		}
		if e.Incarnation > p.Incarnation {
			continue
		}
		e.told = now
		if from.DataCentre == e.DataCentre && e.DataCentre != own {
			e.toldThere = now
		}
	}
	if from.DataCentre != own {
		from.toldThere = now
	}
}
