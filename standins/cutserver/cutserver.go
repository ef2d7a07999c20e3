// Package cutserver implements a backend server of the users' platform whose
// responses are broken off. It runs as a process of its own, so that a signal that
// ends the process ends its connections as the operating system does.
package cutserver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Framings of responses.
const (
	// Unframed responses have neither a length nor chunks and end with their connection.
	Unframed = "none"
	// UnframedClose is Unframed with the header "Connection: close".
	UnframedClose = "close"
	Chunks        = "chunks"
	// Length declares the length of plain responses; streams are in chunks.
	Length = "length"
)

// Ways in which a server that keeps running ends some of its responses.
const (
	// EndEarly closes the connection in order after an event.
	EndEarly = "end"
	// Reset resets the connection after an event.
	Reset = "reset"
)

// Config describes a server process.
type Config struct {
	// ID and Born, in Unix ms, identify the incarnation; Address is host:port.
	ID, Address string
	Born        int64
	Framing     string
	// Break is EndEarly, Reset or empty.
	Break string
	// Log is the file to which records are appended.
	Log string
	// Events is the number of events of a response, one every Interval. A plain response
	// consists of the same text, with an event every PlainInterval.
	Events                  int
	Interval, PlainInterval time.Duration
}

// Commands that a server reads from its standard input, one a line.
const (
	// Replace has a silence in ms and a start in Unix ms. The server ends all connections in
	// order, accepts connections without an answer during the silence, and then acts as a
	// process that has started at the given time.
	Replace = "replace"
	// StopAtEnd makes the process stop itself (SIGSTOP) right after it has ended an unframed
	// response within the next StopWait.
	StopAtEnd = "stop-at-end"
)

// Record kinds in the log. A record is a line of KIND, request id, event number and Unix ms.
const (
	// Began has the number of the last event that the caller already had.
	Began = "began"
	// Sent is written after each event.
	Sent = "sent"
	// Finished is written after the connection of an unframed response was closed or the last
	// byte of another one was written.
	Finished = "finished"
	// Exited is written right before the server exits because its last response has ended.
	Exited = "exited"
	// Left says that the caller closed the connection first.
	Left = "left"
	// Ahead says that reports count more events of a response that was broken off than were sent.
	Ahead = "ahead"
)

// StopWait is how long StopAtEnd waits for the end of a response.
const StopWait = 100 * time.Millisecond

const (
	// breakOneIn is how many responses are served for each one that is broken off.
	breakOneIn = 4
	// firstBreak is the earliest event after which a response is broken off. By then a
	// report has been taken since the response began.
	firstBreak = 4
	// reportInterval is the time between two reports; each is returned until the next one.
	reportInterval = 200 * time.Millisecond
	// aheadTime is how long reports list a run after its response was broken off.
	aheadTime    = time.Second
	listenTries  = 50
	listenDelay  = 10 * time.Millisecond
	eventPadding = 80 // bytes of data in an event
)

// run is a response in progress.
type run struct {
	id         string
	made, life int
}

type server struct {
	Config
	log *os.File

	mu        sync.Mutex
	runs      map[*run]bool
	conns     map[net.Conn]bool
	life      int // incremented by Replace
	busy      int // runs whose connection stands
	leaving   bool
	stopUntil time.Time // StopAtEnd is in force until then
	report    []byte

	// silence is held while the server answers nothing.
	silence sync.RWMutex
}

// Event returns the text of an event of the response to a request.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", number, id, strings.Repeat("d", eventPadding))
}

// Text returns the events from after+1 to last.
func Text(id string, after, last int) string {
	var b strings.Builder
	for i := after + 1; i <= last; i++ {
		b.WriteString(Event(id, i))
	}
	return b.String()
}

