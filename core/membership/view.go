// Package membership decides which instances of the fleet are alive. Each
// instance owns its own view; views of two instances may differ for up to
// DisagreementBound.
package membership

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// MaxViewDivergence is the longest time that two instances that can reach each
// other may see different members.
const MaxViewDivergence = 5 * time.Second

// Member is one instance as seen by this instance.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	// Caller, Admin, Peer and Datagram are host:port addresses.
	Caller, Admin, Peer, Datagram string
	// Incarnation grows with each life of the instance.
	Incarnation uint64
	// Leaving marks an instance in a planned stop; lookups do not name it.
	Leaving bool
	// Eligible says that the instance may hold roles: it is alive, not leaving
	// and not held down for flapping.
	Eligible bool
}

// View is the set of live members, ordered by ID. It is immutable.
type View struct {
	Members []Member
	// ChangedAt is when the view last changed.
	ChangedAt time.Time
	// ResumedAt is the end of the last own pause longer than DisagreementBound,
	// or zero. Roles held before it must be dropped.
	ResumedAt time.Time
}

// Find returns the member with the id, or nil.
func (v *View) Find(id fleet.InstanceID) *Member {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id fleet.InstanceID) int { return cmp.Compare(m.ID, id) })
	if !ok {
		return nil
	}
	return &v.Members[i]
}
