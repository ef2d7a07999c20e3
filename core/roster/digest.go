package roster

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// ListVersion identifies the copy of a relay's member list that an instance holds.
type ListVersion struct {
	// Incarnation is that of the relay process; 0 if no list is held.
	Incarnation uint64
	// Version is the version of the list.
	Version uint64
}

// Digest is an update of a relay's member list: the changes that a recipient has not
// received yet, or the full list.
type Digest struct {
	// Base is the version that the changes apply to; 0 marks a full list.
	Base uint64
	// Version is the version of the list after the changes.
	Version uint64
	// Members are the instances whose description changed; Removed are those that are
	// no longer live.
	Members []Peer
	Removed []fleet.InstanceID
	// LoadsUnknown is set while the relay has incomplete load data because it has just
	// become a relay or stopped being one. Recipients use another relay's loads.
	LoadsUnknown bool
}

// memberList is the local copy of a relay's member list.
type memberList struct {
	ListVersion
	updatedAt    time.Time // time of the last digest
	loadsUnknown bool      // as stated in the last digest
	members      map[fleet.InstanceID]Peer
}

// maxDigestMembers limits the members in one digest so that it fits into a datagram. The
// next digest continues after the last member sent.
const maxDigestMembers = 120

// RecordListRequest records what the last report of a peer requested: the version of this
// instance's list that the peer holds, whether it wants digests of the whole fleet, and
// whether loads can be omitted because it uses another relay's. HandleReport must be
// called first.
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

// HeldListVersion returns the version of the relay's list that this instance holds.
func (r *Roster) HeldListVersion(relay fleet.InstanceID) ListVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.lists[relay]; l != nil {
		return l.ListVersion
	}
	return ListVersion{}
}

// refreshMembers updates the member list. It contains the instances of this data centre
// that report directly, and those of other data centres that a relay of theirs lists.
// Members learned from relays of this data centre are not forwarded: two relays would
// otherwise keep dead instances alive in each other's lists.
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

// Digest returns the changes of the member list that the recipient does not have. If only
// is set, the digest is restricted to members of that data centre.
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

// expireTold clears the times at which relays listed an instance once no reporting relay
// lists it. A time after since, the last digest of the relay that removed the instance, is
// kept: it comes from a relay that is now silent.
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

// ApplyDigest merges the digest of a relay. HandleReport must be called first with the
// report that carried it.
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
			return // incremental digest for a list that is not held
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
				// The relay may not know the higher incarnation, for instance after its own restart.
				if r.updateDescription(p) == nil {
					r.recordRefused(now, p)
				}
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
			e = r.updateDescription(p) // removed meanwhile because another relay no longer received its reports
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
