package rollout

import (
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// rig is an instance with an old and three new servers and an order that it saw arrive.
func rig(t *testing.T, cfg func(*Config)) (*Tracker, time.Time) {
	t.Helper()
	c := (&world{}).config()
	if cfg != nil {
		cfg(&c)
	}
	tr := New(c, func() float64 { return 0.99 })
	tr.SetOrders(simEpoch, simEpoch, nil, true)
	tr.SetServers(simEpoch, simPool, rigServers("v2"))
	tr.SetOrders(simEpoch, simEpoch, map[fleet.PoolID]*Order{simPool: {Row: 7, To: "v2", Duration: 40 * time.Second}}, false)
	return tr, simEpoch
}

func rigServers(version string) []Server {
	out := []Server{{ID: "old", Version: "v1", StartMillis: 1, Taking: true}}
	for _, id := range []fleet.ServerID{"a", "b", "c"} {
		out = append(out, Server{ID: id, Version: version, StartMillis: 2, Taking: true})
	}
	return out
}

// sends returns how many of n requests go to new servers.
func sends(tr *Tracker, now time.Time, n int) int {
	fresh := 0
	for i := range n {
		c := tr.Choose(now, simPool, uint64(i), true)
		id := fleet.ServerID("a")
		if c != nil && c.Excludes(id) {
			id = "old"
		}
		if tr.Placed(c, id, true); id == "a" {
			fresh++
		}
	}
	return fresh
}

// Guards against decisions that change where no roll-out runs: all servers have one version,
// or the versions are in use.
func TestNoRestrictionWithoutOrder(t *testing.T) {
	tr := New((&world{}).config(), nil)
	tr.SetServers(simEpoch, simPool, rigServers("v1"))
	if tr.Choose(simEpoch, simPool, 1, true) != nil || tr.Choose(simEpoch, "other", 1, true) != nil {
		t.Error("requests are restricted without an order")
	}
}

// Guards against requests to a new version whose entries arrive before the order.
func TestUnseenVersionIsHeld(t *testing.T) {
	tr := New((&world{}).config(), nil)
	tr.SetServers(simEpoch, simPool, rigServers("v1"))
	tr.SetOrders(simEpoch, simEpoch, nil, true)
	tr.SetServers(simEpoch, simPool, rigServers("v2"))
	tr.SetOrders(simEpoch.Add(time.Second), simEpoch.Add(holdMargin/2), nil, false)
	if n := sends(tr, simEpoch.Add(time.Second), 100); n != 0 {
		t.Errorf("%d requests before it was known whether there is an order", n)
	}
	tr.SetOrders(simEpoch.Add(3*time.Second), simEpoch.Add(2*holdMargin), nil, false)
	if tr.Choose(simEpoch.Add(3*time.Second), simPool, 1, true) != nil {
		t.Error("a version without an order stays held")
	}
}

// Guards against an instance that sends to a version after its restart although it was rolled
// back, and against one that sends before it knows.
func TestRestartLearnsFirst(t *testing.T) {
	tr := New((&world{}).config(), func() float64 { return 0.99 })
	tr.SetServers(simEpoch, simPool, rigServers("v2"))
	tr.SetOrders(simEpoch, simEpoch, map[fleet.PoolID]*Order{simPool: {Row: 7, To: "v2", Duration: time.Minute}}, true)
	if n := sends(tr, simEpoch, 100); n != 0 {
		t.Errorf("%d requests before the stored state was known", n)
	}
	tr.Stored(simEpoch, simPool, &State{Row: 7, To: "v2", Phase: RolledBack, Excluded: []string{"v2"}}, State{})
	if n := sends(tr, simEpoch, 100); n != 0 {
		t.Errorf("%d requests after the roll-back", n)
	}
	// Another order does not bring it back, a new one for it does.
	tr.SetOrders(simEpoch, simEpoch, map[fleet.PoolID]*Order{simPool: {Row: 8, To: "v3", Duration: time.Minute}}, false)
	if n := sends(tr, simEpoch, 100); n != 0 {
		t.Errorf("%d requests to the excluded version with an order for another one", n)
	}
	tr.SetOrders(simEpoch, simEpoch, map[fleet.PoolID]*Order{simPool: {Row: 9, To: "v2", Duration: time.Minute}}, false)
	if n := sends(tr, simEpoch, 100); n == 0 || n > 10 {
		t.Errorf("%d of 100 requests with a new order", n)
	}
}

// Guards against an exposure above the share where no slack is given.
func TestNoSlack(t *testing.T) {
	tr, now := rig(t, func(c *Config) { c.Slack = 0 })
	if n := sends(tr, now, 1000); n == 0 || n > 100 {
		t.Errorf("%d of 1000 requests", n)
	}
}

// Guards against sends to a version whose order was removed, while others take requests.
func TestOrderRemoved(t *testing.T) {
	tr, now := rig(t, nil)
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: nil}, false)
	if n := sends(tr, now, 100); n != 0 {
		t.Errorf("%d requests after the removal", n)
	}
	if c := tr.Choose(now, simPool, 1, true); !c.HasFallback(true) || c.ExcludesFallback("a") {
		t.Error("the version gets nothing although no other one may be left")
	} else if c.HasFallback(false) {
		t.Error("the version gets what the old servers have no room for")
	}
	if tasks := tr.Tasks(now, func(fleet.PoolID) int { return 0 }, nil); len(tasks) != 0 {
		t.Errorf("tasks %+v", tasks)
	}
}

