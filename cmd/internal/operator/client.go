package operator

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/result"
)

// callTimeout bounds one call to an instance.
const callTimeout = 10 * time.Second

// call sends one request to the first instance that answers and decodes its JSON.
func (e *env) call(method, path string, body []byte, out any) error {
	key, err := e.key()
	if err != nil {
		return err
	}
	if len(e.Instance) == 0 {
		return result.New(result.NoInstance, "no --instance is given")
	}
	var last error
	for _, addr := range e.Instance {
		data, err := callOne(addr, method, path, key, body)
		if err == nil {
			return json.Unmarshal(data, out)
		}
		last = err
		if result.As(err).Code != result.NoInstance {
			break // the instance answered; another one would answer the same
		}
	}
	return last
}

func (e *env) key() (string, error) {
	if e.KeyFile == "" {
		return "", result.New(result.KeyFileInvalid, "no --key-file is given")
	}
	src, err := os.ReadFile(e.KeyFile)
	if err != nil {
		return "", result.Wrap(result.KeyFileInvalid, err, "operator key file cannot be read")
	}
	return string(bytes.TrimSpace(src)), nil
}

func callOne(addr, method, path, key string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+key)
	req.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return nil, result.Wrap(result.NoInstance, err, "instance %s cannot be reached", addr)
	}
	data := bytes.Clone(resp.Body())
	if resp.StatusCode() == fasthttp.StatusOK {
		return data, nil
	}
	var e struct {
		Error struct {
			Code    result.Code    `json:"code"`
			Message string         `json:"message"`
			Outcome result.Outcome `json:"outcome"`
		} `json:"error"`
	}
	if err := json.Unmarshal(data, &e); err != nil || e.Error.Code == 0 {
		return nil, result.New(result.Internal, "instance %s answered status %d", addr, resp.StatusCode())
	}
	return nil, result.New(e.Error.Code, "instance %s: %s", addr, e.Error.Message).WithOutcome(e.Error.Outcome)
}
