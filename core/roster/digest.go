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

// memberList is a relay's member list as held here.
type memberList struct {
	ListVersion
	updatedAt    time.Time // of the last digest
	loadsUnknown bool      // in the last digest
	members      map[fleet.InstanceID]Peer
}

// maxDigestMembers bounds the members of one digest, so that it fits into a datagram. The next
// one goes on where it ended.
const maxDigestMembers = 120

// RecordListRequest notes what a peer, which has just been heard, holds of this instance's list,
// whether it wants digests of the whole fleet and whether it takes loads from another
// relay.
func (r *Roster) RecordListRequest(now time.Time, id fleet.InstanceID, heldList ListVersion, digestWanted, omitLoads bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.peers[id]
	if e == nil {
		return
	}
	e.heldList, e.omitLoads = heldList, omitLoads
	if digestWanted {
		e.digestWanted = now
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

// refreshMembers brings the member list up to date: the instances of the own data centre that
// are heard, and those of others that their own relays hear. What relays of the own
// data centre tell is not handed on, because two relays would keep each other's dead.
func (r *Roster) refreshMembers(now time.Time, silenceTimeout time.Duration, own fleet.DataCentreID) {
	for id, e := range r.peers {
		inList := now.Sub(e.heard) < silenceTimeout
		if e.DataCentre != own {
			inList = now.Sub(e.toldByOwnRelayAt) < silenceTimeout+relayFailoverGrace
		}
		if inList != e.inList || inList && e.dirty {
			r.version++
			e.inList, e.changed = inList, r.version
		}
		e.dirty = false
		if !e.isLive(now, forgetTimeouts*silenceTimeout) {
			r.minVersion = max(r.minVersion, e.changed)
			delete(r.peers, id)
		}
	}
	for id, l := range r.lists {
		if now.Sub(l.updatedAt) > forgetTimeouts*silenceTimeout {
			delete(r.lists, id)
		}
	}
	for id := range r.tried {
		if _, ok := r.listed[id]; !ok && r.peers[id] == nil {
			delete(r.tried, id)
		}
	}
	r.updateMaxRecipients()
}

// Digest returns what a recipient lacks of the member list. With only, just the members
// of that data centre are listed.
func (r *Roster) Digest(recipient fleet.InstanceID, incarnation uint64, only fleet.DataCentreID) Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Digest{Version: r.version}
	if e := r.peers[recipient]; e != nil && e.heldList.Incarnation == incarnation && e.heldList.Version >= r.minVersion && e.heldList.Version <= r.version {
		d.Base = e.heldList.Version
	}
	var changed []*entry
	for id, e := range r.peers {
		if e.changed > d.Base && id != recipient && (only == "" || e.DataCentre == only) {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	if len(changed) > maxDigestMembers {
		changed = changed[:maxDigestMembers]
		d.Version = changed[maxDigestMembers-1].changed
	}
	for _, e := range changed {
		if e.inList {
			d.Members = append(d.Members, e.Peer)
		} else if d.Base > 0 {
			d.Removed = append(d.Removed, e.ID)
		}
	}
	return d
}

// expireTold ends that an instance counts as told of when no relay lists it any more. What
// a relay that is silent told after before, the last digest of the one that dropped it,
// still counts.
func (r *Roster) expireTold(now time.Time, id fleet.InstanceID, since time.Time) {
	e := r.peers[id]
	if e == nil {
		return
	}
	silenceTimeout := r.silenceTimeout()
	told, toldByOwnRelay := false, false
	for relay, l := range r.lists {
		from := r.peers[relay]
		if _, ok := l.members[id]; !ok || from == nil || now.Sub(l.updatedAt) >= silenceTimeout {
			continue
		}
		told = true
		toldByOwnRelay = toldByOwnRelay || from.DataCentre == e.DataCentre
	}
	if !told && !e.told.After(since) {
		e.told = time.Time{}
	}
	if !toldByOwnRelay && !e.toldByOwnRelayAt.After(since) {
		e.toldByOwnRelayAt = time.Time{}
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
		l = &memberList{ListVersion: ListVersion{Incarnation: from.Incarnation}, members: map[fleet.InstanceID]Peer{}}
		r.lists[relay] = l
	}
	lastDigest := l.updatedAt
	l.updatedAt, l.loadsUnknown = now, d.LoadsUnknown
	if d.Base <= l.Version {
		for _, p := range d.Members {
			if p.ID != r.self {
				l.members[p.ID] = p
				r.updateDescription(p)
			}
		}
		for _, id := range d.Removed {
			if _, ok := l.members[id]; ok {
				delete(l.members, id)
				r.expireTold(now, id, lastDigest)
			}
		}
		l.Version = max(l.Version, d.Version)
	}
	for id, p := range l.members {
		e := r.peers[id]
		if e == nil {
			e = r.updateDescription(p) // forgotten while another relay did not hear it
		}
		if e.Incarnation > p.Incarnation {
			continue
		}
		e.told = now
		if from.DataCentre == e.DataCentre && e.DataCentre != own {
			e.toldByOwnRelayAt = now
		}
	}
	if from.DataCentre != own {
		from.toldByOwnRelayAt = now
	}
}