// Guards against an instance without contact that raises the part of the new version.
func TestPartitionedInstanceDoesNotRaise(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: Moving, Started: now, Changed: now})
	first := sends(tr, now.Add(contactTimeout), 1000)
	if n := sends(tr, now.Add(8*time.Second), 1000); n > first+50 {
		t.Errorf("%d of 1000 requests without contact, %d before", n, first)
	}
	tr.Merge(now.Add(8*time.Second), Source{"p", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Moving}})
	if n := sends(tr, now.Add(8*time.Second), 1000); n != 1000 {
		t.Errorf("%d of 1000 requests at the end of the move", n)
	}
}

// Guards against a phase that goes back, or is not written again, when the store returns as an
// older copy, and against an order that begins anew because its row has another version.
func TestStoreReturnsOlder(t *testing.T) {
	tr, now := rig(t, nil)
	bad := State{Row: 7, To: "v2", Phase: RolledBack, Reason: "r", Started: now, Changed: now}
	tr.Written(now, simPool, bad)
	tr.StoreRewound(now)
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: {Row: 3, To: "v2", Duration: 40 * time.Second}}, false)
	if n := sends(tr, now, 100); n != 0 {
		t.Errorf("%d requests after the order was written again", n)
	}
	tasks := tr.Tasks(now.Add(time.Second), func(fleet.PoolID) int { return 0 }, nil)
	if len(tasks) != 1 || tasks[0].Next.Phase != RolledBack || tasks[0].Next.Row != 3 {
		t.Fatalf("tasks %+v", tasks)
	}
	if !tr.Stored(now, simPool, &State{Row: 3, Phase: Observing}, tasks[0].Next) {
		t.Error("the older phase is not written over")
	}
	if tr.Stored(now, simPool, &State{Row: 3, Phase: Completed}, tasks[0].Next) {
		t.Error("a phase that has ended is written over")
	}
}

// Guards against counters that are lost or counted twice on their way over relays.
func TestRelayedSums(t *testing.T) {
	member, relay, far := New((&world{}).config(), nil), New((&world{}).config(), nil), New((&world{}).config(), nil)
	for _, tr := range []*Tracker{member, relay, far} {
		tr.SetOrders(simEpoch, simEpoch, nil, true)
		tr.SetServers(simEpoch, simPool, rigServers("v2"))
		tr.SetOrders(simEpoch, simEpoch, map[fleet.PoolID]*Order{simPool: {Row: 7, To: "v2", Duration: time.Minute}}, false)
	}
	now := simEpoch
	for range 10 {
		now = now.Add(time.Second)
		for _, tr := range []*Tracker{member, relay} {
			tr.Answer(now, Attempt{Pool: simPool, Route: "r", Server: "a", Outcome: Failed})
		}
		relay.Merge(now, Source{"m", 1}, "z1", member.Reports(now, "z1", false, Recipients{Counters: 2}).Own)
		out := relay.Reports(now, "z1", true, Recipients{Counters: 30})
		for range 2 { // datagrams may arrive twice
			far.Merge(now, Source{"r", 1}, "z1", out.Sums)
			member.Merge(now, Source{"r", 1}, "z1", append(out.Own, out.Sums...))
		}
	}
	for i, tr := range []*Tracker{member, relay, far} {
		total := Cells{}
		for _, cells := range tr.pool(simPool).ev.dataCentres([]fleet.DataCentreID{"z1", "z1", "z2"}[i]) {
			total.addAll(cells)
		}
		if got := total[cellID(newRoute, "r")]; got.Failed != 20 {
			t.Errorf("instance %d counts %+v, want 20 failures", i, got)
		}
	}
}

