package edge

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/core/storeera"
	"cyclamenhitch/platform"
)

const (
	// vouchTime is how long after its return an older configuration of the store does not
	// confirm a newer one in force. Reports of all peers, also through relays, arrive within
	// it; it is short against the lease, so that requests are served meanwhile.
	vouchTime = 2 * time.Second
	// catchUpLimit is the default of the setting eras.catch_up_ms: how long an instance is not
	// ready because a live peer reports a newer configuration that it cannot get. Beyond it,
	// the instance serves what it has.
	catchUpLimit = 5 * time.Second
	// catchUpInterval is the interval of looking for peers with a newer configuration.
	catchUpInterval = 50 * time.Millisecond
	// lateInterval is the interval of looking for peers with a newer configuration after
	// catchUpLimit. The store or a reader shows a new configuration sooner.
	lateInterval = time.Second
	// inForceTable is the name under which the feed serves what an instance has in force of
	// the rows of operators and servers, as far as the store may have lost it, inForceConfig
	// that of the configuration in force. A configuration can have 320 KB.
	inForceTable  = "in-force"
	inForceConfig = "in-force-config"
	// gonePrefix begins the keys of servers that have left in inForceTable, leavingPrefix
	// those of servers that are leaving; the values are their last entries.
	gonePrefix    = "gone/"
	leavingPrefix = "leaving/"
	// maxInForcePeers limits the peers that are asked at once; in a large fleet it is one, since
	// all may start at once.
	maxInForcePeers = 3
	// maxInForceRounds limits how often other peers are asked because none has answered. After
	// a store returned, instances that left or restart are among those listed. A round takes
	// 0.4 s at most.
	maxInForceRounds = 3
)

// inForce returns the rows of inForceTable, or nil if this instance does not know yet
// what is in force.
func (v *view) inForce() []store.Entry {
	if !v.caughtUp.Load() {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	out := []store.Entry{}
	for key := range v.evacuated.On() {
		out = append(out, store.Entry{Key: key, Value: []byte{}})
	}
	for _, key := range v.evacuated.HeldOff() {
		out = append(out, store.Entry{Key: key})
	}
	for id, s := range v.servers {
		if s.Leaving {
			out = append(out, store.Entry{Key: leavingPrefix + string(id), Value: s.entry})
		}
	}
	v.departed.Each(time.Now(), func(id fleet.ServerID, entry []byte) {
		out = append(out, store.Entry{Key: gonePrefix + string(id), Value: entry})
	})
	return out
}

// inForceConfig returns the row of inForceConfig, or nil without a configuration.
func (v *view) inForceConfig() []store.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.configBody == nil {
		return nil
	}
	return []store.Entry{{Key: platform.ConfigKey, Value: v.configBody}}
}

// catchUp learns what the store may have lost right after a start and after each increase of
// the era. An instance that starts is not ready before. It ends with ctx.
func (v *view) catchUp(ctx context.Context) {
	for ctx.Err() == nil && !(v.hasReadServers() && v.current.Load() != nil && v.peers.roster.HasListing()) {
		sleep(ctx, viewPollInterval)
	}
	if v.eras.newest() > 0 {
		v.learnFromAny(ctx, inForceConfig)
		v.learnFromAny(ctx, inForceTable)
	}
	v.caughtUp.Store(true)
	for since := v.startedAt; ctx.Err() == nil; {
		rises, raised := v.eras.tracker.Rises()
		if rises > 0 {
			since = freshness.Instant(v.eras.raisedAt.Load())
			// What changed while this instance read neither the store nor peers is not in the
			// store's copy. Newer configurations are looked for meanwhile.
			go func() {
				v.awaitTables(ctx, raised)
				v.learnFromAny(ctx, inForceTable)
			}()
		}
		v.awaitNewerConfig(ctx, since, raised)
		v.followNewerConfig(ctx, raised)
	}
}

