package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a runner ran.
type run struct {
	id, server, method, target, body, tenant, model, tokens, prefix, lastEvent string
	forbidden                                                                  string
	at                                                                         time.Time
}

// sent is an answer that a runner began.
type sent struct {
	status int
	server string
	body   string // hash of the whole body
}

// runner is a stand-in of a runner. Behave decides what it does with each request.
type runner struct {
	id, service, zone string
	slots             int
	engine            bool
	behave            func(r *runner, q *request) behaviour
	ln                net.Listener
	addr              string

	mu      sync.Mutex
	runs    []run
	answers map[string][]sent // by id and server
	conns   map[net.Conn]bool
	running atomic.Int64
	notHTTP atomic.Int64
}

// request is a request as it arrived on a connection.
type request struct {
	method, target, id, body string
	h                        map[string]string
	dup                      string
}

// behaviour is what a runner does with one request.
type behaviour struct {
	shed      bool          // 503 with Not-Executed, not run
	work      time.Duration // until the answer
	status    int
	size      int
	framing   string // "length", "chunked", "none"
	cut       int    // bytes of the body after which it breaks off; 0: never
	reset     bool   // break off with a reset
	noAnswer  string // "reset" or "close": runs it and gives no answer
	junk      string // sent instead of an answer
	extra     int    // how many times the same answer is sent again
	extraLate time.Duration
	closeAft  bool          // Connection: close
	dropAft   bool          // closes the connection after the answer without a notice
	slow      time.Duration // between pieces of the body
	events    int
	gap       time.Duration
	early     bool // answer before the body is read
	noBody    bool // HEAD: the header only
}

func (r *runner) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln, r.addr = ln, ln.Addr().String()
	r.answers, r.conns = map[string][]sent{}, map[net.Conn]bool{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = true
			r.mu.Unlock()
			go r.serve(c)
		}
	}()
	return nil
}

func (r *runner) entry(state string, cold float64) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":%v,"sequence":%d,"born":%d}`,
		r.service, r.addr, r.zone, r.slots, state, cold, time.Now().UnixMilli(), bornMillis)
}

var bornMillis = time.Now().UnixMilli()

func readHead(br *bufio.Reader) ([]string, error) {
	var lines []string
	for {
		l, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		l = strings.TrimSuffix(strings.TrimSuffix(l, "\n"), "\r")
		if l == "" {
			if len(lines) == 0 {
				continue
			}
			return lines, nil
		}
		lines = append(lines, l)
	}
}

func readBodyOf(br *bufio.Reader, h map[string]string) (string, error) {
	if strings.EqualFold(h["transfer-encoding"], "chunked") {
		var b strings.Builder
		for {
			l, err := br.ReadString('\n')
			if err != nil {
				return "", err
			}
			n, err := strconv.ParseInt(strings.TrimSpace(l), 16, 64)
			if err != nil {
				return "", err
			}
			if _, err := io.CopyN(&b, br, n); err != nil {
				return "", err
			}
			if _, err := br.ReadString('\n'); err != nil {
				return "", err
			}
			if n == 0 {
				return b.String(), nil
			}
		}
	}
	n, _ := strconv.Atoi(h["content-length"])
	b := make([]byte, n)
	_, err := io.ReadFull(br, b)
	return string(b), err
}

func hash(s string) string {
	x := sha256.Sum256([]byte(s))
	return hex.EncodeToString(x[:8])
}

