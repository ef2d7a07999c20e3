package logging

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// blockingWriter blocks until it is released, like a full pipe.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// Guards against a request that blocks on a full pipe, and against lines that are neither
// written nor counted as dropped.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	q := NewQueue(w)
	q.syncLimit = time.Minute
	const lines = 3 * queueLines
	for range lines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if q.Dropped.Load() == 0 {
		t.Fatal("a full queue dropped no line")
	}
	close(w.release)
	if err := q.Sync(); err != nil {
		t.Fatal(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if got := strings.Count(w.buf.String(), "line\n") + int(q.Dropped.Load()); got != lines {
		t.Errorf("%d of %d lines were written or counted", got, lines)
	}
}

// Guards against a process that does not end because nobody reads its log.
func TestSyncOfBlockedLogEnds(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	defer close(w.release)
	q := NewQueue(w)
	_, _ = q.Write([]byte("line\n"))
	synced := make(chan error)
	go func() { synced <- q.Sync() }()
	select {
	case err := <-synced:
		if !errors.Is(err, errSyncTimeout) {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("the log was not given up")
	}
}

// Guards against a log volume that grows with the load.
func TestSampledLinesAreBounded(t *testing.T) {
	var buf bytes.Buffer
	var dropped atomic.Int64
	log := NewSampled(&buf, "info", &dropped)
	const lines = 10 * sampleFirst
	for range lines {
		log.Info("same", zap.Int("n", 1))
	}
	log.Info("other")
	written := strings.Count(buf.String(), "\n")
	// The lines may span two sampling intervals of a second.
	if most := 2 * (sampleFirst + lines/sampleThereafter); written > most || written < sampleFirst {
		t.Errorf("%d lines written, want %d to %d", written, sampleFirst, most)
	}
	if written+int(dropped.Load()) != lines+1 || !strings.Contains(buf.String(), "other") {
		t.Errorf("%d written and %d dropped of %d", written, dropped.Load(), lines+1)
	}
}
