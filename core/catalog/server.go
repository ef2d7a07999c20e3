package catalog

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// ServerEntry is the service discovery entry that a backend server publishes.
type ServerEntry struct {
	ID         fleet.ServerID
	Pool       fleet.PoolID
	Address    string
	DataCentre fleet.DataCentreID
	// Slots is the number of requests that it runs concurrently; 0 means unknown.
	Slots int
	// Leaving is set if it accepts no new work.
	Leaving bool
	// ColdLeft is the rest of its cold start at the time when the entry was written.
	ColdLeft time.Duration
	// StartMillis is when it started, in Unix ms by its own clock; 0 means unknown. It
	// changes when a server restarts under the same ID.
	StartMillis int64
	// Sequence increases with each entry that the server writes; 0 means unknown.
	Sequence uint64
	// Version is the version of its software; empty if it states none.
	Version string
}
