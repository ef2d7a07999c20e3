package budget

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readingBytes is what a connection holds while its request is read: the buffer of
	// max_header_bytes, a body of as many bytes, the stack and the context of the server.
	readingBytes = 40 << 10
	// readingPercent is the part of the memory beside baseBytes for requests being read.
	readingPercent = 10
	// minReading is the least number of requests that may be read at once.
	minReading = 64
	// minReadingAge is the age from which on a request that is still being read gives way.
	minReadingAge = 500 * time.Millisecond
	// ReadingWait is how long a request may wait to be read. Within it, the oldest of those
	// that are being read completes or reaches minReadingAge.
	ReadingWait = minReadingAge + 100*time.Millisecond
	// waitingPercent is the number of requests that may wait, as a part of the limit.
	waitingPercent = 50
)

// Reading is the budget of the requests that are being read and are not counted by Bodies.
// When it is used up, the oldest incomplete request ends for a new one, so that requests
// that are never complete don't keep others from being read.
type Reading struct {
	amount
	waiting amount
	mu      sync.Mutex
	all     list.List // of *Incomplete, oldest first
}

// NewReading returns a budget of limit requests.
func NewReading(limit int64) *Reading {
	return &Reading{amount: amount{limit: limit}, waiting: amount{limit: max(1, limit*waitingPercent/100)}}
}

// Wait reports whether one more request may wait to be read. Each success needs a Waited.
func (r *Reading) Wait() bool { return r.waiting.take(1) }

// Waited ends what Wait began.
func (r *Reading) Waited() { r.waiting.used.Add(-1) }

// Incomplete is a request that is being read.
type Incomplete struct {
	since time.Time
	end   func()
	place *list.Element
	ended atomic.Bool
}

// IsEnded reports whether the request must end for another one; a nil one need not.
func (i *Incomplete) IsEnded() bool { return i != nil && i.ended.Load() }

// Begin counts a request that begins at now. It returns nil if there is no room. end is
// called, under a lock, if the request must end for another one; the owner calls End still.
func (r *Reading) Begin(now time.Time, end func()) *Incomplete {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.take(1) {
		oldest := r.all.Front()
		if oldest == nil || now.Sub(oldest.Value.(*Incomplete).since) < minReadingAge {
			return nil
		}
		victim := oldest.Value.(*Incomplete)
		r.remove(victim)
		victim.ended.Store(true)
		victim.end()
		r.take(1)
	}
	i := &Incomplete{since: now, end: end}
	i.place = r.all.PushBack(i)
	return i
}

// End gives back what Begin counted. It may be called more than once, and with nil.
func (r *Reading) End(i *Incomplete) {
	if i == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(i)
}

func (r *Reading) remove(i *Incomplete) {
	if i.place == nil {
		return
	}
	r.all.Remove(i.place)
	i.place = nil
	r.used.Add(-1)
}
