package edge

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/feed"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/core/store"
	"cyclamenhitch/platform"
)

// servePeer serves what a view has in force and returns the address.
func servePeer(t *testing.T, v *view) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = fasthttp.Serve(ln, (&feed.Server{Extra: v.extraTable}).Handle) }()
	return ln.Addr().String()
}

// viewWithConfig returns a view of era 1 with a configuration.
func viewWithConfig(version int) *view {
	v := testView()
	v.eras.tracker.Observe(1)
	v.applyOperator(update{full: true, entries: []store.Entry{{Key: platform.ConfigKey, Value: config(version, `"k1"`)}}})
	v.applyServers(update{full: true})
	return v
}

// Guards against an instance that serves an older configuration of the store because the
// first peers that it asked have left or restart.
func TestOtherPeersAreAsked(t *testing.T) {
	for listed, answers := range map[int]int{maxInForcePeers + 1: maxInForcePeers, 100: maxInForceRounds - 1} { // a small and a large fleet
		v := viewWithConfig(1)
		var ids []fleet.InstanceID
		for i := range listed {
			ids = append(ids, fleet.InstanceID(rune('A'+i)))
		}
		slices.SortFunc(ids, func(a, b fleet.InstanceID) int { return compareHash(string(v.set.Instance), string(a), string(b)) })
		rows := map[fleet.InstanceID]roster.Listing{}
		for _, id := range ids {
			rows[id] = roster.Listing{Peer: "127.0.0.1:1"}
		}
		rows[ids[answers]] = roster.Listing{Peer: servePeer(t, viewWithConfig(2))}
		v.peers.roster.SetListed(rows)
		v.learnFromAny(context.Background(), inForceConfig)
		if c := v.current.Load(); c.Version != 2 {
			t.Errorf("%d instances: configuration %d, a peer has 2", listed, c.Version)
		}
	}
}

// Guards against an instance that serves an older configuration for good because it hears a
// peer with a newer one only after the time in which it waits for such peers.
func TestNewerConfigIsLearnedLate(t *testing.T) {
	v := viewWithConfig(1)
	v.set.Eras.CatchUpMillis = 1
	v.peers.roster.SetListed(map[fleet.InstanceID]roster.Listing{})
	address := servePeer(t, viewWithConfig(2))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go v.catchUp(ctx)
	time.Sleep(4 * catchUpInterval) // the wait is over
	for end := time.Now().Add(testTimeout); v.current.Load().Version != 2; time.Sleep(catchUpInterval) {
		if time.Now().After(end) {
			t.Fatal("the configuration of a peer is not taken over")
		}
		v.peers.roster.HandleReport(time.Now(), roster.Peer{ID: "b", Incarnation: 1, Peer: address, Version: 2}, true)
		if v.behindPeers.Load() {
			t.Fatal("the instance does not serve after the time limit")
		}
	}
}

// Guards against requests to a draining server that this instance reads for the first time
// from the store's older copy, after peers have told that it drains.
func TestUnknownLeavingServerStaysOut(t *testing.T) {
	saw, missed := viewWithConfig(1), viewWithConfig(1)
	saw.caughtUp.Store(true)
	saw.applyServers(update{entries: []store.Entry{serverRow(5, `"state":"draining","sequence":2`)}})
	missed.eras.tracker.Observe(2)
	missed.mergeInForce(saw.inForce())
	ready := func() bool {
		missed.mu.Lock()
		defer missed.mu.Unlock()
		return missed.servers["i"] != nil && !missed.servers["i"].Leaving
	}
	missed.applyServers(update{full: true, newEra: true, entries: []store.Entry{serverRow(4, `"state":"ready","sequence":1`)}})
	if ready() {
		t.Error("a draining server is ready after the older copy was read")
	}
	missed.applyServers(update{entries: []store.Entry{serverRow(6, `"state":"ready","sequence":3`)}})
	if !ready() {
		t.Error("a newer entry is ignored")
	}
}

// Guards against an instance that serves an older configuration for a moment because the era
// increases again while it waits for a newer one of a peer.
func TestWaitGoesOnOverAnIncrease(t *testing.T) {
	v := viewWithConfig(1)
	v.caughtUp.Store(true)
	v.set.Eras.CatchUpMillis = int(testTimeout.Milliseconds())
	v.peers.roster.HandleReport(time.Now().Add(testTimeout), roster.Peer{ID: "b", Incarnation: 1, Peer: "127.0.0.1:1", Version: 2}, true)
	raised := make(chan struct{})
	close(raised)
	v.awaitNewerConfig(context.Background(), clock.SinceBoot(), raised)
	if v.mayServe() {
		t.Error("the instance serves between two increases of the era")
	}
	v.awaitNewerConfig(context.Background(), clock.SinceBoot()-testTimeout, nil)
	if v.behindPeers.Load() {
		t.Error("the wait does not end at its limit")
	}
}
