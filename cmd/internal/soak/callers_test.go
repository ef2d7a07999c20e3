package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request as its caller saw it.
type call struct {
	id, kind, key, instance string
	sent, ended             time.Time
	status                  int    // 0 when no answer began
	wrong                   string // what broke a promise
	whole                   bool
}

// callers send requests and keep what they saw.
type callers struct {
	f     *fleet
	mu    sync.Mutex
	calls []*call
}

const (
	// callDeadline is what a caller states; it waits a little longer.
	callDeadline = 3 * time.Second
	// loyalDeadline is that of callers that stay with one instance.
	loyalDeadline = time.Second
	callSlack     = 200 * time.Millisecond
)

// run sends requests one after another until ctx ends, on kept connections. The first
// callers stay with one instance each, whatever the directory says.
func (c *callers) run(ctx context.Context, seed uint64, number int) {
	rnd := rand.New(rand.NewPCG(seed, uint64(number)))
	deadline := callDeadline
	if number < len(c.f.instances) {
		deadline = loyalDeadline
	}
	client := &http.Client{Timeout: deadline + callSlack, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	var addresses []string
	var resolved time.Time
	for i := 0; ctx.Err() == nil; i++ {
		if time.Since(resolved) > 300*time.Millisecond || len(addresses) == 0 {
			if named := c.f.resolve(c.f.instances[rnd.IntN(len(c.f.instances))]); len(named) > 0 {
				addresses, resolved = named, time.Now()
			}
		}
		if len(addresses) == 0 {
			time.Sleep(look)
			continue
		}
		k := &call{
			id: fmt.Sprintf("%x-%d-%d", seed, number, i), kind: []string{"read", "order", "stream"}[rnd.IntN(3)],
			key: []string{"k1", "k1", "k2"}[rnd.IntN(3)], instance: addresses[rnd.IntN(len(addresses))],
		}
		if number < len(c.f.instances) {
			k.instance = c.f.instances[number].caller
		}
		c.send(client, k, deadline)
		c.mu.Lock()
		c.calls = append(c.calls, k)
		c.mu.Unlock()
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// send sends one request and checks the answer alone.
func (c *callers) send(client *http.Client, k *call, deadline time.Duration) {
	method, body := http.MethodGet, io.Reader(http.NoBody)
	if k.kind != "read" {
		method, body = http.MethodPost, strings.NewReader("body of "+k.id)
	}
	req, err := http.NewRequest(method, "http://"+k.instance+"/"+k.kind+"/x", body)
	if err != nil {
		k.wrong = err.Error()
		return
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", k.id)
	req.Header.Set("Authorization", "Bearer "+k.key)
	req.Header.Set("Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	k.sent = time.Now()
	defer func() { k.ended = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	k.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		return
	}
	runner, id, _ := strings.Cut(resp.Header.Get("Response-Seal"), ".")
	if id != k.id || resp.Header.Get("Request-Id") != k.id {
		k.wrong = fmt.Sprintf("the answer is of request %q", id)
		return
	}
	if k.kind == "stream" {
		k.readStream(resp.Body)
		return
	}
	text, err := io.ReadAll(resp.Body)
	if err == nil && string(text) != "answer of "+runner {
		k.wrong = fmt.Sprintf("the answer of %s is %q", runner, text)
	}
	k.whole = err == nil
}

// readStream checks that each event comes once and that an end without error is the end.
func (k *call) readStream(body io.Reader) {
	next := 1
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		number, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if number != fmt.Sprint(next) {
			k.wrong = fmt.Sprintf("event %s follows event %d", number, next-1)
			return
		}
		next++
	}
	k.whole = lines.Err() == nil
	if k.whole && next <= events {
		k.wrong = fmt.Sprintf("the stream ends as whole after %d of %d events", next-1, events)
	}
}
