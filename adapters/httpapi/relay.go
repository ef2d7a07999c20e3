package httpapi

import (
	"io"
	"time"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// relay passes a streamed answer on to the caller. The HTTP server reads from
// it in the connection's goroutine, so that a slow caller slows the read from
// the engine and nothing is buffered in between.
type relay struct {
	srv   *Server
	req   *gateway.Request
	ans   gateway.Answer
	obs   Observation
	start time.Time
	last  time.Time

	rest  []byte
	ended bool
	gaps  time.Duration
}

// Read implements io.Reader. After an error of the answer it yields one terminal
// error event, so that a short stream never looks complete.
func (r *relay) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		part, err := r.ans.Next()
		switch {
		case err == io.EOF:
			r.end(nil)
			return 0, io.EOF
		case err != nil:
			e := result.As(err)
			r.end(e)
			r.rest = append([]byte("event: error\ndata: "), encodeError(e)...)
			r.rest = append(r.rest, "\n\n"...)
		default:
			r.observe()
			r.rest = part
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *relay) observe() {
	now := time.Now()
	if r.obs.Parts == 0 {
		r.obs.FirstPart = now.Sub(r.start)
	} else {
		gap := now.Sub(r.last)
		r.gaps += gap
		r.obs.LargestGap = max(r.obs.LargestGap, gap)
	}
	r.obs.Parts++
	r.last = now
}

func (r *relay) end(e *result.Error) {
	if r.ended {
		return
	}
	r.ended = true
	r.ans.Close()
	if r.obs.Parts > 1 {
		r.obs.MeanGap = r.gaps / time.Duration(r.obs.Parts-1)
	}
	r.srv.record(r.req, r.obs, r.start, e)
}

// Close is called by the HTTP server at the end of the response; before the end
// of the answer it means that the caller is gone, and cancels the request.
func (r *relay) Close() error {
	r.end(result.New(result.CallerGone, "the caller closed the connection after %d parts", r.obs.Parts))
	return nil
}

// collect reads the whole answer.
func collect(ans gateway.Answer) ([]byte, error) {
	var body []byte
	for {
		part, err := ans.Next()
		body = append(body, part...)
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
