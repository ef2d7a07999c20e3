package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

// The delay after a failed store call must not end early because of a reader that is being
// avoided. Otherwise, while the store refuses calls and its former readers still count as
// readers but serve nothing, 80 instances make about 1,000 calls a second.
func TestPauseWithoutUsableReader(t *testing.T) {
	set := &settings.Edge{Instance: "a", DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
	board := placement.NewBalancer(placement.DefaultPolicy())
	v := newView(set, platform.NewStore("127.0.0.1:1"), board, zap.NewNop())
	v.peers = newPeers(set, nil, v, board, quarantine.New(set.Instance), zap.NewNop())
	v.peers.roster.HandleReport(time.Now(), roster.Peer{ID: "b", DataCentre: "y", ReadsStore: true}, true)
	if !v.hasReader() {
		t.Fatal("a live reader is not usable")
	}
	v.avoidedPeers.add("b", clock.SinceBoot())
	if v.hasReader() {
		t.Fatal("an avoided reader is usable")
	}
	began := time.Now()
	v.waitAfterFailure(context.Background())
	if took := time.Since(began); took < storeRetryDelay/4 {
		t.Errorf("the delay after a failed call took %v, want at least %v", took, storeRetryDelay/4)
	}
}

// An instance that the store refuses while it serves the others must not ask it again and
// again when its lease runs out: it reads from a peer, whose copy renews the lease.
func TestOwnReadAfterFailure(t *testing.T) {
	set := &settings.Edge{Instance: "a", DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
	board := placement.NewBalancer(placement.DefaultPolicy())
	v := newView(set, platform.NewStore("127.0.0.1:1"), board, zap.NewNop())
	v.peers = newPeers(set, nil, v, board, quarantine.New(set.Instance), zap.NewNop())
	v.applyConfig(engineConfig(), true)
	now := clock.SinceBoot()
	v.lease.Confirm(2, now-v.lease.Term()*9/10)
	operators := v.tables[0]
	src := tableSource{direct: true}
	if !v.needsOwnRead(operators, now) {
		t.Fatal("a lease that runs out does not need an own read")
	}
	v.noteFailure(src, result.New(result.StoreUnavailable, "refused"))
	if !v.needsOwnRead(operators, clock.SinceBoot()) {
		t.Error("without a peer to read from, the store is not asked")
	}
	v.peers.roster.HandleReport(time.Now(), roster.Peer{ID: "b", DataCentre: "y", ReadsStore: true}, true)
	failed := clock.SinceBoot()
	if v.needsOwnRead(operators, failed) {
		t.Error("the store is asked again at once although a peer can be read")
	}
	if !v.needsOwnRead(operators, failed+ownReadRetryDelay) {
		t.Error("the store is not asked again")
	}
}

// Only a failure of the store itself may start the grace period for missing entries. If a
// failed peer started it, a server that has left would still receive work.
func TestPeerFailureKeepsNoServer(t *testing.T) {
	for _, direct := range []bool{false, true} {
		set := &settings.Edge{Instance: "a", DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
		v := newView(set, platform.NewStore("127.0.0.1:1"), placement.NewBalancer(placement.DefaultPolicy()), zap.NewNop())
		v.peers = newPeers(set, nil, v, v.board, quarantine.New(set.Instance), zap.NewNop())
		entry := []byte(`{"service":"s","address":"10.0.0.9:8080","zone":"z","slots":6,"state":"ready","cold_left_ms":0}`)
		v.applyServers(update{full: true, entries: []store.Entry{{Key: "i", Value: entry, Version: 1}}})
		v.noteFailure(tableSource{direct: direct}, result.New(result.StoreUnavailable, "test"))
		v.applyServers(update{entries: []store.Entry{{Key: "i", Version: 2}}})
		v.mu.Lock()
		kept := len(v.servers) == 1
		v.mu.Unlock()
		if kept != direct {
			t.Errorf("direct read failed %v: the server is kept %v", direct, kept)
		}
	}
}

// After a restart of a large fleet only the relays may read the tables from the store and
// follow the instance list there, which changes with each instance that starts. Instances
// that find no relay must read the store after relayWait.
func TestRelaysReadFirst(t *testing.T) {
	begins := func(instances, table int, known bool, age time.Duration) int {
		n := 0
		listed := map[fleet.InstanceID]roster.Listing{}
		for i := range instances {
			listed[fleet.InstanceID(fmt.Sprint("i", i))] = roster.Listing{DataCentre: "x"}
		}
		for id := range listed {
			set := &settings.Edge{Instance: id, DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
			v := newView(set, platform.NewStore("127.0.0.1:1"), placement.NewBalancer(placement.DefaultPolicy()), zap.NewNop())
			v.peers = newPeers(set, nil, v, v.board, quarantine.New(set.Instance), zap.NewNop())
			v.peers.roster.SetListed(listed)
			v.startedAt = clock.SinceBoot() - age
			if v.mayReadStore(v.tables[table], known) {
				n++
			}
		}
		return n
	}
	for _, c := range []struct {
		instances int
		table     int // of view.tables, the last one is the list of instances
		known     bool
		age       time.Duration
		want      int
	}{
		{9, 0, false, 0, 9},
		{80, 0, false, 0, 2},
		{80, 0, false, relayWait + relayWaitJitter, 80},
		{80, 2, false, 0, 80},
		{9, 2, true, 0, 9},
		{80, 2, true, 0, 2},
		{80, 2, true, relayWait + relayWaitJitter, 80},
	} {
		if got := begins(c.instances, c.table, c.known, c.age); got != c.want {
			t.Errorf("%v after the start %d of %d instances read the store, want %d", c.age, got, c.instances, c.want)
		}
	}
}