func seal(server, id string, status int, body string) string {
	return fmt.Sprintf("%s.%s.%d.%s", server, id, status, hash(body))
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		lines, err := readHead(br)
		if err != nil {
			return
		}
		q := &request{h: map[string]string{}}
		f := strings.Split(lines[0], " ")
		if len(f) != 3 || f[2] != "HTTP/1.1" {
			r.notHTTP.Add(1)
			note("NOT-HTTP at %s: %q", r.id, lines[0])
			return
		}
		q.method, q.target = f[0], f[1]
		for _, l := range lines[1:] {
			k, v, _ := strings.Cut(l, ":")
			k = strings.ToLower(k)
			if _, ok := q.h[k]; ok {
				q.dup = k
			}
			q.h[k] = strings.TrimSpace(v)
		}
		q.id = q.h["request-id"]
		if q.target == "/health" || q.target == "/report" || q.target == "/kv-list" {
			body := `{"epoch":1,"next":1,"held":[]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", q.id, r.id, len(body), body)
			continue
		}
		if want := q.h["expect-instance"]; want != "" && want != r.id {
			_, _ = readBodyOf(br, q.h)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, r.id)
			continue
		}
		b := r.behave(r, q)
		if b.early && b.shed {
			fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id)
			time.Sleep(b.work)
			if _, err := readBodyOf(br, q.h); err != nil {
				return
			}
			continue
		}
		if q.body, err = readBodyOf(br, q.h); err != nil {
			return
		}
		if !r.answer(c, br, q, b) {
			return
		}
	}
}

func (r *runner) answer(c net.Conn, br *bufio.Reader, q *request, b behaviour) bool {
	if b.shed {
		a := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", q.id)
		if _, err := io.WriteString(c, a); err != nil {
			return false
		}
		for range b.extra {
			time.Sleep(b.extraLate)
			if _, err := io.WriteString(c, a); err != nil {
				return false
			}
		}
		return !b.closeAft && !b.dropAft
	}
	x := run{id: q.id, server: r.id, method: q.method, target: q.target, body: hash(q.body), tenant: q.h["tenant"], model: q.h["model"], tokens: q.h["token-count"],
		prefix: q.h["prefix-hash"], lastEvent: q.h["last-event-id"], at: time.Now()}
	for _, k := range []string{"authorization", "hold", "pin-ms", "kv-backup", "kv-from"} {
		if q.h[k] != "" {
			x.forbidden += k + " "
		}
	}
	if q.dup != "" {
		x.forbidden += "twice:" + q.dup
	}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.running.Add(1)
	defer r.running.Add(-1)
	if b.work > 0 {
		time.Sleep(b.work)
	}
	switch b.noAnswer {
	case "reset":
		resetConn(c)
		return false
	case "close":
		return false
	}
	if b.junk != "" {
		_, _ = io.WriteString(c, b.junk)
		return false
	}
	if b.events > 0 {
		return r.stream(c, q, b)
	}
	if b.events < 0 { // nothing is left of the stream
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", q.id, seal(r.id, q.id, 200, ""))
		return err == nil
	}
	body := strings.Repeat(hash(r.id+q.id+q.target)+"\r\n\r\n", b.size/20+1)[:b.size]
	r.mu.Lock()
	r.answers[q.id] = append(r.answers[q.id], sent{b.status, r.id, hash(body)})
	r.mu.Unlock()
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\n", b.status, q.id, seal(r.id, q.id, b.status, body))
	if b.closeAft {
		head.WriteString("Connection: close\r\n")
	}
	var pieces []string
	switch b.framing {
	case "none":
		head.WriteString("Connection: close\r\n")
		pieces = split(body)
	case "chunked":
		head.WriteString("Transfer-Encoding: chunked\r\n")
		for _, p := range split(body) {
			pieces = append(pieces, fmt.Sprintf("%x\r\n%s\r\n", len(p), p))
		}
		pieces = append(pieces, "0\r\n\r\n")
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
		pieces = split(body)
	}
	all := head.String() + "\r\n" + strings.Join(pieces, "")
	if b.cut > 0 {
		cut := min(b.cut, len(all)-1)
		_, _ = io.WriteString(c, all[:cut])
		time.Sleep(5 * time.Millisecond)
		if b.reset {
			resetConn(c)
		}
		return false
	}
	if b.slow > 0 {
		_, _ = io.WriteString(c, head.String()+"\r\n")
		for _, p := range pieces {
			time.Sleep(b.slow)
			if _, err := io.WriteString(c, p); err != nil {
				return false
			}
		}
	} else if _, err := io.WriteString(c, all); err != nil {
		return false
	}
	if b.framing == "none" {
		return false
	}
	for range b.extra {
		time.Sleep(b.extraLate)
		if _, err := io.WriteString(c, all); err != nil {
			return false
		}
	}
	return !b.closeAft && !b.dropAft
}

func split(s string) []string {
	var out []string
	for len(s) > 0 {
		n := min(len(s), 1+rand.IntN(40000))
		out, s = append(out, s[:n]), s[n:]
	}
	return out
}

func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, hash(id), n)
}

// stream sends events. Their content depends on the request only, as that of one generation.
func (r *runner) stream(c net.Conn, q *request, b behaviour) bool {
	first, _ := strconv.Atoi(q.h["last-event-id"])
	var gone atomic.Bool
	frame := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\n", q.id, seal(r.id, q.id, 200, ""))
	if b.framing == "none" {
		head += "Connection: close\r\n\r\n"
		frame = func(s string) string { return s }
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	if b.noBody {
		return true
	}
	total := 0
	for n := first + 1; n <= b.events; n++ {
		if b.gap > 0 {
			time.Sleep(b.gap)
		}
		e := eventText(q.h["prefix-hash"], n)
		total += len(e)
		if b.cut > 0 && total > b.cut {
			f := frame(e)
			_, _ = io.WriteString(c, f[:len(f)/2])
			time.Sleep(3 * time.Millisecond)
			if b.reset || b.framing == "none" {
				resetConn(c)
			}
			return false
		}
		if _, err := io.WriteString(c, frame(e)); err != nil || gone.Load() {
			return false
		}
	}
	if b.framing == "none" {
		return false
	}
	if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
		return false
	}
	return !b.closeAft && !b.dropAft
}

// crash ends all connections with a reset; the listener stays.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		resetConn(c)
	}
}
