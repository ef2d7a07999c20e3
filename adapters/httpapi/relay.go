package httpapi

import (
	"io"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// relay forwards a streamed response to the caller. The HTTP server reads from it in
// the connection's goroutine, so that a slow caller applies backpressure to the engine
// and nothing is buffered in between.
type relay struct {
	srv *Server
	req *gateway.Request
	ans gateway.Response
	// release stops the disconnect detection and cancels the request's context.
	release  func()
	conn     *callerConn
	obs      Observation
	start    time.Time
	lastPart time.Time

	pending  []byte
	ended    bool
	totalGap time.Duration
}

// Read implements io.Reader. A truncated stream ends with an error event, so that the
// caller cannot take it for complete.
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

// SupportsBodyWriteTo makes the HTTP server use WriteTo, which saves a copy and a 4 KB
// buffer for each open stream.
func (r *relay) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo. w flushes every write to the caller.
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

// next returns the next bytes for the caller. If reading the response fails, it returns
// one terminal error event.
func (r *relay) next() (part []byte, err error) {
	if r.ended {
		return nil, io.EOF
	}
	defer func() {
		// The HTTP server does not close a body whose reader panicked, which would
		// leak the permit and the connection to the engine.
		if p := recover(); p != nil {
			r.srv.Log.Error("relay panicked", zap.Any("panic", p), zap.Stack("stack"))
			part, err = r.fail(result.New(result.Internal, "internal error"))
		}
	}()
	part, err = r.ans.Next()
	switch {
	case err == io.EOF:
		r.conn.setCompleted()
		r.finish(nil)
		return nil, io.EOF
	case err != nil:
		return r.fail(result.As(err))
	}
	r.recordPart()
	return part, nil
}

// fail ends the stream and returns its terminal error event. A Frontend's API has none: the
// returned error makes the HTTP server close the connection within the body, so that the
// caller cannot take the response for complete.
func (r *relay) fail(e *result.Error) ([]byte, error) {
	r.finish(e)
	if r.srv.Frontend != nil {
		return nil, e
	}
	return append(append([]byte("event: error\ndata: "), encodeError(e)...), "\n\n"...), nil
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

// Close implements io.Closer. The HTTP server calls it at the end of the response. A
// call before the backend's response has ended means that the caller disconnected, and
// cancels the request.
func (r *relay) Close() error {
	if r.ended {
		return nil
	}
	r.finish(result.New(result.CallerGone, "caller disconnected after %d parts of the response", r.obs.Parts))
	return nil
}
