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

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/core/result"
)

const (
	// callTimeout bounds one call to an instance.
	callTimeout = 10 * time.Second
	// dialTimeout bounds opening a connection. It is shorter than callTimeout, so that
	// a call that reaches callTimeout had a connection and may have been executed.
	dialTimeout = 2 * time.Second
	// maxConcurrentCalls limits the number of concurrent calls to instances.
	maxConcurrentCalls = 32
)

// client sends requests to the admin API of instances.
type client struct{ http *fasthttp.Client }

// dialError is a failure to open a connection; the request was not sent.
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
		// The commands retry, because they know whether a call is safe to repeat.
		MaxIdemponentCallAttempts: 1,
	}}
}

// response is a successful response of an instance.
type response struct {
	body    []byte
	version uint64 // header X-Config-Version
	proof   string // header X-Config-Proof
}

// callJSON sends a request as callFirst does and decodes the JSON response into out.
func (e *env) callJSON(method, path string, body []byte, out any) error {
	r, err := e.callFirst(method, path, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(r.body, out)
}

// callFirst sends a request to the given instances in order and returns the first
// successful response. A call that may have been executed is not sent to the next
// instance unless it is a GET.
func (e *env) callFirst(method, path string, body []byte) (response, error) {
	key, err := e.key()
	if err != nil {
		return response{}, err
	}
	defer e.progress(func() string { return "waiting for a response to " + method + " " + path })()
	var failures []string
	var last *result.Error
	for _, addr := range e.Instance {
		r, err := e.client.send(addr, method, path, key, body)
		if err == nil {
			return r, nil
		}
		last = result.As(err)
		if method != fasthttp.MethodGet && last.Outcome != result.NotRun {
			return response{}, last
		}
		if !retryOnOtherInstance(last.Code) {
			return response{}, last
		}
		failures = append(failures, errorText(last))
	}
	if len(failures) == 1 {
		return response{}, last
	}
	return response{}, result.New(last.Code, "none of %d instances could do it:\n%s", len(failures), strings.Join(failures, "\n"))
}

// retryOnOtherInstance reports whether another instance may succeed after one failed with
// this code.
func retryOnOtherInstance(c result.Code) bool {
	switch c {
	case result.NoInstance, result.StoreUnavailable, result.NotReady, result.Isolated, result.Stopping:
		return true
	}
	return false
}

// key checks that an instance and a key file are given and reads the key.
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
		return "", result.New(result.KeyFileInvalid, "operator key file %s must contain exactly one line with the key", e.KeyFile)
	}
	return key, nil
}

func (c *client) send(addr, method, path, key string, body []byte) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+key)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		e := result.Wrap(result.NoInstance, err, "instance %s gave no answer", addr)
		var notSent dialError
		if !errors.As(err, &notSent) && method != fasthttp.MethodGet {
			e.Outcome = result.Unknown
		}
		return response{}, e
	}
	respBody, err := resp.BodyUncompressed()
	if err != nil {
		return response{}, result.Wrap(result.AnswerInvalid, err, "instance %s", addr)
	}
	data := bytes.Clone(respBody)
	if httpstatus.Of(&resp.Header) == fasthttp.StatusOK {
		v, _ := strconv.ParseUint(string(resp.Header.Peek("X-Config-Version")), 10, 64)
		return response{data, v, string(resp.Header.Peek("X-Config-Proof"))}, nil
	}
	return response{}, decodeError(addr, httpstatus.Of(&resp.Header), data)
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

// forEachInstance calls fn concurrently for each given instance, with at most
// maxConcurrentCalls at a time.
func (e *env) forEachInstance(fn func(i int, addr, key string)) error {
	key, err := e.key()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for i, addr := range e.Instance {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			fn(i, addr, key)
		})
	}
	wg.Wait()
	return nil
}
