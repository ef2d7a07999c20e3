package edge

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/clock"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
	"cyclamenhitch/platform"
)

// Guards against a storm of calls to a store that refuses them, while peers that were
// its readers still count as such but do not hand anything on: 80 instances made some
// 1,000 calls a second. The wait must not end at once for a reader that is avoided.
func TestPauseWithoutUsableReader(t *testing.T) {
	set := &settings.Entry{Instance: "a", DataCentre: "x", Times: settings.EntryTimes{RevokeMillis: 5000}}
	board := placement.NewBoard()
	v := newView(set, platform.NewStore("127.0.0.1:1"), board, zap.NewNop())
	v.peers = newPeers(set, nil, v, board, zap.NewNop())
	v.peers.roster.Heard(time.Now(), roster.Peer{ID: "b", DataCentre: "y", Reads: true}, true)
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
