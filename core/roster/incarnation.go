package roster

import (
	"math"
	"sync"
	"time"
)

const (
	// MaxIncarnation is the largest incarnation that is accepted, the last time that UnixNano
	// states. A process is raised up to it, so that incarnations do not overflow.
	MaxIncarnation = uint64(math.MaxInt64)
	// raiseWindow is the time after its start in which a process is raised above an earlier one.
	// Peers forget that in less: forgetTimeouts silence timeouts, 56 s with 300 instances in one
	// data centre. A later process that runs beside this one stays above it after that.
	raiseWindow = time.Minute
	// maxRaises limits how often two processes of an instance that run side by side and started
	// within raiseWindow are raised above each other.
	maxRaises = 5
)

// Incarnation orders the processes of an instance: peers ignore reports of a lower one than
// they know. It begins with the time of the start in ns and is safe for concurrent use.
type Incarnation struct {
	started time.Time
	mu      sync.Mutex
	value   uint64
	raises  int
}

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(now time.Time) *Incarnation {
	return &Incarnation{started: now, value: uint64(now.UnixNano())}
}

// Start returns the incarnation at the start, which identifies this process.
func (i *Incarnation) Start() uint64 { return uint64(i.started.UnixNano()) }

// Value returns the incarnation.
func (i *Incarnation) Value() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.value
}

// Learn raises the incarnation above one that a peer knows, which stems from an earlier process
// whose clock was ahead. It reports whether it was raised. A leaving process is not raised,
// since a later one may run beside it.
func (i *Incarnation) Learn(now time.Time, known uint64, leaving bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if known <= i.value || known >= MaxIncarnation-uint64(time.Second) || leaving || i.raises == maxRaises || now.Sub(i.started) >= raiseWindow {
		return false
	}
	i.raises++
	// Two processes that learn the same one must not get the same incarnation: peers would take
	// the member list of one for that of the other.
	i.value = known + 1 + i.Start()%uint64(time.Second)
	return true
}
