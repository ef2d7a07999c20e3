package edge

import (
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/storeera"
	"cyclamenhitch/platform"
)

// applyServers applies rows of the server table.
func (v *view) applyServers(u update) {
	now := time.Now()
	v.mu.Lock()
	v.grace.StoreRead(now)
	old := v.servers
	if u.full {
		v.servers = make(map[fleet.ServerID]*discoveredServer, len(u.entries))
		present := make(map[fleet.ServerID]bool, len(u.entries))
		for _, e := range u.entries {
			present[fleet.ServerID(e.Key)] = true
		}
		for id, s := range old {
			if !present[id] {
				v.handleMissingServer(now, id, s)
			}
		}
	}
	first := !v.serversRead
	for _, e := range u.entries {
		id := fleet.ServerID(e.Key)
		if e.Value == nil {
			v.handleMissingServer(now, id, old[id])
			continue
		}
		s, err := platform.DecodeServer(e.Key, e.Value)
		if err != nil {
			delete(v.servers, id)
			v.log.Warn("invalid server entry", zap.String("key", e.Key), zap.Error(err))
			continue
		}
		if v.isOutdated(now, old[id], &s, !u.full) {
			if old[id] != nil {
				v.servers[id] = old[id]
			}
			continue
		}
		v.servers[id] = v.mergeServer(now, old[id], s, first)
		v.servers[id].entry = e.Value
		var known storeera.Stamp
		if old[id] != nil {
			known = stampOf(&old[id].ServerEntry)
		}
		v.departed.Accepted(now, id, known, stampOf(&s), !u.full)
	}
	v.serversRead = true
	v.mu.Unlock()
	if len(u.entries) > 0 || u.full {
		v.publishServers()
	}
	v.origins.confirm(u.readStart)
	v.origins.applied(u.version)
}

// handleMissingServer removes a server whose entry is missing, or keeps it for a grace
// period if the entry may have expired in a store outage. The caller holds mu.
func (v *view) handleMissingServer(now time.Time, id fleet.ServerID, s *discoveredServer) {
	until := v.grace.KeepUntil(now)
	if s == nil || s.Leaving || !until.After(now) {
		if s != nil {
			v.log.Info("server gone", zap.String(logging.FieldServer, string(id)))
			v.departed.Left(now, id, stampOf(&s.ServerEntry), s.entry)
		}
		delete(v.servers, id)
		return
	}
	kept := *s
	if kept.keptUntil.IsZero() {
		kept.keptUntil = until
		v.log.Info("server's entry lapsed", zap.String(logging.FieldServer, string(id)), zap.Duration("kept", until.Sub(now)))
		time.AfterFunc(until.Sub(now), v.removeExpiredServers)
	}
	v.servers[id] = &kept
}

// removeExpiredServers removes the servers whose entries did not return within the grace
// period. The period is extended while the store is unavailable again.
func (v *view) removeExpiredServers() {
	now := time.Now()
	v.mu.Lock()
	dropped := false
	for id, s := range v.servers {
		if s.keptUntil.IsZero() || now.Before(s.keptUntil) {
			continue
		}
		if until := v.grace.KeepUntil(now); until.After(now) {
			s.keptUntil = until
			time.AfterFunc(until.Sub(now), v.removeExpiredServers)
			continue
		}
		delete(v.servers, id)
		v.departed.Left(now, id, stampOf(&s.ServerEntry), s.entry)
		dropped = true
		v.log.Info("server gone", zap.String(logging.FieldServer, string(id)), zap.String(logging.FieldReason, "its entry did not return within the grace period"))
	}
	v.mu.Unlock()
	if dropped {
		v.publishServers()
	}
}

// noteServersUnreadable starts the grace period for server entries.
func (v *view) noteServersUnreadable() {
	v.mu.Lock()
	v.grace.StoreFailed()
	v.mu.Unlock()
}

// entryState returns what the entry of a server shows about crashes of it.
func (v *view) entryState(id fleet.ServerID) quarantine.EntryState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[id]
	if s == nil {
		return quarantine.EntryState{}
	}
	return quarantine.EntryState{Listed: true, Lapsed: !s.keptUntil.IsZero(), Leaving: s.Leaving, StartMillis: s.StartMillis, Sequence: s.Sequence}
}

