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
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

// Guards against a storm of calls to a store that refuses them, while peers that were
// its readers still count as such but do not hand anything on: 80 instances made some
// 1,000 calls a second. The wait must not end at once for a reader that is avoided.
func TestPauseWithoutUsableReader(t *testing.T) {
	set := &settings.Edge{Instance: "a", DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
	board := placement.NewBalancer()
	v := newView(set, platform.NewStore("127.0.0.1:1"), board, zap.NewNop())
	v.peers = newPeers(set, nil, v, board, zap.NewNop())
	v.peers.roster.HandleReport(time.Now(), roster.Peer{ID: "b", DataCentre: "y", ReadsStore: true}, true)
	if !v.hasReader() {
		t.Fatal("a live reader cannot be asked")
	}
	v.avoided.add("b", clock.SinceBoot())
	if v.hasReader() {
		t.Fatal("a reader that is avoided can be asked")
	}
	began := time.Now()
	v.pause(context.Background())
	if took := time.Since(began); took < storeRetry/4 {
		t.Errorf("the pause after a failed call took %v, want %v at least", took, storeRetry/4)
	}
}

// Guards against work for a server that has left, because a peer that hands its entry
// on failed meanwhile: only an outage of the store itself lets entries lapse.
func TestPeerFailureKeepsNoServer(t *testing.T) {
	for _, direct := range []bool{false, true} {
		set := &settings.Edge{Instance: "a", DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
		v := newView(set, platform.NewStore("127.0.0.1:1"), placement.NewBalancer(), zap.NewNop())
		v.peers = newPeers(set, nil, v, v.board, zap.NewNop())
		entry := []byte(`{"service":"s","address":"10.0.0.9:8080","zone":"z","slots":6,"state":"ready","cold_left_ms":0}`)
		v.takeServers(update{whole: true, entries: []store.Entry{{Key: "i", Value: entry, Version: 1}}})
		v.noteFailure(source{direct: direct}, result.New(result.StoreUnavailable, "test"))
		v.takeServers(update{entries: []store.Entry{{Key: "i", Version: 2}}})
		v.mu.Lock()
		kept := len(v.servers) == 1
		v.mu.Unlock()
		if kept != direct {
			t.Errorf("direct read failed %v: the server is kept %v", direct, kept)
		}
	}
}

// Guards against a restart after which all instances of a large fleet read the store
// whole, or follow the list of instances there, which changes with each one that starts;
// and against instances that wait for relays that never come.
func TestRelaysReadFirst(t *testing.T) {
	begins := func(instances, table int, known bool, age time.Duration) int {
		n := 0
		listed := map[fleet.InstanceID]roster.Listing{}
		for i := range instances {
			listed[fleet.InstanceID(fmt.Sprint("i", i))] = roster.Listing{DataCentre: "x"}
		}
		for id := range listed {
			set := &settings.Edge{Instance: id, DataCentre: "x", Times: settings.EdgeTimes{RevokeMillis: 5000}}
			v := newView(set, platform.NewStore("127.0.0.1:1"), placement.NewBalancer(), zap.NewNop())
			v.peers = newPeers(set, nil, v, v.board, zap.NewNop())
			v.peers.roster.SetListed(listed)
			v.began = clock.SinceBoot() - age
			if v.mayRead(v.tables[table], known) {
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
		{80, 0, false, orphanTime + orphanSpread, 80},
		{80, 2, false, 0, 80},
		{9, 2, true, 0, 9},
		{80, 2, true, 0, 2},
		{80, 2, true, orphanTime + orphanSpread, 80},
	} {
		if got := begins(c.instances, c.table, c.known, c.age); got != c.want {
			t.Errorf("%v after the start %d of %d instances read the store, want %d", c.age, got, c.instances, c.want)
		}
	}
}
