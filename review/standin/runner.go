package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a runner began to work on.
type run struct {
	id, runner, tenant string
	at                 time.Time
}

// runs are the requests that runners ran, by the request's id.
type runLog struct {
	mu   sync.Mutex
	byID map[string][]run
}

func newRunLog() *runLog { return &runLog{byID: map[string][]run{}} }

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[r.id] = append(l.byID[r.id], r)
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byID[id]
}

func (l *runLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID)
}

// runner stands in for a runner of the platform: it answers whole, echoes Request-Id, seals
// its answers, answers 421 to requests for another one, and drops a request whose connection
// closes.
type runner struct {
	id, service, zone, addr string
	born                    int64
	slots                   int
	log                     *runLog
	// work is the time until the answer or its first event begins.
	work time.Duration
	// events is the number of events of a stream, each every after the one before.
	events int
	every  time.Duration
	// step is how much the id of an event is above that of the one before; 0 means 1.
	step int
	// version is the version of its software; empty means v1.
	version string
}

// start listens and registers the runner in the store.
func (r *runner) start(s *store) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	r.addr = ln.Addr().String()
	srv := &http.Server{Handler: r, IdleTimeout: 30 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	r.born = time.Now().UnixMilli()
	r.report(s, "ready")
}

// report writes the runner's entry.
func (r *runner) report(s *store, state string) {
	s.set("servers", r.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_left_ms":0,"sequence":1,"born":%d}`,
		r.service, r.addr, r.zone, cmp.Or(r.version, "v1"), r.slots, state, r.born))
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	r.log.add(run{id, r.id, q.Header.Get("Tenant"), time.Now()})
	w.Header().Set("Response-Seal", r.id+"."+id)
	w.Header().Set("Keep-Alive", "timeout=30")
	if !r.pause(q, r.work) {
		return
	}
	if r.events == 0 {
		_, _ = io.WriteString(w, "the answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	step := max(1, r.step)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last/step + 1; i <= r.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i*step, id); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if i < r.events && !r.pause(q, r.every) {
			return
		}
	}
}

// pause waits and reports whether the connection of the request still stands.
func (r *runner) pause(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}
