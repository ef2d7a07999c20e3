package logging

import (
	"io"
	"sync/atomic"

	"go.uber.org/zap/zapcore"
)

// Queue hands log lines to a goroutine that writes them, so that a full pipe never
// blocks a request. Lines that find no room are counted and dropped.
type Queue struct {
	lines   chan []byte
	flush   chan chan struct{}
	Dropped atomic.Int64
}

var _ zapcore.WriteSyncer = (*Queue)(nil)

// queueLines bounds the lines that wait to be written; at some 400 bytes a line
// they take 400 KB.
const queueLines = 1024

// NewQueue starts writing to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), flush: make(chan chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // there is nowhere else to report it
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

// Sync writes all waiting lines.
func (q *Queue) Sync() error {
	done := make(chan struct{})
	q.flush <- done
	<-done
	return nil
}
