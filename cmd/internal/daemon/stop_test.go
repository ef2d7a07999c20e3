package daemon

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/standins/model"
)

// A stop at its time limit must end running streams with an error event and return
// an error, and it must run the handover tasks even if they fail.
func TestStopAtLimit(t *testing.T) {
	f := newFixture(t)
	for i := range f.engines {
		e, err := model.Start(model.Config{Address: "127.0.0.1:0", TokenInterval: 50 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines[i] = e
	}
	f.applyManifest()
	handoverRan := make(chan struct{})
	f.daemon.stopper.handovers = append(f.daemon.stopper.handovers, handoverTask{"test", func(context.Context) error {
		close(handoverRan)
		return errors.New("no successor")
	}})
	body := strings.NewReader(strings.Replace(fmt.Sprintf(chatRequest, true), `"max_tokens":5`, `"max_tokens":200`, 1))
	req, _ := http.NewRequest("POST", "http://"+f.daemon.CallerAddress()+"/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer "+testAccountKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- f.daemon.stopper.run() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(got), `event: error`) || !strings.Contains(string(got), `"code":2006`) || !strings.Contains(string(got), `"outcome":"unknown"`) {
		t.Errorf("stream ended with %v: %.300q", err, got)
	}
	<-handoverRan
	if err := <-stopped; result.As(err) == nil || result.As(err).Code != result.Stopping {
		t.Errorf("stop: %v", err)
	}
}

// Guards against half of a request that delays a stop to its limit or counts as ended by it.
func TestStopDoesNotWaitForHalfRequests(t *testing.T) {
	f := newFixture(t)
	f.applyManifest()
	conn, err := net.Dial("tcp", f.daemon.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The second request of a connection, since the first one is waited for less.
	lookup := "GET /v1/lookup?model=m HTTP/1.1\r\nHost: r\r\n\r\n"
	_, _ = io.WriteString(conn, lookup)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_, _ = io.WriteString(conn, lookup[:len(lookup)/2])
	f.daemon.set.Times.StopSeconds = 3
	if err := f.daemon.stopper.run(); err != nil {
		t.Errorf("stop: %v", err)
	}
}
