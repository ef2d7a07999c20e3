// Package heap keeps the garbage collector from running often on a small heap.
// It sets the collector's percentage of the process and owns no other state.
package heap

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// MinGoal is the heap size below which a daemon does not collect, in bytes. With
// the runtime's 100%, a router with 16 MB of live data collects each 16 MB, seven
// times a second at half of its saturating load; requests that meet a collection
// wait up to 2 ms for a processor. It is the memory that a daemon may take for
// control, so that a small heap does not grow past that bound.
const MinGoal = 64 << 20

const (
	// defaultPercent is the runtime's default.
	defaultPercent = 100
	// runtimeMinGoal is the smallest heap goal of the runtime at 100%, in bytes.
	// It grows with the percentage.
	runtimeMinGoal = 4 << 20
)

// sentinel is unreachable, so that its finalizer runs after each collection.
type sentinel struct{ _ [16]byte }

// MaintainMinGoal raises the percentage while the live heap is small, so that the next
// collection begins at floor bytes or at twice the live heap, whichever is more.
// It does nothing when the environment sets GOGC. The result ends it.
func MaintainMinGoal(floor uint64) (stop func()) {
	if os.Getenv("GOGC") != "" {
		return func() {}
	}
	var mu sync.Mutex // the finalizer runs on another goroutine than stop
	stopped, last := false, defaultPercent
	var adjust func(*sentinel)
	adjust = func(s *sentinel) {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		live, roots := readSizes()
		// Setting it stops the world for a moment, so that small changes wait.
		if p := percent(live, roots, floor); p < last || p > last+last/10 {
			debug.SetGCPercent(p)
			last = p
		}
		runtime.SetFinalizer(s, adjust)
	}
	runtime.SetFinalizer(&sentinel{}, adjust)
	runtime.GC()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		debug.SetGCPercent(defaultPercent)
	}
}

// percent is the largest percentage at which a heap with live bytes and the given
// roots, both of which count in the runtime's goal, is collected at floor.
func percent(live, roots, floor uint64) int {
	p := floor * 100 / runtimeMinGoal
	if live > floor {
		return defaultPercent
	}
	if live+roots > 0 {
		p = min(p, (floor-live)*100/(live+roots))
	}
	return max(int(p), defaultPercent)
}

// readSizes are the live heap after the last collection and the roots scanned, in bytes.
func readSizes() (live, roots uint64) {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64(), s[1].Value.Uint64() + s[2].Value.Uint64()
}
