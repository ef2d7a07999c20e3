package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// ServiceSlots returns the number of slots of the servers of a plain service that take
// requests. ok is false for a pool of engines and for one without servers, or with a server
// whose slots are unknown.
func (b *Balancer) ServiceSlots(now time.Time, id fleet.PoolID) (slots int, ok bool) {
	p := b.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		if s.Engine || s.Slots <= 0 {
			return 0, false
		}
		if s.takesRequests(now) {
			slots += s.Slots
		}
	}
	return slots, len(p.list) > 0
}
