package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/standins/userstore"
)

// Modes of a stream server.
const (
	modeSound = iota
	// modeSilent keeps connections open and sends nothing, reports neither.
	modeSilent
	// modeSilentFirst sends nothing before the first byte of an answer.
	modeSilentFirst
	// modeBreakOff breaks off an answer before one in breakOffOneIn events.
	modeBreakOff
)

const (
	breakOffOneIn = 12
	// silencePoll is the interval at which a silent server looks at its mode.
	silencePoll = 20 * time.Millisecond
)

// streamRun is a request that a stream server ran.
type streamRun struct {
	server     string
	began, end time.Time
	// first is the number of the last event that the caller already had.
	first int
	// body is the size of the request's body in bytes.
	body int64
	// whole is set if the server sent the whole answer, silent if it was silent meanwhile,
	// brokeOff if it broke off the answer.
	whole, silent, brokeOff bool
}

// streamServer is a backend server whose answers take as long as the requests' paths say:
// /KIND/EVENTS/INTERVAL_MS/EVENT_BYTES. A request that is no stream is answered whole after
// the same time.
type streamServer struct {
	id, addr, pool string
	// slowness multiplies all times, in percent.
	slowness *atomic.Int64
	mode     atomic.Int32

	mu   sync.Mutex
	runs map[string][]*streamRun
}

// startStreamServer listens and registers the server in the store.
func startStreamServer(store *userstore.Store, id, pool string, slowness *atomic.Int64) (*streamServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamServer{id: id, addr: ln.Addr().String(), pool: pool, slowness: slowness, runs: map[string][]*streamRun{}}
	go func() { _ = http.Serve(ln, s) }() // ends with the test process
	store.Set("servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z","slots":64,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`, pool, s.addr))
	return s, nil
}

// answerData returns the data of an event, or of an answer that is no stream.
func answerData(id string, size int) string {
	return id + strings.Repeat("d", max(0, size-len(id)))
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		s.silence(q, &streamRun{}, modeSilent)
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}") // reports and lists, which say nothing here
		return
	}
	r := &streamRun{server: s.id, began: time.Now()}
	r.first, _ = strconv.Atoi(q.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	s.runs[id] = append(s.runs[id], r)
	s.mu.Unlock()
	body, err := io.Copy(io.Discard, q.Body)
	s.update(func() { r.body = body })
	whole := err == nil && s.answer(w, q, id, r)
	s.update(func() { r.end, r.whole = time.Now(), whole })
	if r.brokeOff {
		panic(http.ErrAbortHandler) // closes the connection
	}
}

// answer sends the answer of a run and reports whether it is whole.
func (s *streamServer) answer(w http.ResponseWriter, q *http.Request, id string, r *streamRun) bool {
	h := w.Header()
	h.Set("Response-Seal", s.id+"."+id)
	var events, interval, size int
	path := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	for i, to := range []*int{&events, &interval, &size} {
		*to, _ = strconv.Atoi(path[1+i])
	}
	stream := isStream(path[0])
	if stream {
		h.Set("Content-Type", "text/event-stream")
	}
	data := answerData(id, size)
	for i := r.first + 1; i <= events; i++ {
		silent := int32(modeSilent)
		if i == r.first+1 && s.mode.Load() == modeSilentFirst {
			silent = modeSilentFirst
		}
		if !s.work(q, time.Duration(interval)*time.Millisecond) || !s.silence(q, r, silent) {
			return false
		}
		if s.mode.Load() == modeBreakOff && rand.IntN(breakOffOneIn) == 0 {
			s.update(func() { r.brokeOff = true })
			return false
		}
		if !stream {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
	}
	if stream {
		return true
	}
	_, err := io.WriteString(w, data)
	return err == nil
}

// work waits and reports whether the connection of the request still stands.
func (s *streamServer) work(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d * time.Duration(s.slowness.Load()) / 100)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

// silence waits while the server is in a mode and reports whether the connection of the
// request still stands.
func (s *streamServer) silence(q *http.Request, r *streamRun, mode int32) bool {
	for s.mode.Load() == mode {
		s.update(func() { r.silent = true })
		select {
		case <-time.After(silencePoll):
		case <-q.Context().Done():
			return false
		}
	}
	return true
}

func (s *streamServer) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// runsOf returns what the server did for a request.
func (s *streamServer) runsOf(id string) []streamRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []streamRun
	for _, r := range s.runs[id] {
		out = append(out, *r)
	}
	return out
}
