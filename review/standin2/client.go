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
	id, method, host, target, body, key, prefix string
	headers                                     []string
	deadline                                    time.Duration

	// at is the instance that was called, got the body of its answer and complete whether the
	// answer was whole. status is 0 without an answer.
	at       string
	status   int
	h        map[string]string
	got      string
	complete bool
	err      string
}

// once sends a call on a new connection and reads its answer.
func once(n *instance, k *call) *call {
	k.host, k.at = "h.example", n.name
	if err := k.do(n.caller); err != nil {
		k.err = err.Error()
	}
	return k
}

func (k *call) do(to string) error {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(k.deadline + 3*time.Second)); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\n", k.method, k.target, k.host, k.id, k.deadline.Milliseconds(), k.key)
	for _, h := range k.headers {
		b.WriteString(h + "\r\n")
	}
	if k.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(k.body))
	}
	b.WriteString("\r\n" + k.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return err
	}
	br := bufio.NewReaderSize(c, 64<<10)
	lines, err := readHead(br)
	if err != nil {
		return err
	}
	f := strings.SplitN(lines[0], " ", 3)
	if len(f) < 2 || f[0] != "HTTP/1.1" {
		return fmt.Errorf("no answer: %q", lines[0])
	}
	if k.status, err = strconv.Atoi(f[1]); err != nil {
		return err
	}
	if k.h = fieldsOf(lines); k.method != "HEAD" {
		k.got, err = readAnswer(br, k.h)
	}
	k.complete = err == nil
	return err
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
