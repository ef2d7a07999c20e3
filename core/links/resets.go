package links

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// resets are the servers at which direct connections were reset or fell silent since bytes of any
// server last arrived. A link that resets what is sent shows nothing on an idle connection.
type resets struct {
	servers map[fleet.ServerID]bool
	last    time.Time
}

func (r *resets) note(now time.Time, id fleet.ServerID) {
	if r.servers == nil {
		r.servers = map[fleet.ServerID]bool{}
	}
	r.servers[id], r.last = true, now
}

// forget records bytes that arrived at a point in time.
func (r *resets) forget(at time.Time) {
	if len(r.servers) > 0 && at.After(r.last) {
		clear(r.servers)
	}
}

// ended reports whether a connection to a server that was last used at lastUse is likely to be
// reset by its next use. lost states that the link to the server is lost.
func (r *resets) ended(lost bool, lastUse time.Time) bool {
	return (len(r.servers) >= minCutServers || lost && len(r.servers) > 0) && !lastUse.After(r.last)
}
