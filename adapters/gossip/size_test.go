package gossip

import (
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
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
