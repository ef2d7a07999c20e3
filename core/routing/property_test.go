package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

var start = time.Unix(1_700_000_000, 0)

func testManifest(servers int) *manifest.Manifest {
	m := &manifest.Manifest{Pools: []manifest.Pool{{Name: "p", ColdStartSeconds: 60}}}
	for i := range 3 {
		m.DataCentres = append(m.DataCentres, manifest.DataCentre{Name: fleet.DataCentreID(fmt.Sprintf("dc%d", i)), Region: fleet.RegionID(fmt.Sprintf("region%d", i%2)), State: manifest.StateIn})
	}
	for i := range servers {
		m.Servers = append(m.Servers, manifest.Server{Name: fleet.ServerID(fmt.Sprintf("e%d", i)), Pool: "p", DataCentre: m.DataCentres[i%3].Name, Weight: 1, State: manifest.StateIn})
	}
	return m
}

// Guards against work for a data centre that is out, a server that is leaving or
// a region without an admitter, also for chats that were there recently, over
// histories of configuration changes.
func TestNothingToServersThatAreOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 4, 9}).Draw(t, "servers")
		recent := NewRecentChats(start)
		var v *View
		now := start
		for version := range rapid.IntRange(1, 8).Draw(t, "versions") {
			m := testManifest(n)
			for i := range m.DataCentres {
				m.DataCentres[i].State = rapid.SampledFrom([]string{manifest.StateIn, manifest.StateOut}).Draw(t, "dc")
			}
			for i := range m.Servers {
				m.Servers[i].State = rapid.SampledFrom([]string{manifest.StateIn, manifest.StateLeaving}).Draw(t, "server")
				m.Servers[i].Weight = rapid.SampledFrom([]float64{1, 2}).Draw(t, "weight")
			}
			reach := map[fleet.RegionID]bool{"region0": rapid.Bool().Draw(t, "region0"), "region1": true}
			x := manifest.NewIndex(uint64(version+1), m)
			v = Build(x, v, reach, now)
			for chat := fleet.ChatKey(1); chat < 30; chat++ {
				ranked := v.RankAt("p", chat, now, make([]*manifest.Server, 0, 8))
				ranked, _ = recent.Promote(v, "p", chat, now, ranked)
				seen := map[fleet.ServerID]bool{}
				for _, s := range ranked {
					dc := x.DataCentre(s.DataCentre)
					if s.State != manifest.StateIn || dc.State != manifest.StateIn || !reach[dc.Region] || seen[s.Name] {
						t.Fatalf("chat %d may go to %s: server %s, data centre %s", chat, s.Name, s.State, dc.State)
					}
					seen[s.Name] = true
				}
				if d := v.Explain("p", chat, now, recent); len(ranked) > 0 && d.Chosen != ranked[0].Name {
					t.Fatalf("chat %d: explained %s, ranked %s", chat, d.Chosen, ranked[0].Name)
				}
				if len(ranked) > 0 {
					recent.Record(chat, ranked[rapid.IntRange(0, len(ranked)-1).Draw(t, "served")].Name, 100, now)
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "s")) * time.Second)
		}
	})
}

// Guards against a server whose loss moves chats of other servers, in a scanned
// and in a large pool.
func TestLossMovesOnlyOwnChats(t *testing.T) {
	for _, n := range []int{20, scanLimit + 20} {
		m := testManifest(n)
		all := NewView(manifest.NewIndex(1, m))
		m2 := testManifest(n)
		m2.Servers[7].State = manifest.StateLeaving
		less := NewView(manifest.NewIndex(2, m2))
		counts := map[fleet.ServerID]int{}
		const chats = 20_000
		for chat := fleet.ChatKey(1); chat <= chats; chat++ {
			a, b := all.Rank("p", chat, make([]*manifest.Server, 0, 2)), less.Rank("p", chat, make([]*manifest.Server, 0, 2))
			counts[a[0].Name]++
			want := a[0].Name
			if want == "e7" {
				want = a[1].Name
			}
			if b[0].Name != want {
				t.Fatalf("%d servers, chat %d: %s, want %s", n, chat, b[0].Name, want)
			}
		}
		for s, c := range counts {
			if c < chats/n/2 || c > chats/n*2 {
				t.Errorf("%d servers: %s has %d of %d chats", n, s, c, chats)
			}
		}
	}
}

// Guards against a data centre whose chats return at once to cold caches.
func TestDataCentreReturnsGradually(t *testing.T) {
	m := testManifest(9)
	out := testManifest(9)
	out.DataCentres[0].State = manifest.StateOut
	v := Build(manifest.NewIndex(2, m), NewView(manifest.NewIndex(1, out)), nil, start)
	share := func(after time.Duration) float64 {
		n := 0
		for chat := fleet.ChatKey(1); chat <= 9000; chat++ {
			if s := v.RankAt("p", chat, start.Add(after), make([]*manifest.Server, 0, 1)); s[0].DataCentre == "dc0" {
				n++
			}
		}
		return float64(n) / 3000
	}
	last := -1.0
	for _, sec := range []int{0, 15, 30, 45, 60} {
		got, want := share(time.Duration(sec)*time.Second), float64(sec)/60
		if got < last || got < want-0.1 || got > want+0.1 {
			t.Errorf("after %d s: share %.2f of the full one, want about %.2f", sec, got, want)
		}
		last = got
	}
}
