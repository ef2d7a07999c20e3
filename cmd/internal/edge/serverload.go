package edge

import (
	"time"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// serverLoads returns a receiver of the loads that servers state in their responses. It
// passes their pace to the placement; the numbers of requests are known from the reports of
// the instances.
func serverLoads(board *placement.Balancer) func(fleet.PoolID, fleet.ServerID, engine.ServerLoad) {
	return func(pool fleet.PoolID, server fleet.ServerID, l engine.ServerLoad) {
		if l.PacePercent > 0 {
			board.NotePace(time.Now(), pool, server, l.PacePercent)
		}
	}
}
