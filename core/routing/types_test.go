package routing

import (
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Guards against a filter that keeps or drops the wrong servers.
func TestFilters(t *testing.T) {
	m := testManifest(3)
	m.DataCentres[1].State = manifest.StateOut
	m.Servers[2].State = manifest.StateLeaving
	x := manifest.NewIndex(1, m)
	for _, c := range []struct {
		filter Filter
		want   [3]bool
	}{
		{LeavingFilter{}, [3]bool{true, true, false}},
		{DataCentreFilter{x}, [3]bool{true, false, true}},
		{RegionFilter{x, nil}, [3]bool{true, true, true}},
		{RegionFilter{x, map[fleet.RegionID]bool{"region1": true}}, [3]bool{false, true, false}},
	} {
		for i := range m.Servers {
			if got := c.filter.Keep(&m.Servers[i]); got != c.want[i] {
				t.Errorf("%s, server %d: %v", c.filter.Rule(), i, got)
			}
		}
	}
}

// Guards against a picker that loses one of the best or orders them wrongly.
func TestTopPicker(t *testing.T) {
	top := topK{k: 3}
	for i, h := range []uint64{5, 1, 9, 7, 2, 8} {
		top.offer(rankedServer{hash: h, index: int32(i)})
	}
	for i, want := range []uint64{9, 8, 7} {
		if top.best[i].hash != want {
			t.Errorf("place %d: %d, want %d", i, top.best[i].hash, want)
		}
	}
}

// Guards against a weighted server that gets a share other than its weight.
func TestScorerWeights(t *testing.T) {
	m := testManifest(2)
	m.Servers[0].Weight = 3
	v := NewView(manifest.NewIndex(1, m))
	n := 0
	for chat := fleet.ChatKey(1); chat <= 4000; chat++ {
		if v.Rank("p", chat, make([]*manifest.Server, 0, 1))[0].Name == "e0" {
			n++
		}
	}
	if n < 2850 || n > 3150 {
		t.Errorf("server of weight 3 of 4 has %d of 4000 chats", n)
	}
}

// Guards against a table that grows, forgets a chat in use, or keeps one past
// its time.
func TestRecent(t *testing.T) {
	r := NewRecentChats(start)
	for chat := fleet.ChatKey(1); chat <= 3*recentEntries; chat++ {
		r.Record(chat, "e1", 160, start)
	}
	r.Record(7, "e1", 160, start)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 160}, {PrefixTTL - 3*time.Second, 160}, {PrefixTTL, 0}} {
		if got := r.CachedTokens(7, "e1", start.Add(c.after)); got != c.want {
			t.Errorf("after %v: %d tokens, want %d", c.after, got, c.want)
		}
	}
	if r.CachedTokens(7, "e2", start) != 0 {
		t.Error("prefix on another server")
	}
	r.ForgetServer("e1")
	if r.CachedTokens(7, "e1", start) != 0 {
		t.Error("prefix of a server that lost its cache")
	}
}

// Guards against an allocation in the ranking.
func TestRankDoesNotAllocate(t *testing.T) {
	for _, n := range []int{24, scanLimit + 1} {
		v := NewView(manifest.NewIndex(1, testManifest(n)))
		var buf [9]*manifest.Server
		r := NewRecentChats(start)
		if a := testing.AllocsPerRun(100, func() { r.Promote(v, "p", 3, start, v.RankAt("p", 3, start, buf[:0])) }); a != 0 {
			t.Errorf("%d servers: %v allocations", n, a)
		}
	}
}