// Guards against an instance with a wrong clock that makes the others end an order early.
func TestStartFromWrongClock(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Stored(now, simPool, &State{Row: 7, Phase: Observing, Started: now.Add(-time.Hour), Changed: now}, State{})
	tr.Merge(now, Source{"p", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Observing, Age: time.Hour}})
	for _, task := range tr.Tasks(now.Add(time.Second), func(fleet.PoolID) int { return 0 }, nil) {
		if task.Next.Phase != None {
			t.Errorf("phase %v a second after the order", task.Next.Phase)
		}
	}
}

// Guards against members of a large fleet, which have no counters of others, that go on sending
// to a version that their relay found to be bad.
func TestMemberTakesVerdict(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Merge(now, Source{"r", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Observing, Bad: true, Reason: "r"}})
	if n := sends(tr, now, 200); n != 0 {
		t.Errorf("%d requests after the verdict", n)
	}
	if own := tr.Reports(now, "z", false, Recipients{Counters: 2}).Own; len(own) != 1 || !own[0].Bad {
		t.Errorf("the verdict is not passed on: %+v", own)
	}
}

// Guards against an instance that was cut off and takes an order for new that was rolled back
// meanwhile.
func TestOrderAfterGapIsNotNew(t *testing.T) {
	tr, now := New((&world{}).config(), func() float64 { return 0.99 }), simEpoch
	tr.SetOrders(now, now, nil, true)
	tr.SetServers(now, simPool, rigServers("v2"))
	now = now.Add(10 * time.Second)
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: {Row: 7, To: "v2", Duration: time.Minute}}, false)
	if n := sends(tr, now, 200); n != 0 {
		t.Errorf("%d requests before the stored state was known", n)
	}
}

// Guards against a read of the store each second for as long as the row of an order stays.
func TestChecksAfterEnd(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: RolledBack, Started: now, Changed: now})
	reads := 0
	for range 6000 {
		now = now.Add(100 * time.Millisecond)
		reads += len(tr.Tasks(now, func(fleet.PoolID) int { return 0 }, nil))
	}
	if reads < 10 || reads > 80 {
		t.Errorf("%d reads in 10 minutes", reads)
	}
}

// Guards against a version under observation that gets all requests once another order replaces
// its own: the read that brings the new order is also the one that releases unordered versions.
func TestReplacedOrderHoldsItsVersion(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: Observing, Started: now, Changed: now})
	for range 5 {
		now = now.Add(time.Second)
		tr.SetOrders(now, now, nil, false)
		tr.Merge(now, Source{"p", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Observing}})
	}
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: {Row: 8, To: "v3", Duration: time.Minute}}, false)
	tr.SetOrders(now.Add(5*time.Second), now.Add(5*time.Second), nil, false)
	if n := sends(tr, now.Add(5*time.Second), 1000); n != 0 {
		t.Errorf("%d of 1000 requests to the version whose order was replaced", n)
	}
	tasks := tr.Tasks(now, func(fleet.PoolID) int { return 0 }, nil)
	if len(tasks) != 1 || len(tasks[0].Next.Excluded) != 1 || tasks[0].Next.Excluded[0] != "v2" {
		t.Errorf("instances that restart do not learn it: tasks %+v", tasks)
	}
}

// Guards against servers of a later version without an order that get nothing because the last
// order has completed.
func TestReleaseAfterCompletion(t *testing.T) {
	tr, now := rig(t, nil)
	now = now.Add(30 * time.Second)
	tr.Written(now, simPool, State{Row: 7, Phase: Completed, Started: now, Changed: now})
	later := []Server{{ID: "a", Version: "v2", StartMillis: 2, Taking: true}, {ID: "n", Version: "v3", StartMillis: now.Add(time.Hour).UnixMilli(), Taking: true}}
	now = now.Add(time.Hour)
	tr.SetServers(now, simPool, later)
	if c := tr.Choose(now, simPool, 1, true); c == nil || !c.Excludes("n") {
		t.Error("the version gets requests before it was known whether there is an order")
	}
	now = now.Add(5 * time.Second)
	tr.SetOrders(now, now, nil, false)
	if c := tr.Choose(now, simPool, 1, true); c != nil && c.Excludes("n") {
		t.Error("the later version gets nothing")
	}
	tr.SetServers(now, simPool, append(later, Server{ID: "old", Version: "v1", StartMillis: 1, Taking: true}))
	if c := tr.Choose(now, simPool, 1, true); c == nil || !c.Excludes("old") || c.Excludes("a") || c.Excludes("n") {
		t.Error("the servers that were given up get requests, or others do not")
	}
}

