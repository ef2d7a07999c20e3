package catalog

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// ServerEntry is what a backend server says of itself where servers are discovered.
type ServerEntry struct {
	ID         fleet.ServerID
	Pool       fleet.PoolID
	Address    string
	DataCentre fleet.DataCentreID
	// Slots is how many requests it runs at once; 0 means unknown.
	Slots int
	// Leaving says that it takes no new work.
	Leaving bool
	// ColdLeft is how long it stays cold after the entry was written.
	ColdLeft time.Duration
	// StartMillis is when it started, in Unix ms by its own clock; 0 means unknown. A new
	// life under the same id has another one.
	StartMillis int64
}
