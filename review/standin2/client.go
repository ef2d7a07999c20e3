package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, host, target, body, key, prefix, kind string
	headers                                           []string
	gotHash, bodyHash                                 string
	deadline                                          time.Duration
	chunked                                           bool
	giveUp                                            time.Duration
	slowSend, slowRead                                time.Duration

	at       string // instance
	sent     time.Time
	kept     bool // on a kept connection
	status   int
	h        map[string]string
	got      string
	complete bool
	err      string
	gaveUp   bool
	took     time.Duration
}

type clientConn struct {
	c  net.Conn
	br *bufio.Reader
	to string
	n  int
}

func dialClient(to string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c: c, br: bufio.NewReaderSize(c, 64<<10), to: to}, nil
}

// do sends the call and reads its answer. It reports whether the connection may be used again.
func (cc *clientConn) do(k *call) (reuse bool) {
	k.kept = cc.n > 0
	cc.n++
	k.sent = time.Now()
	defer func() { k.took = time.Since(k.sent) }()
	limit := k.deadline + 3*time.Second
	if k.giveUp > 0 {
		limit = k.giveUp
	}
	_ = cc.c.SetDeadline(k.sent.Add(limit))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\n", k.method, k.target, k.host, k.id, k.deadline.Milliseconds())
	if k.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", k.key)
	}
	for _, h := range k.headers {
		b.WriteString(h + "\r\n")
	}
	switch {
	case k.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, p := range split(k.body) {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
		}
		b.WriteString("0\r\n\r\n")
	case k.body != "" || k.method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(k.body), k.body)
	default:
		b.WriteString("\r\n")
	}
	msg := b.String()
	if k.slowSend > 0 {
		h := len(msg) / 2
		if _, err := io.WriteString(cc.c, msg[:h]); err != nil {
			k.err = err.Error()
			return false
		}
		time.Sleep(k.slowSend)
		msg = msg[h:]
	}
	if _, err := io.WriteString(cc.c, msg); err != nil {
		k.err = "write: " + err.Error() // an answer may still be there
	}
	lines, err := readHead(cc.br)
	for err == nil && strings.HasPrefix(lines[0], "HTTP/1.1 100") {
		lines, err = readHead(cc.br)
	}
	if err != nil {
		k.fail(err)
		return false
	}
	f := strings.SplitN(lines[0], " ", 3)
	if len(f) < 2 || f[0] != "HTTP/1.1" {
		k.err = "not an answer: " + lines[0]
		return false
	}
	k.status, _ = strconv.Atoi(f[1])
	k.h = map[string]string{}
	for _, l := range lines[1:] {
		n, v, _ := strings.Cut(l, ":")
		k.h[strings.ToLower(n)] = strings.TrimSpace(v)
	}
	if k.slowRead > 0 {
		time.Sleep(k.slowRead)
	}
	if k.method == "HEAD" {
		k.complete = true
		return false
	}
	k.got, err = readAnswer(cc.br, k.h)
	if err != nil {
		k.fail(err)
		return false
	}
	k.complete = true
	return !strings.Contains(strings.ToLower(k.h["connection"]), "close")
}

func (k *call) fail(err error) {
	k.err = err.Error()
	if ne, ok := err.(net.Error); ok && ne.Timeout() {
		if k.giveUp > 0 {
			k.gaveUp = true
		} else {
			k.err = "NO ANSWER: " + k.err
		}
	}
}

func readAnswer(br *bufio.Reader, h map[string]string) (string, error) {
	if strings.EqualFold(h["transfer-encoding"], "chunked") {
		var b strings.Builder
		for {
			l, err := br.ReadString('\n')
			if err != nil {
				return b.String(), unexpected(err)
			}
			n, err := strconv.ParseInt(strings.TrimSpace(l), 16, 64)
			if err != nil {
				return b.String(), err
			}
			if _, err := io.CopyN(&b, br, n); err != nil {
				return b.String(), unexpected(err)
			}
			if _, err := br.ReadString('\n'); err != nil {
				return b.String(), unexpected(err)
			}
			if n == 0 {
				return b.String(), nil
			}
		}
	}
	if cl, ok := h["content-length"]; ok {
		n, err := strconv.Atoi(cl)
		if err != nil {
			return "", err
		}
		b := make([]byte, n)
		m, err := io.ReadFull(br, b)
		return string(b[:m]), unexpected(err)
	}
	b, err := io.ReadAll(br)
	return string(b), err
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
