package e2e

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhitch/standins/model"
)

// caller looks up addresses, keeps them for the stated time and sends chats.
type caller struct {
	f      *testFleet
	rnd    *rand.Rand
	client *http.Client
	addrs  []string
	until  time.Time
}

func newCaller(f *testFleet, seed uint64) *caller {
	return &caller{
		f: f, rnd: rand.New(rand.NewPCG(seed, 1)),
		client: &http.Client{Timeout: patience, Transport: &http.Transport{}},
	}
}

func (c *caller) request(method, addr, path, body string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	return c.client.Do(req)
}

func (c *caller) lookup(addr string) ([]string, error) {
	resp, err := c.request("GET", addr, "/v1/lookup?model=taller-modelo&chat=c1", "")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var found struct {
		Addresses   []string `json:"addresses"`
		KeepSeconds int      `json:"keep_seconds"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		return nil, err
	}
	c.addrs, c.until = found.Addresses, time.Now().Add(time.Duration(found.KeepSeconds)*time.Second)
	return found.Addresses, nil
}

// address returns one of the addresses, looking them up again after the keep
// time at any instance that answers.
func (c *caller) address() (string, error) {
	if !time.Now().Before(c.until) || len(c.addrs) == 0 {
		at := c.rnd.IntN(len(c.f.instances))
		for i := range c.f.instances {
			if found, err := c.lookup(c.f.instances[(at+i)%len(c.f.instances)].caller); err == nil && len(found) > 0 {
				break
			}
		}
	}
	if len(c.addrs) == 0 {
		return "", errors.New("no address")
	}
	return c.addrs[c.rnd.IntN(len(c.addrs))], nil
}

// errShort is an answer that looks complete and is not the expected one.
var errShort = errors.New("short or wrong answer that looks complete")

// chat sends one chat and checks the answer. A nil error means that it is
// whole; errShort that the caller was misled.
func (c *caller) chat(addr string, stream bool, tokens int) error {
	return c.say(addr, fmt.Sprintf("question %d", c.rnd.Uint32()), stream, tokens)
}

// say sends a chat with the prompt.
func (c *caller) say(addr, prompt string, stream bool, tokens int) error {
	resp, err := c.request("POST", addr, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"taller-modelo","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != 200 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	text, err := answerText(string(body), stream)
	if err != nil {
		return err
	}
	if text != strings.Join(model.CompletionWords(prompt, tokens), "") {
		return fmt.Errorf("%w: %q", errShort, text)
	}
	return nil
}

// longStream streams a chat, closes begun at its first byte or its failure, and
// checks the whole answer.
func (c *caller) longStream(addr string, tokens int, begun chan<- struct{}) error {
	const prompt = "long question"
	resp, err := c.request("POST", addr, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"taller-modelo","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt))
	if err != nil {
		close(begun)
		return err
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	close(begun)
	if err != nil {
		return err
	}
	rest, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	text, err := answerText(string(first)+string(rest), true)
	if err == nil && text != strings.Join(model.CompletionWords(prompt, tokens), "") {
		err = fmt.Errorf("%w: %q", errShort, text)
	}
	return err
}

type message struct {
	Content string `json:"content"`
}

func answerText(body string, stream bool) (string, error) {
	type chunk struct {
		Choices []struct{ Delta, Message message } `json:"choices"`
	}
	var c chunk
	if !stream {
		if err := json.Unmarshal([]byte(body), &c); err != nil || len(c.Choices) == 0 {
			return "", fmt.Errorf("%w: %q", errShort, body)
		}
		return c.Choices[0].Message.Content, nil
	}
	var text strings.Builder
	for ev := range strings.SplitSeq(body, "\n\n") {
		if rest, ok := strings.CutPrefix(ev, "event: error\n"); ok {
			return "", errors.New(rest)
		}
		_, data, _ := strings.Cut("\n"+ev, "\ndata: ")
		if data == "[DONE]" {
			return text.String(), nil
		}
		c = chunk{}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Delta.Content)
		}
	}
	return "", fmt.Errorf("%w: no end mark in %q", errShort, body)
}

// load is what a group of callers saw.
type load struct {
	whole, failed, short, lost atomic.Int64
	// sending counts requests that are under way.
	sending atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup

	mu     sync.Mutex
	errors []string
}

// startLoad sends chats from n callers until finish. Every second caller
// streams, or each one.
func startLoad(f *testFleet, n, tokens int, streams bool) *load {
	l := &load{stop: make(chan struct{})}
	for i := range n {
		l.wg.Go(func() {
			c := newCaller(f, uint64(i))
			for {
				select {
				case <-l.stop:
					return
				default:
				}
				addr, err := c.address()
				if err == nil {
					l.sending.Add(1)
					err = c.chat(addr, streams || i%2 == 0, tokens)
					l.sending.Add(-1)
				}
				l.note(err)
				if err != nil {
					c.until = time.Time{}
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
	return l
}

func (l *load) note(err error) {
	var ne net.Error
	switch {
	case err == nil:
		l.whole.Add(1)
		return
	case errors.Is(err, errShort):
		l.short.Add(1)
	case errors.As(err, &ne) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		l.lost.Add(1)
	default:
		l.failed.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errors) < 10 {
		l.errors = append(l.errors, err.Error())
	}
}

func (l *load) finish() {
	close(l.stop)
	l.wg.Wait()
}

func (l *load) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("%d whole, %d failed, %d lost, %d short: %s", l.whole.Load(), l.failed.Load(), l.lost.Load(), l.short.Load(), strings.Join(l.errors, "; "))
}
