package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call records one request as observed by its caller.
type call struct {
	id, kind, key, instance string
	sent, ended             time.Time
	status                  int    // 0 when no answer began
	violation               string // the violated guarantee, empty if none
	complete                bool
	deadly                  bool // the prompt holds the part that crashes servers
	cut                     bool // the connection ended without an answer
}

// callers send requests and record the results.
type callers struct {
	f     *fleet
	mu    sync.Mutex
	calls []*call
}

const (
	// callDeadline is sent as Deadline-Remaining; the client timeout is callTimeoutMargin longer.
	callDeadline = 3 * time.Second
	// fixedInstanceDeadline is the deadline of callers that use only one instance.
	fixedInstanceDeadline = time.Second
	callTimeoutMargin     = 200 * time.Millisecond
	// One in deadlyOneIn streams has the prompt part deadlyPart.
	deadlyOneIn = 12
	deadlyPart  = "dead"
)

// run sends requests sequentially over keep-alive connections until ctx ends. The first
// callers use one fixed instance each and ignore the directory's addresses; every second
// other one keeps to an instance until it gets no answer.
func (c *callers) run(ctx context.Context, seed uint64, number int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(number)))
	deadline := callDeadline
	if number < len(c.f.instances) {
		deadline = fixedInstanceDeadline
	}
	client := &http.Client{Timeout: deadline + callTimeoutMargin, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var addresses []string
	var resolved time.Time
	kept := ""
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(resolved) > 300*time.Millisecond || len(addresses) == 0 {
			if named := c.f.resolve(c.f.instances[rnd.IntN(len(c.f.instances))]); len(named) > 0 {
				addresses, resolved = named, time.Now()
			}
		}
		if len(addresses) == 0 {
			time.Sleep(pollInterval)
			continue
		}
		k := &call{
			id: fmt.Sprintf("%x-%d-%d", seed, number, i), kind: []string{"read", "order", "stream"}[rnd.IntN(3)],
			key: []string{"k1", "k1", "k2"}[rnd.IntN(3)], instance: addresses[rnd.IntN(len(addresses))],
		}
		switch {
		case number < len(c.f.instances):
			k.instance = c.f.instances[number].caller
		case number%2 == 0 && kept != "":
			k.instance = kept
		}
		k.deadly = k.kind == "stream" && rnd.IntN(deadlyOneIn) == 0
		c.send(client, k, deadline)
		if kept = k.instance; k.cut || k.status == 0 {
			kept = ""
		}
		c.mu.Lock()
		c.calls = append(c.calls, k)
		c.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// send sends one request and checks its answer independently of all other requests.
func (c *callers) send(client *http.Client, k *call, deadline time.Duration) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if k.kind != "read" {
		method, body = http.MethodPost, strings.NewReader("body of "+k.id)
	}
	req, err := http.NewRequest(method, "http://"+k.instance+"/"+k.kind+"/x", body)
	if err != nil {
		k.violation = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", k.id)
	req.Header.Set("Authorization", "Bearer "+k.key)
	req.Header.Set("Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	if k.kind == "stream" {
		part := "b2"
		if k.deadly {
			part = deadlyPart
		}
		req.Header.Set("Prefix-Hash", fmt.Sprintf("a1:100,%s:50,%s:10", part, k.id))
	}
	k.sent = time.Now()
	defer func() { k.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		var timeout net.Error
		k.cut = !errors.As(err, &timeout) || !timeout.Timeout()
		return
	}
	defer resp.Body.Close()
	k.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		if text, _ := io.ReadAll(resp.Body); strings.Contains(string(text), foreignBytes) || resp.StatusCode == http.StatusNotFound {
			k.violation = fmt.Sprintf("status %d: %q", resp.StatusCode, text)
		}
		return
	}
	runner, id, _ := strings.Cut(resp.Header.Get("Response-Seal"), ".")
	if id != k.id || resp.Header.Get("Request-Id") != k.id {
		k.violation = fmt.Sprintf("the answer belongs to request %q", id)
		return
	}
	if k.kind == "stream" {
		k.readStream(resp.Body)
		return
	}
	text, err := io.ReadAll(resp.Body)
	if err == nil && string(text) != "answer of "+runner {
		k.violation = fmt.Sprintf("the answer of %s is %q", runner, text)
	}
	k.complete = err == nil
}

// readStream checks that events arrive once, in order, and that a stream that ends without
// an error contains all events.
func (k *call) readStream(body io.Reader) {
	next := 1
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		number, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if number != fmt.Sprint(next) {
			k.violation = fmt.Sprintf("event %s follows event %d", number, next-1)
			return
		}
		next++
	}
	k.complete = lines.Err() == nil
	if k.complete && next <= events {
		k.violation = fmt.Sprintf("the stream ends without an error after %d of %d events", next-1, events)
	}
}
