package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner. Behave decides what it does with each request.
type runner struct {
	id, service, zone string
	slots             int
	engine            bool
	behave            func(r *runner, q *request) behaviour
	ln                net.Listener
	addr              string

	running atomic.Int64
}

// request is a request as it arrived on a connection.
type request struct {
	method, target, id, body string
	h                        map[string]string
}

// behaviour is what a runner does with one request.
type behaviour struct {
	// work is the time until the answer.
	work   time.Duration
	status int
	// size is that of the body in bytes.
	size int
	// junk is sent instead of an answer.
	junk string
	// events is the number of events of a stream, gap the time before each.
	events int
	gap    time.Duration
	// noBody answers a HEAD request with the header only.
	noBody bool
}

func (r *runner) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.ln, r.addr = ln, ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
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

func (r *runner) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 64<<10)
	for {
		lines, err := readHead(br)
		if err != nil {
			return
		}
		f := strings.Split(lines[0], " ")
		if len(f) != 3 || f[2] != "HTTP/1.1" {
			note("%s got a request that is no HTTP/1.1: %q", r.id, lines[0])
			return
		}
		q := &request{method: f[0], target: f[1], h: fieldsOf(lines)}
		q.id = q.h["request-id"]
		if q.body, err = readBodyOf(br, q.h); err != nil {
			return
		}
		want := q.h["expect-instance"]
		switch {
		case q.target == "/health" || q.target == "/report" || q.target == "/kv-list":
			body := `{"epoch":1,"next":1,"held":[]}`
			_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", q.id, r.id, len(body), body)
		case want != "" && want != r.id:
			_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", q.id, r.id)
		default:
			err = r.answer(c, q, r.behave(r, q))
		}
		if err != nil {
			return
		}
	}
}

// fieldsOf returns the header fields after the first line, with names in lower case.
func fieldsOf(lines []string) map[string]string {
	h := map[string]string{}
	for _, l := range lines[1:] {
		k, v, _ := strings.Cut(l, ":")
		h[strings.ToLower(k)] = strings.TrimSpace(v)
	}
	return h
}

// answer runs a request. An error ends the connection.
func (r *runner) answer(c net.Conn, q *request, b behaviour) error {
	r.running.Add(1)
	defer r.running.Add(-1)
	time.Sleep(b.work)
	if b.junk != "" {
		if _, err := io.WriteString(c, b.junk); err != nil {
			return err
		}
		return errBrokenOff
	}
	if b.events > 0 {
		return r.stream(c, q, b)
	}
	body := strings.Repeat(hash(r.id+q.id+q.target)+"\r\n", b.size/18+1)[:b.size]
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		b.status, q.id, seal(r.id, q.id, b.status, body), len(body), body)
	return err
}

var errBrokenOff = errors.New("the runner breaks off")

// stream sends events with increasing ids, after Last-Event-Id if there is one.
func (r *runner) stream(c net.Conn, q *request, b behaviour) error {
	first, _ := strconv.Atoi(q.h["last-event-id"])
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		q.id, seal(r.id, q.id, 200, "")); err != nil || b.noBody {
		return err
	}
	for n := first + 1; n <= b.events; n++ {
		time.Sleep(b.gap)
		e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, hash(q.h["prefix-hash"]), n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