// Guards against verdicts that reach the members of a large data centre later than the limit
// allows: a relay of 300 instances has 80 recipients.
func TestVerdictIsReportedAtOnce(t *testing.T) {
	tr, now := rig(t, nil)
	for i := range 40 {
		tr.Answer(now, Attempt{Pool: simPool, Route: string(rune('a' + i%20)), Server: "a"})
		tr.Answer(now, Attempt{Pool: simPool, Route: string(rune('a' + i%20)), Server: "old"})
	}
	tr.Reports(now, "z", true, Recipients{Counters: 13, Verdicts: 74})
	now = now.Add(200 * time.Millisecond)
	tr.Merge(now, Source{"r", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Observing, Bad: true, Reason: "r"}})
	if out := tr.Reports(now, "z", true, Recipients{Counters: 13, Verdicts: 74}); len(out.Verdicts) != 1 || !out.Verdicts[0].Bad {
		t.Errorf("reports %+v", out)
	}
}

// Guards against relays that report their counters too rarely to keep the time limit: three hops,
// with 74 members that get no counters, have to fit into it.
func TestRelayReportsInTime(t *testing.T) {
	tr, now := rig(t, nil)
	for _, route := range []string{"a", "b", "c", "d", "e"} {
		for _, s := range []fleet.ServerID{"a", "b", "c", "old"} {
			tr.Answer(now, Attempt{Pool: simPool, Route: route, Server: s})
		}
	}
	tr.Reports(now, "z", true, Recipients{Counters: 13, Verdicts: 74})
	for step := 1; ; step++ {
		at := now.Add(time.Duration(step) * 100 * time.Millisecond)
		tr.Answer(at, Attempt{Pool: simPool, Route: "a", Server: "a"})
		if out := tr.Reports(at, "z", true, Recipients{Counters: 13, Verdicts: 74}); len(out.Own) == 0 {
			continue
		}
		if at.Sub(now) > 1250*time.Millisecond {
			t.Errorf("counters are reported after %v", at.Sub(now))
		}
		return
	}
}

// Guards against counters of many servers in the move that leave no room for those of routes.
func TestServersLeaveRoomForRoutes(t *testing.T) {
	tr, now := rig(t, nil)
	var servers []Server
	for i := range 300 {
		servers = append(servers, Server{ID: fleet.ServerID(rune('A' + i)), Version: "v2", StartMillis: 2, Taking: true})
	}
	tr.SetServers(now, simPool, append(servers, Server{ID: "old", Version: "v1", StartMillis: 1, Taking: true}))
	for _, s := range servers {
		tr.Answer(now, Attempt{Pool: simPool, Route: "a", Server: s.ID})
	}
	tr.Answer(now, Attempt{Pool: simPool, Route: "b", Server: servers[0].ID, Outcome: Failed})
	ev := &tr.pool(simPool).ev
	if got := ev.own[cellID(newRoute, "b")]; got.Failed != 1 || len(ev.own) > maxCells {
		t.Errorf("counter of the route %+v among %d", got, len(ev.own))
	}
}

// Guards against a verdict that closes a pool in which all servers have the order's version.
func TestNoVerdictWithoutOtherVersion(t *testing.T) {
	tr, now := rig(t, nil)
	tr.SetServers(now, simPool, rigServers("v2")[1:])
	for i := range 300 {
		tr.Answer(now, Attempt{Pool: simPool, Route: "r", Server: fleet.ServerID(rune('a' + i%3)), Outcome: Failed})
	}
	if tr.Judge(now, "z") || tr.Choose(now, simPool, 1, true) != nil {
		t.Error("a pool without another version is closed")
	}
}

// Guards against control traffic that goes on at the rate of a roll-out after its end, and
// against state for pools that only peers name.
func TestNoReportsOfAnswersAfterEnd(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: Completed, Started: now, Changed: now})
	tr.Reports(now, "z", false, Recipients{Counters: 2})
	tr.Answer(now, Attempt{Pool: simPool, Route: "r", Server: "a"})
	if out := tr.Reports(now.Add(time.Second), "z", false, Recipients{Counters: 2}); len(out.Own) != 0 {
		t.Errorf("reports %+v", out.Own)
	}
	tr.Merge(now, Source{"p", 1}, "z", []Report{{Pool: "unknown", Row: 7}})
	if len(tr.pools) != 1 {
		t.Errorf("%d pools", len(tr.pools))
	}
}

