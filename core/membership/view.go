// Package membership implements a SWIM-style failure detector that determines which
// instances of the fleet are alive. Each instance has its own view; two views may differ
// for up to
// MaxViewDivergence.
package membership

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// MaxViewDivergence is the longest time for which two instances that can reach each other may
// have different views.
const MaxViewDivergence = 5 * time.Second

// Member is one instance as seen by this instance.
type Member struct {
	ID         fleet.InstanceID
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	// Caller, Admin, Peer and Datagram are host:port addresses.
	Caller, Admin, Peer, Datagram string
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	// Leaving marks an instance in a planned stop; lookups do not return it.
	Leaving bool
	// Eligible is set if the instance may hold roles: it is alive, not leaving and not in
	// hold-down after flapping.
	Eligible bool
}

// View is the set of live members, ordered by ID. It is immutable.
type View struct {
	Members []Member
	// ChangedAt is when the view last changed.
	ChangedAt time.Time
	// ResumedAt is the end of the last pause of this process that was longer than MaxViewDivergence,
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
