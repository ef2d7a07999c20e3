package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/standins/model"
)

// outcomeCounts counts what the callers saw.
type outcomeCounts struct {
	sent, answered, refusedNotRun, unknown, wrongAnswer, truncated atomic.Int64

	mu    sync.Mutex
	codes map[string]int // errors by result code name
}

// caller is one client application: it looks addresses up, keeps them for the
// stated time, and checks each answer.
type caller struct {
	f    *fleet
	id   int
	key  string
	http *http.Client
	rng  *rand.Rand

	addrs   []string
	expires time.Time
}

func newCaller(f *fleet, id int) *caller {
	return &caller{
		f: f, id: id, key: f.keys[id%len(f.keys)],
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: time.Minute},
		rng:  rand.New(rand.NewPCG(uint64(id), 1)),
	}
}

func (c *caller) do(ctx context.Context, method, addr, path, body string, fields map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range fields {
		req.Header.Set(k, v)
	}
	return c.http.Do(req)
}

// probe sends one short chat to the instance.
func (c *caller) probe(addr string) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":1,"messages":[{"role":"user","content":"ready?"}]}`, chatPool)
	resp, err := c.do(context.Background(), http.MethodPost, addr, "/v1/chat/completions", body, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// lookup returns addresses for the chat, asking any instance when the kept
// answer has expired.
func (c *caller) lookup(ctx context.Context, query string) []string {
	if time.Now().Before(c.expires) {
		return c.addrs
	}
	instanceAddr := c.f.daemons[c.rng.IntN(len(c.f.daemons))].CallerAddress()
	resp, err := c.do(ctx, http.MethodGet, instanceAddr, "/v1/lookup?"+query, "", nil)
	if err != nil {
		return c.addrs
	}
	defer resp.Body.Close()
	var found struct {
		Addresses   []string `json:"addresses"`
		KeepSeconds int      `json:"keep_seconds"`
	}
	if json.NewDecoder(resp.Body).Decode(&found) == nil && len(found.Addresses) > 0 {
		c.addrs, c.expires = found.Addresses, time.Now().Add(time.Duration(found.KeepSeconds)*time.Second)
	}
	return c.addrs
}

// errorResponse is the part of an error answer that callers act on.
type errorResponse struct {
	Error struct {
		Code             int    `json:"code"`
		Name             string `json:"name"`
		Outcome          string `json:"outcome"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// countError counts an explicit error and waits for its retry time, bounded.
func (t *outcomeCounts) countError(body []byte) time.Duration {
	var e errorResponse
	if json.Unmarshal(body, &e) != nil || e.Error.Code == 0 {
		t.truncated.Add(1)
		return 0
	}
	t.mu.Lock()
	t.codes[e.Error.Name]++
	t.mu.Unlock()
	if e.Error.Outcome == "not_run" {
		t.refusedNotRun.Add(1)
	} else {
		t.unknown.Add(1)
	}
	return min(time.Duration(e.Error.RetryAfterMillis)*time.Millisecond, time.Second)
}

// runChat runs one returning chat until ctx ends.
func (c *caller) runChat(ctx context.Context, t *outcomeCounts) {
	chatID := fmt.Sprintf("chat-%d", c.id)
	catalogue := fmt.Sprintf("Pattern catalogue of chat %d. ", c.id) + strings.Repeat("Cut the gusset along the grain. ", 20)
	messages := []map[string]string{{"role": "system", "content": catalogue}}
	for turn := 0; ctx.Err() == nil; turn++ {
		question := fmt.Sprintf("chat %d turn %d: which leather grade?", c.id, turn)
		if len(messages) > 12 {
			messages = messages[:1]
		}
		messages = append(messages, map[string]string{"role": "user", "content": question})
		tokens := 40 + c.rng.IntN(40)
		body, _ := json.Marshal(map[string]any{"model": chatPool, "stream": true, "max_tokens": tokens, "messages": messages})
		addrs := c.lookup(ctx, "model="+chatPool+"&chat="+chatID)
		pause := time.Duration(20+c.rng.IntN(100)) * time.Millisecond
		if len(addrs) > 0 {
			t.sent.Add(1)
			pause += c.sendTurn(t, addrs[0], chatID, string(body), question, tokens)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendTurn sends one turn and checks the stream. It returns the advised wait.
func (c *caller) sendTurn(t *outcomeCounts, addr, chatID, body, question string, tokens int) time.Duration {
	resp, err := c.do(context.Background(), http.MethodPost, addr, "/v1/chat/completions", body, map[string]string{"X-Chat-Id": chatID})
	if err != nil {
		t.truncated.Add(1)
		c.expires = time.Time{}
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		return t.countError(data)
	}
	text, failure, err := readStream(resp.Body)
	switch {
	case failure != nil:
		return t.countError(failure)
	case err != nil:
		t.truncated.Add(1)
	case text != strings.Join(model.CompletionWords(question, tokens), ""):
		t.wrongAnswer.Add(1)
	default:
		t.answered.Add(1)
	}
	return 0
}

var errStreamTruncated = errors.New("stream has no end mark")

// readStream returns the text, or the body of a terminal error event.
func readStream(r io.Reader) (text string, failure []byte, err error) {
	var b strings.Builder
	done, failed := false, false
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		line := sc.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case failed:
			return "", bytes.Clone(data), nil
		case bytes.Equal(data, []byte("[DONE]")):
			done = true
		default:
			var chunk struct {
				Choices []struct {
					Delta struct{ Content string }
				}
			}
			if json.Unmarshal(data, &chunk) == nil && len(chunk.Choices) > 0 {
				b.WriteString(chunk.Choices[0].Delta.Content)
			}
		}
	}
	if sc.Err() != nil {
		return "", nil, sc.Err()
	}
	if !done {
		return "", nil, errStreamTruncated
	}
	return b.String(), nil, nil
}

// runOrders sends orders that must not run twice until ctx ends. Every third order
// is sent again with the same key through another instance.
func (c *caller) runOrders(ctx context.Context, t *outcomeCounts) {
	for n := 0; ctx.Err() == nil; n++ {
		key := fmt.Sprintf("order-%d-%d", c.id, n)
		sends := 1
		if n%3 == 0 {
			sends = 2
		}
		for range sends {
			if addrs := c.lookup(ctx, "route="+orderRoute); len(addrs) > 0 {
				c.sendOrder(t, addrs[c.rng.IntN(len(addrs))], key)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(50+c.rng.IntN(100)) * time.Millisecond):
		}
	}
}

func (c *caller) sendOrder(t *outcomeCounts, addr, key string) {
	t.sent.Add(1)
	body := "confirm " + key
	resp, err := c.do(context.Background(), http.MethodPost, addr, "/svc/"+orderRoute+"/confirm", body, map[string]string{"Idempotency-Key": key})
	if err != nil {
		t.truncated.Add(1)
		c.expires = time.Time{}
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.truncated.Add(1)
		return
	}
	if resp.StatusCode != http.StatusOK {
		t.countError(data)
		return
	}
	var got struct{ Key, Body string }
	if json.Unmarshal(data, &got) != nil || got.Key != key || got.Body != body {
		t.wrongAnswer.Add(1)
		return
	}
	t.answered.Add(1)
}
