package edge

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/catalog"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/store"
	"cyclamenhitch/core/storeera"
	"cyclamenhitch/platform"
)

// mayServe reports whether the instance knows what the store may have lost. A store that
// states no eras loses nothing.
func (v *view) mayServe() bool {
	return (v.caughtUp.Load() || v.eras.newest() == 0) && !v.behindPeers.Load()
}

// extraTable implements feed.Server.Extra.
func (v *view) extraTable(name string) ([]store.Entry, bool) {
	switch name {
	case inForceTable:
		return v.inForce(), true
	case inForceConfig:
		return v.inForceConfig(), true
	case streamVersionsTable:
		return v.origins.peerView(), true
	}
	return nil, false
}

// applyEvacuations applies rows that take data centres out of service. It returns the data
// centres that are out, and whether they changed.
func (v *view) applyEvacuations(u update) (map[fleet.DataCentreID]bool, bool) {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if u.full {
		rows := map[string]bool{}
		for _, e := range u.entries {
			if _, ok := platform.ParseEvacuationKey(e.Key); ok && e.Value != nil {
				rows[e.Key] = true
			}
		}
		v.evacuated.Replace(now, rows, u.newEra)
		if held := v.evacuated.Held(); held > 0 {
			v.log.Info("evacuations that the store's copy lacks or shows again stay as they were", zap.Int("rows", held), zap.Duration("for", v.evacuated.HoldTime()))
			time.AfterFunc(v.evacuated.HoldTime(), v.expireHolds)
		}
	} else {
		for _, e := range u.entries {
			if _, ok := platform.ParseEvacuationKey(e.Key); ok {
				v.evacuated.Set(now, e.Key, e.Value != nil)
			}
		}
	}
	return v.updateOutOfService()
}

// updateOutOfService derives the data centres that are out of service and reports whether
// they changed. The caller holds mu.
func (v *view) updateOutOfService() (map[fleet.DataCentreID]bool, bool) {
	out := map[fleet.DataCentreID]bool{}
	for key := range v.evacuated.On() {
		if dc, ok := platform.ParseEvacuationKey(key); ok {
			out[dc] = true
		}
	}
	changed := !maps.Equal(out, v.outOfService)
	v.outOfService = out
	return out, changed
}

// expireHolds ends what stayed as it was before the store returned.
func (v *view) expireHolds() {
	v.mu.Lock()
	v.evacuated.Expire(time.Now())
	out, changed := v.updateOutOfService()
	v.mu.Unlock()
	if changed {
		v.log.Info("data centres out of service changed", zap.Any("out", out))
		v.publishServers()
	}
}

// keepConfigBody keeps the text of the configuration in force, for peers.
func (v *view) keepConfigBody(version uint64, body []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.current.Load(); c != nil && c.Version == version {
		v.configBody = body
	}
}

func stampOf(s *catalog.ServerEntry) storeera.Stamp {
	return storeera.Stamp{Born: s.StartMillis, Sequence: s.Sequence}
}

// isOutdated reports whether an entry is older than what is known of the server. Within an
// era the store orders entries. live is set for a change, which was written in this era.
// The caller holds mu.
func (v *view) isOutdated(now time.Time, old *discoveredServer, s *catalog.ServerEntry, live bool) bool {
	if !v.eras.risen() && !v.learned {
		return false
	}
	if v.departed.IsGone(now, s.ID, stampOf(s), live) {
		return true
	}
	if old == nil {
		return false
	}
	known := storeera.Known{Stamp: stampOf(&old.ServerEntry), Leaving: old.Leaving}
	if storeera.Supersedes(known, storeera.Known{Stamp: stampOf(s), Leaving: s.Leaving}, live) {
		return false
	}
	v.log.Info("older server entry ignored", zap.String(logging.FieldServer, string(s.ID)), zap.Uint64("sequence", s.Sequence), zap.Uint64("known", old.Sequence))
	return true
}

// applyStoreEra takes over the era that a peer has seen. What a peer of an earlier era
// believes to be stored may be lost.
func (p *peers) applyStoreEra(r *gossip.Report) {
	if r.StoreEra > 0 && p.view.eras.tracker.Observe(r.StoreEra) {
		return
	}
	if r.StoreEra == p.view.eras.newest() {
		return
	}
	for i := range r.Evidence {
		r.Evidence[i].StoredLevel = 0
	}
}

// publishEraGauges publishes the state of the store's era as metrics.
func (e *Edge) publishEraGauges() {
	eras := e.view.eras
	e.meters.gauge("store_era", func() any {
		rises, _ := eras.tracker.Rises()
		e.view.mu.Lock()
		held := e.view.evacuated.Held()
		e.view.mu.Unlock()
		return map[string]any{"era": eras.newest(), "rises": rises, "rows_written_again": eras.rewritten.Load(), "rows_held": held}
	})
}
