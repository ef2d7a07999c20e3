package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/store"
	"cyclamenhitch/core/streamorigin"
	"cyclamenhitch/platform"
)

const (
	// streamStoreInterval is the time between two looks for work with the store.
	streamStoreInterval = 200 * time.Millisecond
	// streamStoreDelay is the time after the start in which the instance learns of its peers:
	// until then, each would be the first of the writers.
	streamStoreDelay = time.Second
	// minStreamReadInterval is the least time between the starts of two reads, and
	// streamReadRate the rate, in bytes per second, at which the rows are read at most.
	minStreamReadInterval = 100 * time.Millisecond
	streamReadRate        = 256 << 10
	// quickFailure is the time within which a call fails whose idle connection had been reset.
	// Such a call is made again at once: a read that fails refuses the take-ups that wait for it.
	quickFailure = 50 * time.Millisecond
)

// run does the work with the store until ctx ends.
func (o *streamOrigins) run(ctx context.Context) {
	for ctx.Err() == nil && !o.view.peers.roster.HasListing() {
		sleep(ctx, viewPollInterval)
	}
	sleep(ctx, streamStoreDelay)
	ticks := time.NewTicker(streamStoreInterval)
	defer ticks.Stop()
	for ctx.Err() == nil {
		if !o.work(ctx) {
			sleep(ctx, storeRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-o.changed:
		case <-ticks.C:
		case <-o.begun:
			if at := o.tracker.FlushAt(); !at.IsZero() {
				sleep(ctx, at.Sub(o.now()))
			}
		}
	}
}

// work makes the reads and writes that are due. It returns false if a call failed.
func (o *streamOrigins) work(ctx context.Context) bool {
	if w := o.tracker.Due(o.now(), o.rank); w.Any() {
		if !o.reads.wait(ctx) {
			return false
		}
		for _, h := range o.tracker.Histories(o.now(), w.Histories) {
			if !o.write(ctx, h) {
				return false
			}
			o.tracker.Written(o.now(), h)
		}
		if w.Sweep {
			o.tracker.Swept(o.now())
		}
	}
	w, due := o.tracker.Flush(o.now(), o.instances())
	if !due {
		return true
	}
	start := o.now()
	ok := o.write(ctx, w)
	o.tracker.Flushed(w, ok, o.now().Sub(start))
	return ok
}

func (o *streamOrigins) rank(pool fleet.PoolID) int {
	return o.view.peers.writerRank("streams/" + string(pool))
}

// write performs a write and reports whether it succeeded.
func (o *streamOrigins) write(ctx context.Context, w streamorigin.Write) bool {
	start := o.now()
	err := o.writeOnce(ctx, w)
	if err != nil && !errors.Is(err, store.ErrConditionFailed) && o.now().Sub(start) < quickFailure {
		err = o.writeOnce(ctx, w)
	}
	switch {
	case err == nil:
		o.meters.streamStore.Add("writes", 1)
		o.log.Debug("row on the versions of streams written", zap.String("key", w.Key), zap.Int("bytes", len(w.Value)))
	case errors.Is(err, store.ErrConditionFailed):
		o.meters.streamStore.Add("writes_outdated", 1)
		o.log.Debug("another instance has written the versions of a pool", zap.String("key", w.Key))
	default:
		o.meters.streamStore.Add("writes_failed", 1)
		o.log.Warn("cannot write the versions of streams", zap.String("key", w.Key), zap.Error(err))
	}
	return err == nil
}

func (o *streamOrigins) writeOnce(ctx context.Context, w streamorigin.Write) error {
	s := o.view.store
	switch {
	case w.Value == nil:
		return s.Remove(ctx, platform.StreamTable, w.Key)
	case w.Conditional:
		return s.SetIf(ctx, platform.StreamTable, w.Key, w.Value, w.Expect)
	}
	return s.Set(ctx, platform.StreamTable, w.Key, w.Value)
}

// readStore reads the rows and returns their size in bytes.
func (o *streamOrigins) readStore() (size int, ok bool) {
	start := o.now()
	r, err := o.view.store.Streams(context.Background())
	if err != nil && o.now().Sub(start) < quickFailure {
		start = o.now()
		r, err = o.view.store.Streams(context.Background())
	}
	if err != nil {
		o.meters.streamStore.Add("reads_failed", 1)
		o.log.Warn("cannot read the versions of streams", zap.Error(err))
		return 0, false
	}
	o.meters.streamStore.Add("reads", 1)
	own, others, err := o.tracker.Stored(streamorigin.Read{Start: start, End: o.now(), Rows: r.Entries, ClockMillis: r.ClockMillis, Era: r.Version.Era})
	if err != nil {
		o.log.Error("invalid rows on the versions of streams; they prove nothing", zap.Error(err))
	}
	for _, row := range r.Entries {
		size += len(row.Value)
	}
	if len(others) > 0 && o.rank("") > 0 {
		others = nil
	}
	if remove := append(own, others...); len(remove) > 0 {
		go func() {
			for _, key := range remove {
				if !o.write(context.Background(), streamorigin.Write{Key: key}) {
					return // a later read finds them again
				}
			}
		}()
	}
	return size, true
}

// sharedReads lets callers that wait at the same time share a read, which begins after each of
// them has called, and limits the rate of reads.
type sharedReads struct {
	// read makes a read and returns its size in bytes.
	read func() (size int, ok bool)

	mu sync.Mutex
	// next is the read that has not begun; nil if nobody waits for one.
	next    *sharedRead
	running bool
	// notBefore is when the next one may begin.
	notBefore time.Time
}

type sharedRead struct {
	done chan struct{}
	ok   bool
}

// wait returns whether a read that began after the call has succeeded before ctx ended. It
// returns at once if none may begin by then.
func (s *sharedReads) wait(ctx context.Context) bool {
	s.mu.Lock()
	if limit, ok := ctx.Deadline(); ok && s.notBefore.After(limit) {
		s.mu.Unlock()
		return false
	}
	if s.next == nil {
		s.next = &sharedRead{done: make(chan struct{})}
	}
	r := s.next
	if !s.running {
		s.running = true
		go s.serve()
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.ok
	case <-ctx.Done():
		return false
	}
}

// serve makes reads until nobody waits.
func (s *sharedReads) serve() {
	for {
		s.mu.Lock()
		delay := time.Until(s.notBefore)
		s.mu.Unlock()
		time.Sleep(delay)
		s.mu.Lock()
		r, start := s.next, time.Now()
		if s.next = nil; r == nil {
			s.running = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		size, ok := s.read()
		s.mu.Lock()
		r.ok = ok
		s.notBefore = start.Add(max(minStreamReadInterval, time.Duration(size)*time.Second/streamReadRate))
		s.mu.Unlock()
		close(r.done)
	}
}