// Serve runs a server until a signal ends the process. SIGUSR1 makes it refuse new
// requests, and exit as soon as the running ones have finished. It exits when its standard
// input ends, so that it does not outlive the process that started it. It returns if it
// cannot start.
func Serve(c Config) error {
	log, err := os.OpenFile(c.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	s := &server{Config: c, log: log, runs: map[*run]bool{}, conns: map[net.Conn]bool{}}
	s.takeReport()
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			s.obey(in.Text())
		}
		os.Exit(0)
	}()
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leaving = true
		s.exitIfDone()
	}()
	go func() {
		for range time.Tick(reportInterval) {
			s.takeReport()
		}
	}()
	var ln net.Listener
	for range listenTries { // connections of the previous process may still be closing
		if ln, err = net.Listen("tcp", c.Address); err == nil {
			break
		}
		time.Sleep(listenDelay)
	}
	for err == nil {
		var conn net.Conn
		if conn, err = ln.Accept(); err == nil {
			go s.serveConn(conn)
		}
	}
	return err
}

// exitIfDone exits if the server is leaving and idle; the caller must hold mu.
func (s *server) exitIfDone() {
	if s.leaving && s.busy == 0 {
		s.record(Exited, "-", 0)
		os.Exit(0)
	}
}

// obey carries out a command.
func (s *server) obey(command string) {
	var name string
	var silence, born int64
	switch _, err := fmt.Sscan(command, &name, &silence, &born); {
	case name == StopAtEnd:
		s.mu.Lock()
		s.stopUntil = time.Now().Add(StopWait)
		s.mu.Unlock()
	case name == Replace && err == nil:
		s.silence.Lock()
		defer s.silence.Unlock()
		s.mu.Lock()
		s.life++
		s.busy = 0
		clear(s.runs)
		for c := range s.conns {
			_ = c.Close() // fails if it is closed already
		}
		clear(s.conns)
		s.mu.Unlock()
		time.Sleep(time.Duration(silence) * time.Millisecond)
		s.mu.Lock()
		s.Born = born
		s.mu.Unlock()
		s.takeReport()
	default:
		fmt.Fprintf(os.Stderr, "server %s: command %q is not valid\n", s.ID, command)
		os.Exit(1)
	}
}

func (s *server) record(kind, id string, event int) {
	if _, err := fmt.Fprintf(s.log, "%s %s %d %d\n", kind, id, event, time.Now().UnixMilli()); err != nil {
		fmt.Fprintln(os.Stderr, "log of server", s.ID, "failed:", err)
		os.Exit(1)
	}
}

// takeReport stores the answer to the next calls for a report.
func (s *server) takeReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([][]any, 0, len(s.runs))
	for r := range s.runs {
		runs = append(runs, []any{r.id, 100 + r.made, r.made, 0})
	}
	s.report, _ = json.Marshal(map[string]any{ // no value of these types fails
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"queued": 0, "running": len(runs), "kv_used": 110 * len(runs), "kv_total": 300_000, "handles": 0, "state": "ready", "runs": runs, "born": s.Born,
	})
}

func (s *server) serveConn(conn net.Conn) {
	s.silence.RLock()
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	s.silence.RUnlock()
	defer func() {
		_ = conn.Close() // fails if it is closed already
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	in := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !s.serve(conn, q) {
			return
		}
	}
}

// serve answers a request and reports whether the connection can be used again.
func (s *server) serve(conn net.Conn, q *http.Request) bool {
	id := q.Header.Get("Request-Id")
	answer := func(status, header, body string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
		return err == nil
	}
	const refused = "Not-Executed: 1\r\n"
	if want := q.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		return answer("421 Misdirected Request", refused, "")
	}
	const asJSON = "Content-Type: application/json\r\n"
	s.mu.Lock()
	report, leaving, born := s.report, s.leaving, s.Born
	s.mu.Unlock()
	switch q.URL.Path {
	case "/report":
		return answer("200 OK", asJSON, string(report))
	case "/kv-list":
		return answer("200 OK", asJSON, fmt.Sprintf(`{"epoch":%d,"next":1,"held":[],"born":%d}`, born, born))
	case "/health":
		if leaving {
			return answer("503 Service Unavailable", "", "")
		}
		return answer("200 OK", fmt.Sprintf("%sInstance-Id: %s\r\n", asJSON, s.ID), fmt.Sprintf(`{"born":%d}`, born))
	}
	if hasLeft(conn) {
		return false
	}
	r := &run{id: id}
	s.mu.Lock()
	if leaving = s.leaving; !leaving {
		r.life = s.life
		s.runs[r] = true
		s.busy++
	}
	s.mu.Unlock()
	if leaving {
		return answer("503 Service Unavailable", refused+"Connection: close\r\n", "") && false
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if r.life == s.life {
			s.busy--
			s.exitIfDone()
		}
	}()
	return s.respond(conn, q, r)
}

