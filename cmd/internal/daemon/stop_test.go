package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/standins/model"
)

// Guards against a stop that exceeds its limit or cuts a stream without an
// error event, and against hand-overs that are not run.
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
	handed := make(chan struct{})
	f.daemon.stopper.handovers = append(f.daemon.stopper.handovers, handoverTask{"test", func(context.Context) error {
		close(handed)
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
	<-handed
	if err := <-stopped; result.As(err) == nil || result.As(err).Code != result.Stopping {
		t.Errorf("stop: %v", err)
	}
}
