package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// client stands in for a client: it asks a directory for addresses, keeps what it is told for
// ttl_s, and sends one request after the other on a connection that it keeps.
type client struct {
	name string
	// directories are the directory addresses that it tries, nearest first.
	directories []string
	host        string
	key         string
	// body is sent with each request; the caller of send names its length in extra.
	body string
	// link, unless nil, is the network link of each instance.
	link *links
	// keepFactor is how many times ttl_s the client keeps an answer of the directory.
	keepFactor int

	directory   *wire
	directoryAt string
	addresses   []string
	until       time.Time

	front   *wire
	frontAt string
	// served counts the answers on the connection that is kept.
	served int
	seq    int
}

// pieceBytes is the part of a body that goes over a link at once.
const pieceBytes = 64 << 10

// links delays what clients send as the instances' links of linkMbps do.
type links struct {
	mu   sync.Mutex
	free map[string]time.Time
	// longest is the longest time that a piece waited for its link.
	longest time.Duration
}

// linkMbps is link_mbps of DEPLOY.md.
const linkMbps = 1000

func (l *links) wait(instance string, n int) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	start := l.free[instance]
	if start.Before(now) {
		start = now
	}
	l.longest = max(l.longest, start.Sub(now))
	end := start.Add(time.Duration(n) * 8 * time.Microsecond / linkMbps)
	l.free[instance] = end
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}

// wire is a connection and its reader.
type wire struct {
	net.Conn
	br *bufio.Reader
}

func dial(addr string) (*wire, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &wire{c, bufio.NewReaderSize(c, 1024)}, nil
}

func (w *wire) close() {
	if w != nil {
		_ = w.Close()
	}
}

// resolve asks for addresses if those that it has are too old. Without a new answer the old
// one stays in use.
func (c *client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	for _, addr := range c.directories {
		list, ttl, err := c.ask(addr)
		if err != nil || len(list) == 0 {
			continue
		}
		c.addresses, c.until = list, time.Now().Add(time.Duration(min(ttl, 5)*float64(c.keepFactor)*float64(time.Second)))
		if c.front != nil && !slices.Contains(list, c.frontAt) {
			c.front.close()
			c.front = nil
		}
		return
	}
}

func (c *client) ask(addr string) ([]string, float64, error) {
	if c.directory == nil || c.directoryAt != addr {
		c.directory.close()
		c.directory = nil
		w, err := dial(addr)
		if err != nil {
			return nil, 0, err
		}
		c.directory, c.directoryAt = w, addr
	}
	w := c.directory
	_ = w.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(w, "GET /resolve?name=%s&region=montevideo&zone=x HTTP/1.1\r\nHost: %s\r\n\r\n", c.host, addr)
	resp, err := http.ReadResponse(w.br, nil)
	if err != nil {
		c.directory.close()
		c.directory = nil
		return nil, 0, err
	}
	defer resp.Body.Close()
	var out struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	_, _ = io.Copy(io.Discard, resp.Body)
	return out.Addresses, out.TTL, err
}

// outcome is how a request ended for the client.
type outcome struct {
	id, instance string
	sent, ended  time.Time
	// deadline is the time that the client gave.
	deadline time.Duration
	// kept is set if the connection had carried a request before.
	kept bool
	// status is 0 if no head arrived; whole is set if the answer is complete.
	status int
	whole  bool
	seal   string
	err    error
}

var requestCounter atomic.Int64

// send sends one request and waits for its end.
func (c *client) send(method, path, extra string, deadline time.Duration) *outcome {
	if c.front == nil {
		if len(c.addresses) == 0 {
			return nil
		}
		addr := c.addresses[rand.IntN(len(c.addresses))]
		w, err := dial(addr)
		if err != nil {
			c.addresses = slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == addr })
			if len(c.addresses) == 0 {
				c.until = time.Time{}
			}
			return nil
		}
		c.front, c.frontAt, c.served = w, addr, 0
	}
	o := &outcome{id: fmt.Sprintf("%016x", uint64(requestCounter.Add(1))<<20|uint64(rand.IntN(1<<20))), instance: c.frontAt, kept: c.served > 0, deadline: deadline}
	w := c.front
	_ = w.SetDeadline(time.Now().Add(deadline + time.Second))
	o.sent = time.Now()
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, path, c.host, o.id, deadline.Milliseconds(), c.key, extra)
	for rest := c.body; rest != ""; {
		n := min(len(rest), pieceBytes)
		c.link.wait(c.frontAt, n)
		if _, err := io.WriteString(w, rest[:n]); err != nil {
			break
		}
		rest = rest[n:]
	}
	resp, err := http.ReadResponse(w.br, nil)
	if err == nil {
		o.status, o.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
		_, err = io.Copy(io.Discard, resp.Body)
		o.whole = err == nil
	}
	o.ended, o.err = time.Now(), err
	c.served++
	if err != nil || resp.Close {
		c.closeFront()
	}
	return o
}

func (c *client) closeFront() {
	c.front.close()
	c.front = nil
}

func (c *client) close() {
	c.directory.close()
	c.front.close()
}

// noteRequests writes what was sent, answered and run to record.txt, a line for each request.
func noteRequests(outcomes []*outcome, runs *runLog) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record == nil {
		return
	}
	w := bufio.NewWriter(record)
	defer w.Flush()
	for _, o := range outcomes {
		fmt.Fprintf(w, "request %s sent %.3f to %s kept=%v ended %.3f status=%d whole=%v seal=%q error=%q", o.id, o.sent.Sub(began).Seconds(), o.instance, o.kept,
			o.ended.Sub(began).Seconds(), o.status, o.whole, o.seal, fmt.Sprint(o.err))
		for _, r := range runs.of(o.id) {
			fmt.Fprintf(w, " ran %.3f at %s", r.at.Sub(began).Seconds(), r.runner)
		}
		fmt.Fprintln(w)
	}
}
