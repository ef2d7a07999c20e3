package logging

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"
)

// blockingWriter blocks until it is released, as a full pipe does.
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

// Guards against a request that waits for a full pipe, and against lines that are
// lost without a trace: each is written or counted.
func TestQueueNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	q := NewQueue(w)
	const lines = 3 * queueLines
	for range lines {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	if q.Dropped.Load() == 0 {
		t.Fatal("nothing was dropped by a queue that is full")
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

// Guards against a volume of lines that grows with the load.
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
	// A second may begin anew in between.
	if most := 2 * (sampleFirst + lines/sampleThereafter); written > most || written < sampleFirst {
		t.Errorf("%d lines written, want %d to %d", written, sampleFirst, most)
	}
	if written+int(dropped.Load()) != lines+1 || !strings.Contains(buf.String(), "other") {
		t.Errorf("%d written and %d dropped of %d", written, dropped.Load(), lines+1)
	}
}
