package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/result"
)

const (
	// callTimeout bounds one call to an instance.
	callTimeout = 10 * time.Second
	// dialTimeout bounds opening a connection. It is below callTimeout, so that a
	// call that times out has a connection and may have been carried out.
	dialTimeout = 2 * time.Second
	// maxCalls is how many instances are asked at the same time.
	maxCalls = 32
)

// client calls instances.
type client struct{ http *fasthttp.Client }

// dialError means that no connection was opened, so that nothing was sent.
type dialError struct{ error }

func newClient() *client {
	return &client{http: &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, dialError{err}
			}
			return c, nil
		},
		// A call is repeated by the commands, which know whether that is safe.
		MaxIdemponentCallAttempts: 1,
	}}
}

// reply is the answer of an instance.
type reply struct {
	body    []byte
	version uint64 // header X-Config-Version
	proof   string // header X-Config-Proof
}

// call sends one request to the first instance that answers and decodes its JSON.
func (e *env) call(method, path string, body []byte, out any) error {
	r, err := e.first(method, path, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(r.body, out)
}

// first returns the answer of the first instance that gives one. A call with an
// unknown outcome is not repeated at the next instance unless it only reads.
func (e *env) first(method, path string, body []byte) (reply, error) {
	key, err := e.key()
	if err != nil {
		return reply{}, err
	}
	defer e.progress(func() string { return "waiting for an answer to " + method + " " + path })()
	var failures []string
	var last *result.Error
	for _, addr := range e.Instance {
		r, err := e.client.do(addr, method, path, key, body)
		if err == nil {
			return r, nil
		}
		last = result.As(err)
		if method != fasthttp.MethodGet && last.Outcome != result.NotRun {
			return reply{}, last
		}
		if !otherMayAnswer(last.Code) {
			return reply{}, last
		}
		failures = append(failures, message(last))
	}
	if len(failures) == 1 {
		return reply{}, last
	}
	return reply{}, result.New(last.Code, "none of %d instances could do it:\n%s", len(failures), strings.Join(failures, "\n"))
}

// otherMayAnswer reports whether another instance may succeed where one failed.
func otherMayAnswer(c result.Code) bool {
	switch c {
	case result.NoInstance, result.StoreUnavailable, result.NotReady, result.Isolated, result.Stopping:
		return true
	}
	return false
}

// key checks the options that every call needs and reads the operator key.
func (e *env) key() (string, error) {
	if len(e.Instance) == 0 {
		return "", result.New(result.NoInstance, "no instance is given: use --instance HOST:PORT or CYCLAMENHITCH_INSTANCE").WithOutcome(result.NotRun)
	}
	if e.KeyFile == "" {
		return "", result.New(result.KeyFileInvalid, "no operator key is given: use --key-file FILE or CYCLAMENHITCH_KEY_FILE")
	}
	src, err := os.ReadFile(e.KeyFile)
	if err != nil {
		return "", result.Wrap(result.KeyFileInvalid, err, "operator key file cannot be read")
	}
	key := string(bytes.TrimSpace(src))
	if key == "" || strings.ContainsAny(key, "\r\n") {
		return "", result.New(result.KeyFileInvalid, "operator key file %s must hold one line with the key", e.KeyFile)
	}
	return key, nil
}

func (c *client) do(addr, method, path, key string, send []byte) (reply, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+key)
	req.SetBodyRaw(send)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		e := result.Wrap(result.NoInstance, err, "instance %s gave no answer", addr)
		var notSent dialError
		if !errors.As(err, &notSent) && method != fasthttp.MethodGet {
			e.Outcome = result.Unknown
		}
		return reply{}, e
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return reply{}, result.Wrap(result.AnswerInvalid, err, "instance %s", addr)
	}
	data := bytes.Clone(body)
	if resp.StatusCode() == fasthttp.StatusOK {
		v, _ := strconv.ParseUint(string(resp.Header.Peek("X-Config-Version")), 10, 64)
		return reply{data, v, string(resp.Header.Peek("X-Config-Proof"))}, nil
	}
	return reply{}, decodeError(addr, resp.StatusCode(), data)
}

func decodeError(addr string, status int, data []byte) error {
	var e struct {
		Error struct {
			Code    result.Code    `json:"code"`
			Message string         `json:"message"`
			Outcome result.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &e); err != nil || e.Error.Code == 0 {
		return result.New(result.Internal, "instance %s answered status %d", addr, status)
	}
	return result.New(e.Error.Code, "instance %s: %s", addr, e.Error.Message).WithOutcome(e.Error.Outcome)
}

// each calls fn for each given instance, several at a time.
func (e *env) each(fn func(i int, addr, key string)) error {
	key, err := e.key()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for i, addr := range e.Instance {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i, addr, key)
		})
	}
	wg.Wait()
	return nil
}
