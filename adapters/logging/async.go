package logging

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

// Queue writes log lines asynchronously, so that a full pipe never blocks a request.
// Lines that do not fit into the queue are dropped and counted.
type Queue struct {
	lines   chan []byte
	flush   chan chan struct{}
	Dropped atomic.Int64
	// syncLimit limits the duration of Sync.
	syncLimit time.Duration
}

var _ zapcore.WriteSyncer = (*Queue)(nil)

// queueLines is the capacity of the queue. At about 400 bytes a line, a full queue takes
// 400 KB.
const queueLines = 1024

// maxSyncTime limits the duration of Sync, so that a full pipe does not keep a stopped process
// beyond the limit of its stop.
const maxSyncTime = 50 * time.Millisecond

// errSyncTimeout is returned if the queued lines were not written within the limit.
var errSyncTimeout = errors.New("log lines were not written in time")

// NewQueue returns a queue and starts the goroutine that writes its lines to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), flush: make(chan chan struct{}), syncLimit: maxSyncTime}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // a failure to write the log cannot be logged
		case done := <-q.flush:
			for len(q.lines) > 0 {
				_, _ = w.Write(<-q.lines)
			}
			close(done)
		}
	}
}

// Write implements io.Writer. It never blocks.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.Dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer. It returns after all queued lines are written, or with
// an error after 50 ms.
func (q *Queue) Sync() error {
	timeout := time.After(q.syncLimit)
	done := make(chan struct{})
	select {
	case q.flush <- done:
	case <-timeout:
		return errSyncTimeout
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return errSyncTimeout
	}
}
