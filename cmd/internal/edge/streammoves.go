package edge

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
)

// streamMoves holds the routes of earlier configurations that sent streams to other pools, for as
// long as these streams may be taken up.
type streamMoves struct {
	mu      sync.Mutex
	current *catalog.Catalog
	earlier []earlierRoutes
}

// earlierRoutes are the routes of a configuration that was in force.
type earlierRoutes struct {
	routes *catalog.Catalog
	// until is when the last stream that began under them may be taken up.
	until time.Time
}

// apply records the configuration in force and returns the pools between which it moves streams.
// windows are the times in which the streams of each pool may be taken up.
func (m *streamMoves) apply(now time.Time, c *catalog.Catalog, windows map[fleet.PoolID]time.Duration) []fleet.PoolID {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.current
	if before == c {
		return nil
	}
	m.current = c
	m.earlier = slices.DeleteFunc(m.earlier, func(e earlierRoutes) bool { return now.After(e.until) })
	if before == nil {
		return nil
	}
	moved := before.MovedStreams(c)
	if len(moved) == 0 {
		return nil
	}
	var window time.Duration
	for _, id := range moved {
		window = max(window, windows[id])
	}
	m.earlier = append(m.earlier, earlierRoutes{before.RoutesOnly(), now.Add(window)})
	return moved
}

// isMoved reports whether an earlier configuration sent the stream that a request takes up to
// another pool.
func (m *streamMoves) isMoved(now time.Time, req *gateway.Request) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	path, _, _ := strings.Cut(req.Path, "?")
	hash := fleet.HashID(cmp.Or(req.Resumes, req.ID))
	return slices.ContainsFunc(m.earlier, func(e earlierRoutes) bool {
		r := e.routes.Route(req.Host, path)
		return r != nil && r.Stream && now.Before(e.until) && r.PoolFor(hash).Name != req.Pool.Name
	})
}
