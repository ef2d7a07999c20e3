// Package heap sets how often the garbage collector runs: less often while the heap is
// small, more often near the memory limit of the process. Its state is the process-wide
// settings of the collector.
package heap

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

// MinGoal is the smallest heap goal of a daemon, in bytes: below it no collection
// starts. At the runtime's default of 100%, a router with 16 MB of live data collects
// after every 16 MB of allocations, which is 7 times a second at half of its maximum
// load, and requests during a collection wait up to 2 ms for a processor. The value
// equals the memory that a daemon may use for its control data, so that a small heap
// stays within that limit.
const MinGoal = 64 << 20

const (
	// defaultPercent is the runtime's default and the smallest percentage that is set.
	defaultPercent = 100
	// runtimeMinGoal is the smallest heap goal of the runtime at 100%, in bytes. The
	// runtime scales it with the percentage.
	runtimeMinGoal = 4 << 20
)

// limitShare is the fraction of a process's memory limit from which on the collector works
// harder. Code, buffers of the kernel and freed pages that are not yet returned count
// towards the limit of the process as well.
const limitShare = 0.7

// SetLimit makes the collector keep the process below its memory limit, in bytes, as far as
// live data allows. It does nothing if the environment sets GOMEMLIMIT.
func SetLimit(processLimit int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(limitShare * float64(processLimit)))
	}
}

// sentinel is an unreachable object whose finalizer runs after each collection.
type sentinel struct{ _ [16]byte }

// MaintainMinGoal raises the GC percentage while the live heap is small, so that the
// next collection starts at minGoal bytes or at twice the live heap, whichever is more.
// It does nothing if the environment sets GOGC. The returned function restores the
// default.
func MaintainMinGoal(minGoal uint64) (stop func()) {
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
		// SetGCPercent stops the world briefly, so increases of 10% or less are skipped.
		if p := percent(live, roots, minGoal); p < last || p > last+last/10 {
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

// percent returns the largest percentage at which the heap goal does not exceed minGoal.
// Both the live heap and the GC roots, in bytes, count towards the goal.
func percent(live, roots, minGoal uint64) int {
	p := minGoal * 100 / runtimeMinGoal
	if live > minGoal {
		return defaultPercent
	}
	if live+roots > 0 {
		p = min(p, (minGoal-live)*100/(live+roots))
	}
	return max(int(p), defaultPercent)
}

// readSizes returns the live heap after the last collection and the size of the GC roots
// that it scanned, in bytes.
func readSizes() (live, roots uint64) {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"}}
	metrics.Read(s)
	return s[0].Value.Uint64(), s[1].Value.Uint64() + s[2].Value.Uint64()
}
