package lapse

import (
	"testing"
	"time"
)

// Guards against all servers vanishing with their entries after an outage of the
// store, and against dead ones that are kept for longer than entries need to return.
func TestKeep(t *testing.T) {
	epoch := time.Unix(1_000_000, 0)
	var g Grace
	if g.Keep(epoch).After(epoch) {
		t.Error("an entry that vanishes while the store is well is kept")
	}
	g.Lost()
	g.Lost()
	if !g.Keep(epoch).After(epoch) {
		t.Error("an entry that vanishes in an outage is not kept")
	}
	g.Read(epoch)
	g.Read(epoch.Add(time.Second))
	for _, row := range []struct {
		after time.Duration
		kept  bool
	}{{0, true}, {time.Second, true}, {Return - 1, true}, {Return, false}, {time.Minute, false}} {
		now := epoch.Add(row.after)
		until := g.Keep(now)
		if until.After(now) != row.kept || row.kept && !until.Equal(epoch.Add(Return)) {
			t.Errorf("%v after the return: kept until %v", row.after, until.Sub(epoch))
		}
	}
}