// Guards against an instance that starts beside a version that was rolled back and does not read
// the stored states, and against reads by all instances for each new version.
func TestHoldsFromStart(t *testing.T) {
	for _, first := range []string{"v1", "v2"} {
		tr := New((&world{}).config(), nil)
		tr.SetServers(simEpoch, simPool, rigServers(first))
		tr.SetServers(simEpoch, simPool, rigServers("v2"))
		if got, want := tr.HoldsFromStart(), first == "v2"; got != want {
			t.Errorf("first version %s: %v", first, got)
		}
		tr.SetOrders(simEpoch.Add(time.Minute), simEpoch.Add(time.Minute), nil, true)
		if tr.HoldsFromStart() {
			t.Error("nothing is held any longer")
		}
	}
}

// Guards against an instance that hears no peers and gives up old servers that still run
// requests of others, whose loads it no longer knows.
func TestNoEarlyCompletionWithoutPeers(t *testing.T) {
	tr, now := rig(t, nil)
	peer := func() {
		tr.Merge(now, Source{"p", 1}, "z", []Report{{Pool: simPool, Row: 7, Phase: Moving, PhaseAge: now.Sub(simEpoch)}})
	}
	completes := func() bool {
		tr.Stored(now, simPool, &State{Row: 7, To: "v2", Phase: Moving, Started: simEpoch, Changed: simEpoch}, State{})
		for _, task := range tr.Tasks(now, func(fleet.PoolID) int { return 0 }, func(fleet.ServerID) int { return 0 }) {
			if task.Next.Phase == Completed {
				return true
			}
		}
		return false
	}
	peer()
	for range 20 {
		now = now.Add(time.Second)
		if completes() {
			t.Fatalf("completed %v after the order without peers", now.Sub(simEpoch))
		}
	}
	for range 2 {
		now = now.Add(time.Second)
		peer()
		completes()
	}
	if !completes() {
		t.Error("not completed although peers are heard and the old servers run nothing")
	}
}

// Guards against control traffic above the limit when several pools roll out at once.
func TestRateIsSharedByPools(t *testing.T) {
	tr, now := rig(t, nil)
	pools := []fleet.PoolID{simPool, "t", "u", "v"}
	for _, id := range pools[1:] {
		tr.SetServers(now, id, rigServers("v2"))
		tr.SetOrders(now, now, map[fleet.PoolID]*Order{id: {Row: 8, To: "v2", Duration: 40 * time.Second}}, false)
	}
	bytes, to := 0, Recipients{Counters: 39}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for _, id := range pools {
			for _, s := range []fleet.ServerID{"a", "b", "c", "old"} {
				tr.Answer(now, Attempt{Pool: id, Route: "r", Server: s})
			}
		}
		for _, r := range tr.Reports(now, "z", false, to).Own {
			bytes += to.Counters * (reportBytes + cellBytes*len(r.Cells))
		}
	}
	if rate := bytes / 10; rate > 13*reportRate/10 {
		t.Errorf("%d bytes/s, limit %d", rate, reportRate)
	}
}

// Guards against an instance that missed the completion of an order, takes the version in use for
// one that was replaced before its end, and tells the others so by the stored state.
func TestMissedCompletion(t *testing.T) {
	tr, now := rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: Moving, Started: now, Changed: now})
	excludes := func() bool {
		c := tr.Choose(now, simPool, 1, true)
		return c != nil && c.Excludes("a")
	}
	next := State{Row: 8, To: "v3", Phase: Observing, Excluded: []string{"v2"}}
	now = now.Add(time.Second)
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: {Row: 8, To: "v3", Duration: time.Minute}}, false)
	if !excludes() {
		t.Error("the replaced version gets requests")
	}
	if tr.Stored(now, simPool, &State{Row: 7, To: "v2", Phase: Completed, Started: now, Changed: now}, next) {
		t.Error("the exclusion of a completed version is written")
	}
	if excludes() {
		t.Error("the completed version gets nothing")
	}

	tr, now = rig(t, nil)
	tr.Written(now, simPool, State{Row: 7, Phase: Moving, Started: now, Changed: now})
	now = now.Add(10 * time.Second)
	tr.SetOrders(now, now, map[fleet.PoolID]*Order{simPool: {Row: 8, To: "v3", Duration: time.Minute}}, false)
	if excludes() {
		t.Error("an instance without contact excludes the version that may be in use")
	}
}
