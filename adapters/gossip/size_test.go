package gossip

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/rollout"
)

// Guards against reports that do not fit into a datagram: the size that is counted for a
// placement is the one by which it lengthens the report.
func TestPlacementSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placement.Placement{Server: fleet.ServerID(rapid.StringN(1, 40, 200).Draw(t, "server"))}
		for range rapid.IntRange(1, 300).Draw(t, "parts") {
			p.Parts = append(p.Parts, placement.Part{ID: rapid.Uint64().Draw(t, "id"), Tokens: rapid.IntRange(1, 2_000_000).Draw(t, "tokens")})
		}
		r := Report{}
		before := Size(&r)
		r.Placements = []placement.Placement{p}
		if got, want := PlacementSize(&p), Size(&r)-before; got != want {
			t.Fatalf("size %d, want %d", got, want)
		}
	})
}

// Guards against counters of roll-outs that are lost or mixed up between instances, in reports
// and in digests.
func TestRolloutRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []rollout.Report
		for range rapid.IntRange(1, 3).Draw(t, "pools") {
			ms := func(name string) time.Duration {
				return time.Duration(rapid.Uint32().Draw(t, name)) * time.Millisecond
			}
			r := rollout.Report{
				Pool: fleet.PoolID(rapid.String().Draw(t, "pool")), Row: rapid.Uint64().Draw(t, "row"), Age: ms("age"), PhaseAge: ms("phase age"),
				Phase: rollout.Phase(rapid.IntRange(0, 4).Draw(t, "phase")), Bad: rapid.Bool().Draw(t, "bad"), Doubtful: rapid.Bool().Draw(t, "doubtful"), Reason: rapid.String().Draw(t, "reason"),
				DataCentre: fleet.DataCentreID(rapid.String().Draw(t, "data centre")),
			}
			n := rapid.Uint32()
			r.Cells = rapid.MapOfN(rapid.Custom(func(t *rapid.T) rollout.CellID { return rollout.CellID(n.Draw(t, "cell")) }), rapid.Custom(func(t *rapid.T) rollout.Cell {
				return rollout.Cell{Answers: n.Draw(t, "answers"), Failed: n.Draw(t, "failed"), Slow: n.Draw(t, "slow"), Lost: n.Draw(t, "lost")}
			}), 1, 20).Draw(t, "cells")
			list = append(list, r)
		}
		b, err := Marshal(&Report{Rollouts: list, Digest: &Digest{Rollouts: list}})
		if err != nil {
			t.Fatal(err)
		}
		r, err := Unmarshal(b)
		if err != nil || !reflect.DeepEqual(r.Rollouts, list) || !reflect.DeepEqual(r.Digest.Rollouts, list) {
			t.Fatalf("got %+v, %v, want %+v", r, err, list)
		}
	})
}

// Evidence must survive the encoding.
func TestEvidenceRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 3_600_000).Draw(t, "ms")) * time.Millisecond
		})
		var list []quarantine.Evidence
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			e := quarantine.Evidence{
				Part: quarantine.PartKey{Pool: rapid.Uint64().Draw(t, "pool"), ID: rapid.Uint64().Draw(t, "part")}, Depth: rapid.IntRange(0, 64).Draw(t, "depth"),
				Proven: rapid.Bool().Draw(t, "proven"), Contrasted: rapid.Bool().Draw(t, "contrasted"), StoredLevel: rapid.IntRange(0, 9).Draw(t, "level"), Cleared: rapid.Bool().Draw(t, "cleared"),
			}
			if e.Cleared {
				e.ClearedAge = age.Draw(t, "cleared age")
			}
			for range rapid.IntRange(0, 40).Draw(t, "strikes") {
				e.Strikes = append(e.Strikes, quarantine.Strike{
					Crash: quarantine.Crash(rapid.Uint64().Draw(t, "crash")), Account: rapid.Uint64().Draw(t, "account"), Age: age.Draw(t, "age"),
				})
			}
			list = append(list, e)
		}
		b, err := Marshal(&Report{Evidence: list})
		if err != nil {
			t.Fatal(err)
		}
		r, err := Unmarshal(b)
		if err != nil || !reflect.DeepEqual(r.Evidence, list) {
			t.Fatalf("got %+v, %v, want %+v", r.Evidence, err, list)
		}
	})
}
