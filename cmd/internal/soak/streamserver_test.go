package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/standins/userstore"
)

// streamRun is a request that a stream server ran.
type streamRun struct {
	server     string
	began, end time.Time
	// whole is set if the server sent the whole answer.
	whole bool
}

// streamServer is a backend server whose answers take as long as the requests' paths say:
// /KIND/EVENTS/INTERVAL_MS/EVENT_BYTES. A request that is no stream is answered whole after
// the same time.
type streamServer struct {
	id, addr string
	// slowness multiplies all times, in percent.
	slowness *atomic.Int64

	mu   sync.Mutex
	runs map[string]streamRun
}

// startStreamServer listens and registers the server in the store.
func startStreamServer(store *userstore.Store, id, pool string, slowness *atomic.Int64) (*streamServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamServer{id: id, addr: ln.Addr().String(), slowness: slowness, runs: map[string]streamRun{}}
	go func() { _ = http.Serve(ln, s) }() // ends with the test process
	store.Set("servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z","slots":64,"state":"ready","cold_left_ms":0,"sequence":1,"born":1}`, pool, s.addr))
	return s, nil
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
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "{}") // reports and lists, which say nothing here
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	s.record(id, streamRun{server: s.id, began: time.Now()})
	h.Set("Response-Seal", s.id+"."+id)
	var events, interval, size int
	path := strings.Split(strings.TrimPrefix(q.URL.Path, "/"), "/")
	for i, to := range []*int{&events, &interval, &size} {
		*to, _ = strconv.Atoi(path[1+i])
	}
	stream := path[0] == kindOnce || path[0] == kindGoOn
	if stream {
		h.Set("Content-Type", "text/event-stream")
	}
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	data := strings.Repeat("d", size)
	for i := first + 1; i <= events; i++ {
		if !s.work(q, time.Duration(interval)*time.Millisecond) {
			s.finish(id, false)
			return
		}
		if !stream {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data); err != nil {
			s.finish(id, false)
			return
		}
		w.(http.Flusher).Flush()
	}
	if !stream {
		_, _ = io.WriteString(w, data)
	}
	s.finish(id, true)
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

func (s *streamServer) record(id string, r streamRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id] = r
}

func (s *streamServer) finish(id string, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.runs[id]
	r.end, r.whole = time.Now(), whole
	s.runs[id] = r
}

// run returns what the server did for a request.
func (s *streamServer) run(id string) (streamRun, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	return r, ok
}