// followNewerConfig fetches a newer configuration that peers have reported for lateInterval
// and the store has not shown, until the next increase of the era. The instance serves
// meanwhile. Peers may be heard for the first time long after the store returned.
func (v *view) followNewerConfig(ctx context.Context, raised <-chan struct{}) {
	tick := time.NewTicker(lateInterval)
	defer tick.Stop()
	for reported := uint64(0); ; {
		select {
		case <-raised:
			return
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if v.eras.newest() == 0 {
			continue
		}
		behind, newest := v.peersAhead()
		if v.isBehind(reported) && len(behind) > 0 {
			v.learnInForce(behind, inForceConfig)
		}
		reported = newest
	}
}

// awaitTables waits until the tables of the new era have been read, eraReaderTime at most.
// What peers know is compared with them.
func (v *view) awaitTables(ctx context.Context, raised <-chan struct{}) {
	era, end := v.eras.newest(), clock.SinceBoot()+eraReaderTime
	isOld := func(name string) bool { return v.tableOf(name).era.Load() < era }
	for ctx.Err() == nil && clock.SinceBoot() < end && (isOld(platform.OperatorTable) || isOld(platform.ServerTable)) {
		select {
		case <-raised:
			return
		default:
			sleep(ctx, viewPollInterval)
		}
	}
}

// awaitNewerConfig fetches the configuration from peers that report a newer one, until
// catchUpLimit after since or the next increase of the era, which does not end the wait: it
// goes on in the next call.
func (v *view) awaitNewerConfig(ctx context.Context, since freshness.Instant, raised <-chan struct{}) {
	limit := cmp.Or(settings.Millis(v.set.Eras.CatchUpMillis), catchUpLimit)
	for ctx.Err() == nil && v.eras.newest() > 0 && clock.SinceBoot()-since < limit {
		behind, newest := v.peersAhead()
		if len(behind) > 0 {
			v.learnInForce(behind, inForceConfig)
		}
		// Not ready only if no peer handed it over.
		if still := v.isBehind(newest); v.behindPeers.Swap(still) != still {
			v.log.Info("waiting for the newer configuration of a peer changed", zap.Bool("waiting", still), zap.Uint64(logging.FieldVersion, newest))
		}
		select {
		case <-raised:
			return
		default:
		}
		sleep(ctx, catchUpInterval)
	}
	v.behindPeers.Store(false)
}

// peersAhead returns up to maxInForcePeers live peers that report a newer configuration than
// the one in force, and the newest version that any reports.
func (v *view) peersAhead() (map[fleet.InstanceID]string, uint64) {
	behind, newest := map[fleet.InstanceID]string{}, uint64(0)
	for _, p := range v.peers.roster.Live(time.Now()) {
		newest = max(newest, p.Version)
		if v.isBehind(p.Version) && len(behind) < maxInForcePeers {
			behind[p.ID] = p.Peer
		}
	}
	return behind, newest
}

// isBehind reports whether a version is newer than the configuration in force.
func (v *view) isBehind(version uint64) bool {
	c := v.current.Load()
	return c != nil && version > c.Version
}

// learnFromAny asks peers for one of the tables of what they have in force, and others if
// none has answered.
func (v *view) learnFromAny(ctx context.Context, name string) {
	asked := map[fleet.InstanceID]bool{}
	for range maxInForceRounds {
		peers := v.inForcePeers(asked)
		if len(peers) == 0 || ctx.Err() != nil || v.learnInForce(peers, name) {
			return
		}
	}
}

// inForcePeers returns up to maxInForcePeers peers to ask that have not been asked, live ones
// first, and adds them to asked.
func (v *view) inForcePeers(asked map[fleet.InstanceID]bool) map[fleet.InstanceID]string {
	out, most := map[fleet.InstanceID]string{}, maxInForcePeers
	if v.peers.roster.IsLarge() {
		most = 1
	}
	for _, listed := range []map[fleet.InstanceID]roster.Listing{addressesOf(v.peers.roster.Live(time.Now())), v.peers.roster.Listed()} {
		delete(listed, v.set.Instance)
		ids := slices.SortedFunc(maps.Keys(listed), func(a, b fleet.InstanceID) int {
			return compareHash(string(v.set.Instance), string(a), string(b))
		})
		for _, id := range ids {
			if len(out) < most && !asked[id] {
				out[id], asked[id] = listed[id].Peer, true
			}
		}
	}
	return out
}

// compareHash orders two names differently for each instance, so that all peers are asked
// equally often.
func compareHash(self, a, b string) int {
	x, y := fleet.HashID(self+"/"+a), fleet.HashID(self+"/"+b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return strings.Compare(a, b)
}

// learnInForce asks peers at once for one of the tables of what they have in force and merges
// the answers. It reports whether there was one.
func (v *view) learnInForce(peers map[fleet.InstanceID]string, name string) bool {
	var wg sync.WaitGroup
	var answered atomic.Bool
	for id, address := range peers {
		wg.Go(func() {
			rows, _, err := v.feeds.NewClient(address).Snapshot(context.Background(), name)
			if err != nil {
				v.log.Info("cannot read from a peer what is in force", zap.String("peer", string(id)), zap.Error(err))
				return
			}
			answered.Store(true)
			v.mergeInForce(rows)
		})
	}
	wg.Wait()
	return answered.Load()
}

// mergeInForce merges what a peer has in force.
func (v *view) mergeInForce(rows []store.Entry) {
	now := time.Now()
	var on, heldOff []string
	v.mu.Lock()
	for _, e := range rows {
		if _, ok := platform.ParseEvacuationKey(e.Key); ok {
			if e.Value != nil {
				on = append(on, e.Key)
			} else {
				heldOff = append(heldOff, e.Key)
			}
		}
		if id, ok := strings.CutPrefix(e.Key, gonePrefix); ok {
			v.learnServer(now, fleet.ServerID(id), e.Value, true)
		}
		if id, ok := strings.CutPrefix(e.Key, leavingPrefix); ok {
			v.learnServer(now, fleet.ServerID(id), e.Value, false)
		}
	}
	v.learned = v.learned || len(rows) > 0
	v.evacuated.Learn(now, on, heldOff)
	v.updateOutOfService()
	v.mu.Unlock()
	for _, e := range rows {
		if e.Key == platform.ConfigKey && e.Value != nil {
			v.applyConfig(e.Value, false)
		}
	}
	time.AfterFunc(v.evacuated.HoldTime(), v.expireHolds)
	v.publishServers()
}

// learnServer merges what a peer knows of a server that leaves or has left. The caller holds
// mu.
func (v *view) learnServer(now time.Time, id fleet.ServerID, entry []byte, gone bool) {
	s, err := platform.DecodeServer(string(id), entry)
	if err != nil {
		v.log.Warn("invalid server entry from a peer", zap.String("key", string(id)), zap.Error(err))
		return
	}
	known := storeera.Known{Stamp: stampOf(&s), Leaving: s.Leaving, Gone: gone}
	old := v.servers[id]
	switch {
	case old != nil && storeera.Supersedes(known, storeera.Known{Stamp: stampOf(&old.ServerEntry), Leaving: old.Leaving}, false):
		return
	case gone, old == nil:
		// A leaving server that is not known here must not be taken as ready from an older
		// entry that is read later.
		v.departed.Left(now, id, known.Stamp, entry)
		delete(v.servers, id)
	default:
		v.servers[id] = &discoveredServer{ServerEntry: s, entry: entry, coldUntil: old.coldUntil, keptUntil: old.keptUntil}
	}
}
