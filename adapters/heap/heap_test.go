package heap

import (
	"runtime"
	"runtime/metrics"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a percentage that lets a heap grow past the floor or past what
// the runtime's default allows, or that collects more often than the default.
func TestPercentRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.Uint64Range(0, 256<<20).Draw(t, "live")
		roots := rapid.Uint64Range(0, 16<<20).Draw(t, "roots")
		p := uint64(percent(live, roots, MinGoal))
		goal := max(live+(live+roots)*p/100, runtimeMinGoal*p/100)
		if usual := 2*live + roots; p < 100 || goal > max(MinGoal, usual) {
			t.Fatalf("%d%%, goal %d, floor %d, default %d", p, goal, MinGoal, usual)
		}
		if p > 100 && p < MinGoal*100/runtimeMinGoal && goal < MinGoal*9/10 {
			t.Fatalf("%d%%: collects at %d, floor %d", p, goal, MinGoal)
		}
	})
}

// Guards against an adjustment that never reaches the collector.
func TestKeepFloor(t *testing.T) {
	t.Setenv("GOGC", "")
	defer MaintainMinGoal(MinGoal)()
	s := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
	for range 100 { // the finalizer runs after a collection, on its own goroutine
		runtime.GC()
		if metrics.Read(s); s[0].Value.Uint64() > MinGoal*8/10 && s[0].Value.Uint64() <= MinGoal*11/10 {
			return
		}
	}
	t.Fatalf("the next collection begins at %d bytes, floor %d", s[0].Value.Uint64(), MinGoal)
}