// serverState returns what the entry of a server states. A server without an entry counts as
// leaving, since some leave by removing it.
func (v *view) serverState(id fleet.ServerID) engine.ServerState {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.servers[id]
	if s == nil {
		return engine.ServerState{Leaving: true}
	}
	return engine.ServerState{StartMillis: s.StartMillis, Leaving: s.Leaving}
}

// linkedServers returns the servers that the instance connects to and that are not leaving.
func (v *view) linkedServers() []fleet.ServerID {
	if ids := v.linked.Load(); ids != nil {
		return *ids
	}
	return nil
}

// address returns the host:port address of a server, or an empty one if it is not listed.
func (v *view) address(id fleet.ServerID) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.servers[id]; s != nil {
		return s.Address
	}
	return ""
}

// hasReadServers reports whether the server table has been read at least once.
func (v *view) hasReadServers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.serversRead
}

// mergeServer returns the new state of a server from its entry and its old state. The
// caller holds mu.
func (v *view) mergeServer(now time.Time, old *discoveredServer, s catalog.ServerEntry, first bool) *discoveredServer {
	n := &discoveredServer{ServerEntry: s}
	if s.ColdLeft > 0 {
		n.coldUntil = now.Add(s.ColdLeft)
	}
	if old != nil {
		n.restartedAt = old.restartedAt
		if old.StartMillis != s.StartMillis || old.Version != s.Version {
			n.restartedAt = now
		}
	}
	switch {
	case old == nil && !first, old != nil && old.StartMillis != s.StartMillis:
		// The entry of a server that has just started may not yet report that it is cold.
		if c := v.current.Load(); c != nil {
			if p := c.Pool(s.Pool); p != nil {
				n.coldUntil = laterOf(n.coldUntil, now.Add(p.ColdTime))
			}
		}
	case old != nil:
		n.coldUntil = laterOf(n.coldUntil, old.coldUntil)
	}
	if old == nil || old.Leaving != s.Leaving || old.StartMillis != s.StartMillis || n.coldUntil.After(old.coldUntil) {
		v.log.Info("server seen", zap.String(logging.FieldServer, string(s.ID)), zap.String(logging.FieldPool, string(s.Pool)),
			zap.String(logging.FieldAddress, s.Address), zap.Bool("leaving", s.Leaving), zap.Duration("cold", max(0, n.coldUntil.Sub(now))))
	}
	return n
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// publishServers updates the servers on the placement board.
func (v *view) publishServers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	// Under the lock, so that the configuration of the last call is the newest one.
	c := v.current.Load()
	if c == nil {
		return
	}
	byPool := map[fleet.PoolID][]placement.Server{}
	versions := map[fleet.PoolID]*poolVersions{}
	var linked []fleet.ServerID
	for _, s := range v.servers {
		p := c.Pool(s.Pool)
		if p == nil {
			continue
		}
		slots := s.Slots
		if p.Slots > 0 {
			slots = p.Slots
		}
		if !s.Leaving {
			linked = append(linked, s.ID)
		}
		out := s.Leaving || v.outOfService[s.DataCentre]
		if versions[s.Pool] == nil {
			versions[s.Pool] = newPoolVersions()
		}
		versions[s.Pool].add(s.ID, serverStart{s.StartMillis, s.Version, out, s.restartedAt})
		byPool[s.Pool] = append(byPool[s.Pool], placement.Server{
			ID: s.ID, Address: s.Address, DataCentre: s.DataCentre, Slots: slots, Engine: p.Engine, CacheTokens: p.CacheTokens,
			Out: out, Draining: s.Leaving, ColdUntil: s.coldUntil, ColdRate: p.ColdRate, FetchTokensPerMs: p.FetchTokensPerMs, Incarnation: s.StartMillis,
		})
	}
	v.linked.Store(&linked)
	v.versions.setServers(versions) // before the board, which offers servers to requests
	v.rollouts.setServers(c, v.servers)
	v.origins.setServers(c, v.servers)
	for _, p := range c.Pools() {
		v.board.SetServers(p.Name, byPool[p.Name])
	}
}
