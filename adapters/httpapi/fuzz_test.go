package httpapi

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Guards against service paths that are modified, that escape the route after decoding
// or that inject into the request line.
func FuzzTarget(f *testing.F) {
	for _, s := range []string{"/svc/a/b?c", "/svc/a/%2e%2e/b", "/svc/a/..%5c", "/%0d%0a", "/a b", "", "*", "/svc/a;x/..;y/"} {
		f.Add("GET", s)
	}
	f.Fuzz(func(t *testing.T, method, raw string) {
		tg, e := parseTarget([]byte(raw))
		if e != nil {
			return
		}
		if tg.path+tg.query != raw || strings.ContainsAny(raw, " \r\n\t#") {
			t.Fatalf("%q became %q", raw, tg.path+tg.query)
		}
		if checkServicePath(method, strings.TrimPrefix(tg.path, "/")) != nil {
			return
		}
		if strings.ContainsAny(method, " \r\n\t") {
			t.Fatalf("method %q", method)
		}
		decoded, err := url.PathUnescape(tg.path)
		if err != nil {
			t.Fatal(err)
		}
		if clean := path.Clean("/root" + strings.ReplaceAll(decoded, `\`, "/")); clean != "/root" && !strings.HasPrefix(clean, "/root/") {
			t.Fatalf("%q leaves its route: %q", raw, clean)
		}
	})
}

// Guards against chat bodies that cause a panic or an unbounded token estimate.
func FuzzChat(f *testing.F) {
	for _, s := range []string{
		chat, `{"model":"taller-modelo","max_tokens":-1}`, `{"model":"taller-modelo","max_tokens":1e99}`, "[", strings.Repeat("[", 10000), `{"messages":[{"content":{"a":[1]}}]}`,
		`{"model":"taller\u002dmodelo"}`, "{\"model\":\"\xff\"}", `{"model":null}`,
	} {
		f.Add([]byte(s), []byte("c1"))
	}
	x := testIndex(f)
	account := &x.Manifest.Accounts[0]
	f.Fuzz(func(t *testing.T, body, chatID []byte) {
		compareDecoders(t, body)
		req, e := parseChat(body, x, account, chatID)
		if e != nil {
			if e.Outcome != result.NotRun {
				t.Fatalf("%v: outcome %s", e, e.Outcome)
			}
			return
		}
		if req.OutputTokens <= 0 || req.OutputTokens > req.Pool.ExpectedOutputTokens || req.PromptTokens > len(body) {
			t.Fatalf("%+v", req)
		}
	})
}

// Guards against caller input that makes the server panic or send a response that is
// not HTTP.
func FuzzConnection(f *testing.F) {
	for _, s := range []string{
		rawRequest("POST", "/v1/chat/completions", "", chat),
		rawRequest("GET", "/v1/lookup?model=taller-modelo", "", ""),
		rawRequest("GET", "/svc/catalogue/../a", "X-Request-Deadline-Ms: -1\r\n", ""),
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
		"GET / HTTP/9.9\r\n\r\n", "\r\n\r\n", "GET",
	} {
		f.Add([]byte(s))
	}
	x := testIndex(f)
	s := &Server{
		Config: func() *manifest.Index { return x }, Directory: allowAll{}, Admission: allowAll{}, Log: zap.NewNop(),
		Opener: &fakeOpener{open: func(context.Context, *gateway.Request) (gateway.Response, error) {
			return gateway.NewStoredResponse(200, nil, []byte("ok")), nil
		}},
		NewID: func() string { return "request-1" },
	}
	l := testLimits()
	l.ReadTimeout, l.IdleTimeout = 50*time.Millisecond, 50*time.Millisecond
	srv := s.newHTTP(l)
	conns, err := newCallerListener(s, nil, l)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(conns.stop)
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) == 0 {
			return // net.Pipe turns an empty write into an empty read, which TCP never does
		}
		client, server := net.Pipe()
		done := make(chan error, 1)
		conn := &callerConn{Conn: server, l: conns}
		go func() { done <- srv.ServeConn(conn); conn.Close() }()
		go func() { _, _ = client.Write(raw) }()
		br := bufio.NewReader(client)
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				if br.Buffered() > 0 {
					t.Fatalf("response to %q is not HTTP: %v", raw, err)
				}
				break
			}
			if resp.StatusCode == fasthttp.StatusInternalServerError {
				t.Fatalf("%q ended in status 500", raw)
			}
			if resp.Body.Close() != nil {
				break
			}
		}
		client.Close()
		<-done
		if n := s.Running(); n != 0 {
			t.Fatalf("%d requests still count as running", n)
		}
	})
}

// compareDecoders requires that scanChat agrees with encoding/json on bodies whose
// member names are lower case, unescaped and unique.
func compareDecoders(t *testing.T, body []byte) {
	got, err := scanChat(body)
	var want struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
		Max    int    `json:"max_tokens"`
		Other  int    `json:"max_completion_tokens"`
	}
	wantErr := json.Unmarshal(body, &want)
	if wantErr != nil || err != nil {
		if err == nil && !json.Valid(body) {
			t.Fatalf("%q: accepted, want %v", body, wantErr)
		}
		return
	}
	var names map[string]json.RawMessage
	_ = json.Unmarshal(body, &names)
	for name := range names {
		if lower := strings.ToLower(name); lower != name || strings.Count(string(body), `"`+name+`"`) != 1 {
			return
		}
	}
	if want.Model != got.model || want.Stream != got.stream || want.Max != got.maxTokens || want.Other != got.maxCompletionTokens {
		t.Fatalf("%q: %+v, want %+v", body, got, want)
	}
}

// Guards against a chat that loses its engine affinity because its prefix changes between
// turns.
func TestChatPrefix(t *testing.T) {
	turns := []string{
		`{"messages":[{"role":"system","content":"s"},{"content":"q1","role":"user"}]}`,
		`{"messages":[{"role":"system","content":"s"},{"content":"q1","role":"user"},{"role":"assistant","content":"a"}, {"role":"user","content":"q2"}],"stream":true}`,
	}
	first, err := scanChat([]byte(turns[0]))
	second, err2 := scanChat([]byte(turns[1]))
	if err != nil || err2 != nil || len(first.prefix) == 0 || string(first.prefix) != string(second.prefix) {
		t.Errorf("%q, %v and %q, %v", first.prefix, err, second.prefix, err2)
	}
}