// hasLeft reports whether the caller has closed the connection. The process that answers after a
// silence does not run requests that were given up before it started.
func hasLeft(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var next [1]byte
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err != nil || n == 0 && peekErr == nil || peekErr != nil && peekErr != syscall.EAGAIN
}

// respond sends the response of a run and reports whether the connection can be used again.
func (s *server) respond(conn net.Conn, q *http.Request, r *run) bool {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id")) // absent in a first attempt
	lastEvent, ahead := s.plan(r.id, after)
	s.record(Began, r.id, after)
	framing, interval := s.Framing, s.PlainInterval
	stream := strings.Contains(q.Header.Get("Accept"), "text/event-stream")
	if stream {
		interval = s.Interval
		if framing == Length {
			framing = Chunks
		}
	}
	_, err := io.WriteString(conn, s.head(r.id, framing, stream, after))
	for i := after + 1; i <= lastEvent && err == nil; i++ {
		time.Sleep(interval)
		s.mu.Lock()
		if r.made = i; ahead {
			r.made = s.Events
		}
		s.mu.Unlock()
		text := Event(r.id, i)
		if framing == Chunks {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err = io.WriteString(conn, text); err == nil {
			s.record(Sent, r.id, i)
		}
	}
	if err == nil && lastEvent < s.Events {
		s.breakOff(conn, r, ahead, lastEvent)
		return false
	}
	keep := framing == Chunks || framing == Length
	switch {
	case err != nil:
	case framing == Chunks:
		_, err = io.WriteString(conn, "0\r\n\r\n")
	case !keep:
		err = conn.Close()
	}
	s.mu.Lock()
	replaced, stop := r.life != s.life, !keep && err == nil && time.Now().Before(s.stopUntil)
	if stop {
		s.stopUntil = time.Time{}
	}
	delete(s.runs, r)
	s.mu.Unlock()
	if err != nil {
		if !replaced {
			s.record(Left, r.id, 0)
		}
		return false
	}
	s.record(Finished, r.id, lastEvent)
	if stop {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP) // the process may always signal itself
	}
	return keep
}

func (s *server) remove(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r)
}

// breakOff ends the connection of a run after an event.
func (s *server) breakOff(conn net.Conn, r *run, ahead bool, event int) {
	if ahead {
		s.record(Ahead, r.id, event)
		time.AfterFunc(aheadTime, func() { s.remove(r) })
	} else {
		s.remove(r)
	}
	if s.Break == Reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the caller has closed
	}
	_ = conn.Close() // the response is broken off in any case
}

// head returns the status line and the header of a response.
func (s *server) head(id, framing string, stream bool, after int) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\n", id, s.ID, id)
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	switch framing {
	case UnframedClose:
		head += "Connection: close\r\n"
	case Chunks:
		head += "Transfer-Encoding: chunked\r\n"
	case Length:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(Text(id, after, s.Events)))
	}
	return head + "\r\n"
}

// plan returns the last event to send, and whether reports count more events than that.
func (s *server) plan(id string, after int) (lastEvent int, ahead bool) {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, id, s.ID, after) // never fails
	n := int(h.Sum32() >> 8)              // the low bits differ little
	if s.Break == "" || n%breakOneIn != 0 || after+firstBreak >= s.Events {
		return s.Events, false
	}
	n /= breakOneIn
	return after + firstBreak + n%(s.Events-after-firstBreak), s.Break == EndEarly && n/s.Events%2 == 0
}
