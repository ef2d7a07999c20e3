// Package servicetime records how long requests take at servers and estimates how long the
// next ones take. A Tracker has one record with its own lock for each kind of request; the
// instance owns the Tracker.
package servicetime

import (
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// window is the number of the latest requests that Over considers.
	window = 512
	// generationTime is the time after which the counts of a record are those of the previous
	// generation, and after which that one is dropped.
	generationTime = 10 * time.Minute
	// maxKinds is the number of records above which those that are not in use are dropped.
	maxKinds = 1024
	// idleTime is how long a record without requests counts as in use.
	idleTime = 10 * time.Minute
)

// Kind identifies requests that take similar times.
type Kind struct {
	Pool fleet.PoolID
	// Name tells the kinds of one pool apart.
	Name string
}

// Tracker records the times of all kinds. The zero value is ready to use.
type Tracker struct {
	mu    sync.RWMutex
	kinds map[Kind]*record
}

// record holds the times of one kind.
type record struct {
	mu sync.Mutex
	// ended holds the times of the latest requests; next is the index of the oldest one
	// when it is full.
	ended   []time.Duration
	next    int
	running map[*Run]bool
	usedAt  time.Time

	generations
	// peers counts the times that other instances recorded.
	peers  generation
	recent recent
	pace   pace
}

// Run is a request under way. It is used by one goroutine.
type Run struct {
	record *record
	// tokens is the largest number of output tokens, 0 if unknown.
	tokens                int
	began, opened, partAt time.Time
	firstPart             bool
}

// Begin records the start of a request. tokens is the largest number of its output tokens, 0
// if unknown.
func (t *Tracker) Begin(now time.Time, k Kind, tokens int) *Run {
	r := t.record(now, k)
	run := &Run{record: r, tokens: tokens, began: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run], r.usedAt = true, now
	return run
}

// Opened records the first part of the response.
func (run *Run) Opened(now time.Time) {
	r := run.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running[run] || run.firstPart {
		return
	}
	run.firstPart, run.opened, run.partAt = true, now, now
	r.rotate(now)
	r.current.first.add(bucketOf(now.Sub(run.began)), 1)
}

// Part records a further part of the response.
func (run *Run) Part(now time.Time) {
	r := run.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.firstPart && r.running[run] {
		r.pace.add(now, now.Sub(run.partAt))
		run.partAt = now
	}
}

// End is how a request ended.
type End int

const (
	// Whole is the end of a whole response.
	Whole End = iota
	// Expired is the end at the deadline. Over counts the time like that of a whole response.
	Expired
	// GivenUp is an earlier end: the caller left, or the response failed.
	GivenUp
)

// End records the end of a request. Only the first call has an effect.
func (run *Run) End(now time.Time, end End) {
	r := run.record
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.running[run] {
		return
	}
	delete(r.running, run)
	r.rotate(now)
	d := now.Sub(run.began)
	if end != Whole {
		r.current.cut.add(bucketOf(d), 1)
		if !run.firstPart {
			r.current.cutFirst.add(bucketOf(d), 1)
		}
	}
	if end == GivenUp {
		return
	}
	if len(r.ended) < window {
		r.ended = append(r.ended, d)
	} else {
		r.ended[r.next] = d
		r.next = (r.next + 1) % window
	}
	if end == Expired {
		return
	}
	r.current.whole.add(bucketOf(d), 1)
	r.recent.add(run.began)
	if run.firstPart && run.tokens > 0 {
		r.current.tokens.add(bucketOf(perKiloToken(now.Sub(run.opened), run.tokens)), 1)
	}
}

// Over returns how many of the latest requests of a kind took longer than d or have already
// been running for longer, and the number of requests considered: those that ended and those
// that run for longer than d.
func (t *Tracker) Over(now time.Time, k Kind, d time.Duration) (over, total int) {
	r := t.lookup(k)
	if r == nil {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	total = len(r.ended)
	for _, took := range r.ended {
		if took > d {
			over++
		}
	}
	for run := range r.running {
		if now.Sub(run.began) > d {
			over, total = over+1, total+1
		}
	}
	return over, total
}

// Spread returns the median of the latest requests of a kind and the longest time of them and
// of those under way; 0 without any.
func (t *Tracker) Spread(now time.Time, k Kind) (median, longest time.Duration) {
	r := t.lookup(k)
	if r == nil {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.ended); n > 0 {
		sorted := slices.Sorted(slices.Values(r.ended))
		median, longest = sorted[n/2], sorted[n-1]
	}
	for run := range r.running {
		longest = max(longest, now.Sub(run.began))
	}
	return median, longest
}

// lookup returns the record of a kind, or nil.
func (t *Tracker) lookup(k Kind) *record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.kinds[k]
}

// record returns the record of a kind, a new one if there is none.
func (t *Tracker) record(now time.Time, k Kind) *record {
	r := t.lookup(k)
	if r != nil {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.kinds[k]; r != nil {
		return r
	}
	if t.kinds == nil {
		t.kinds = map[Kind]*record{}
	}
	if len(t.kinds) >= maxKinds {
		t.dropIdle(now)
	}
	r = &record{running: map[*Run]bool{}, usedAt: now}
	t.kinds[k] = r
	return r
}

// dropIdle drops the records that are not in use. The caller holds mu.
func (t *Tracker) dropIdle(now time.Time) {
	for k, r := range t.kinds {
		r.mu.Lock()
		idle := len(r.running) == 0 && now.Sub(r.usedAt) > idleTime
		r.mu.Unlock()
		if idle {
			delete(t.kinds, k)
		}
	}
}
