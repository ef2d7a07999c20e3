package entryexpiry

import (
	"testing"
	"time"
)

// Guards against the removal of all servers whose entries expired in an outage of the
// store, and against dead servers that are kept after live ones have renewed theirs.
func TestKeep(t *testing.T) {
	epoch := time.Unix(1_000_000, 0)
	var g EntryGrace
	if g.KeepUntil(epoch).After(epoch) {
		t.Error("a server whose entry vanishes while the store is available is kept")
	}
	g.StoreFailed()
	g.StoreFailed()
	if !g.KeepUntil(epoch).After(epoch) {
		t.Error("a server whose entry vanishes during an outage is not kept")
	}
	g.StoreRead(epoch)
	g.StoreRead(epoch.Add(time.Second))
	for _, row := range []struct {
		after time.Duration
		kept  bool
	}{{0, true}, {time.Second, true}, {EntryReturnTime - 1, true}, {EntryReturnTime, false}, {time.Minute, false}} {
		now := epoch.Add(row.after)
		until := g.KeepUntil(now)
		if until.After(now) != row.kept || row.kept && !until.Equal(epoch.Add(EntryReturnTime)) {
			t.Errorf("%v after the recovery: kept until %v", row.after, until.Sub(epoch))
		}
	}
}
