package httpapi

import (
	"io"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// relay passes a streamed answer on to the caller. The HTTP server reads from
// it in the connection's goroutine, so that a slow caller slows the read from
// the engine and nothing is buffered in between.
type relay struct {
	srv *Server
	req *gateway.Request
	ans gateway.Response
	// release ends the watch for a caller that hangs up.
	release  func()
	obs      Observation
	start    time.Time
	lastPart time.Time

	pending  []byte
	ended    bool
	totalGap time.Duration
}

// Read implements io.Reader. A short stream never looks complete: it ends with
// an error event.
func (r *relay) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		part, err := r.next()
		if err != nil {
			return 0, err
		}
		r.pending = part
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// SupportsBodyWriteTo tells the HTTP server to use WriteTo, which saves a copy
// and a buffer of 4 KB for each open stream.
func (r *relay) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo; w flushes each write to the caller.
func (r *relay) WriteTo(w io.Writer) (int64, error) {
	var sent int64
	for {
		part, err := r.next()
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
		n, err := w.Write(part)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
}

// next returns the next bytes for the caller. After an error of the answer it
// returns one terminal error event.
func (r *relay) next() (part []byte, err error) {
	if r.ended {
		return nil, io.EOF
	}
	defer func() {
		// The HTTP server does not close a body whose reader panicked, which
		// would leave the permit and the connection to the engine open.
		if p := recover(); p != nil {
			r.srv.Log.Error("relay panicked", zap.Any("panic", p), zap.Stack("stack"))
			part, err = r.fail(result.New(result.Internal, "an unexpected error inside the instance")), nil
		}
	}()
	part, err = r.ans.Next()
	switch {
	case err == io.EOF:
		r.finish(nil)
		return nil, io.EOF
	case err != nil && r.srv.Frontend != nil:
		// The connection is closed inside the body, so that nothing looks complete.
		r.finish(result.As(err))
		return nil, err
	case err != nil:
		return r.fail(result.As(err)), nil
	}
	r.recordPart()
	return part, nil
}

// fail ends the stream and returns its terminal error event.
func (r *relay) fail(e *result.Error) []byte {
	r.finish(e)
	return append(append([]byte("event: error\ndata: "), encodeError(e)...), "\n\n"...)
}

func (r *relay) recordPart() {
	now := time.Now()
	if r.obs.Parts == 0 {
		r.obs.FirstPart = now.Sub(r.start)
	} else {
		gap := now.Sub(r.lastPart)
		r.totalGap += gap
		r.obs.LargestGap = max(r.obs.LargestGap, gap)
	}
	r.obs.Parts++
	r.lastPart = now
}

func (r *relay) finish(e *result.Error) {
	if r.ended {
		return
	}
	r.ended = true
	r.ans.Close()
	r.release()
	if r.obs.Parts > 1 {
		r.obs.MeanGap = r.totalGap / time.Duration(r.obs.Parts-1)
	}
	r.srv.record(r.req, r.obs, r.start, e)
}

// Close is called by the HTTP server at the end of the response; before the end
// of the answer it means that the caller is gone, and cancels the request.
func (r *relay) Close() error {
	if r.ended {
		return nil
	}
	r.finish(result.New(result.CallerGone, "the caller closed the connection after %d parts", r.obs.Parts))
	return nil
}
