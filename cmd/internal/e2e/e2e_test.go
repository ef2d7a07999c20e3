package e2e

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/standins/model"
	platformfake "cyclamenhitch/standins/platform"
)

const (
	testCallers = 12
	testTokens  = 20
)

var testEngine = model.Config{CacheChats: 1000, TokenInterval: 5 * time.Millisecond}

// more waits for further whole answers.
func (f *testFleet) more(l *load, n int64) {
	f.t.Helper()
	want := l.whole.Load() + n
	f.eventually("further whole answers", func() bool { return l.whole.Load() >= want })
}

// Guards against a planned stop that cuts or refuses requests of callers that
// keep addresses for the stated time, and against an exit code other than 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t, testEngine, 2)
	l := startLoad(f, testCallers, testTokens, false)
	f.more(l, 50)
	f.setState(f.instances[0], "leaving")
	f.instances[0].signal(t, syscall.SIGTERM)
	if err := f.instances[0].waitExit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
	f.more(l, 50)
	l.finish()
	if l.short.Load()+l.lost.Load()+l.failed.Load() > 0 {
		t.Errorf("%v\n%s", l, f.instances[0].logText())
	}
	if log := f.instances[0].logText(); !strings.Contains(log, `"complete":true`) || !strings.Contains(log, `"requests_left":0`) {
		t.Errorf("log does not state what was left: %s", log)
	}
}

// Guards against a stop that cuts a stream which outlives the handler and the
// keep time, and against readiness and lookups that stay on.
func TestPlannedStopWaitsForStreams(t *testing.T) {
	engine := testEngine
	engine.TokenInterval = 100 * time.Millisecond
	f := startFleet(t, engine, 1)
	done := make(chan error, 1)
	c := newCaller(f, 1)
	go func() { done <- c.chat(f.instances[0].caller, true, 90) }()
	f.eventually("stream", func() bool { return f.engines[0].Counts().Started+f.engines[1].Counts().Started == 1 })
	f.instances[0].signal(t, syscall.SIGTERM)
	f.eventually("not ready", func() bool {
		resp, err := newCaller(f, 2).request("GET", f.instances[0].admin, "/admin/readyz", "")
		if err != nil {
			t.Fatalf("admin address gone while a stream runs: %v", err)
		}
		defer resp.Body.Close()
		return resp.StatusCode == 503
	})
	if err := newCaller(f, 3).chat(f.instances[0].caller, false, 2); err != nil {
		t.Errorf("new request within the keep time: %v", err)
	}
	if err := <-done; err != nil {
		t.Errorf("stream: %v", err)
	}
	if err := f.instances[0].waitExit(t); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// Guards against short answers that look complete when an instance dies.
func TestKilledInstance(t *testing.T) {
	f := startFleet(t, testEngine, 2)
	l := startLoad(f, testCallers, testTokens, false)
	f.more(l, 50)
	f.eventually("requests under way", func() bool { return l.sending.Load() >= testCallers/2 })
	f.instances[0].signal(t, syscall.SIGKILL)
	_ = f.instances[0].waitExit(t)
	f.platform.RemoveMember(f.instances[0].name)
	f.more(l, 50)
	l.finish()
	if l.short.Load() > 0 {
		t.Error(l)
	}
	if l.lost.Load()+l.failed.Load() == 0 {
		t.Errorf("the kill hit no request, so nothing was tested: %v", l)
	}
}

// Guards against short or crossed answers after an instance was paused.
func TestPausedInstance(t *testing.T) {
	f := startFleet(t, testEngine, 2)
	l := startLoad(f, testCallers, testTokens, false)
	f.more(l, 50)
	f.instances[0].signal(t, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	f.instances[0].signal(t, syscall.SIGCONT)
	f.more(l, 200)
	l.finish()
	if l.short.Load() > 0 {
		t.Error(l)
	}
	if err := newCaller(f, 99).chat(f.instances[0].caller, true, testTokens); err != nil {
		t.Errorf("request after the pause: %v", err)
	}
}

// Guards against a dependence of serving on the table service, the object store
// or the membership list.
func TestPlatformDown(t *testing.T) {
	f := startFleet(t, testEngine, 2)
	f.platform.SetFault(platformfake.Fault{Down: true})
	l := startLoad(f, testCallers, testTokens, false)
	time.Sleep(3 * time.Second)
	f.more(l, 300)
	l.finish()
	if l.short.Load()+l.lost.Load()+l.failed.Load() > 0 {
		t.Error(l)
	}
}

// Guards against streams that hang or break when their connection to the engine
// goes silent, and against new work on idle connections that are silent too.
func TestSilentConnections(t *testing.T) {
	engine := testEngine
	engine.EventIDs, engine.KeepAlive, engine.TokenInterval = true, 200*time.Millisecond, 300*time.Millisecond
	f := startFleet(t, engine, 1)
	l := startLoad(f, testCallers, 12, true)
	f.more(l, 4)
	f.eventually("streams under way", func() bool { return l.sending.Load() >= testCallers/2 })
	// The other streams may all wait for their first token at the moment of the
	// silence, when nothing can be resumed.
	begun, long := make(chan struct{}), make(chan error, 1)
	go func() { long <- newCaller(f, 98).longStream(f.instances[0].caller, 30, begun) }()
	<-begun
	// A request that is not streamed cannot be resumed; it must be
	// retried or end with the code, and not wait for its deadline.
	plain := make(chan error, 1)
	started := f.engines[0].Counts().Started + f.engines[1].Counts().Started
	go func() { plain <- newCaller(f, 99).chat(f.instances[0].caller, false, 30) }()
	f.eventually("plain request", func() bool { return f.engines[0].Counts().Started+f.engines[1].Counts().Started > started })
	for _, e := range f.engines {
		e.BlackholeConnections()
	}
	f.eventually("resumed streams", func() bool { return f.engines[0].ResumedStreams()+f.engines[1].ResumedStreams() > 0 })
	whole := make(chan error, 4)
	for i := range cap(whole) {
		go func() { whole <- newCaller(f, uint64(100+i)).chat(f.instances[0].caller, true, 3) }()
	}
	for range cap(whole) {
		if err := <-whole; err != nil {
			t.Errorf("new work: %v", err)
		}
	}
	l.finish()
	// A stream that waits for its first byte cannot be resumed either; it ends
	// with the code, and the retry budget decides about another attempt.
	for _, e := range l.errors {
		if !strings.Contains(e, "connection_silent") {
			t.Errorf("%s; %v", e, l)
		}
	}
	if l.short.Load()+l.lost.Load() > 0 || l.failed.Load() > testCallers {
		t.Error(l)
	}
	if err := <-long; err != nil {
		t.Errorf("stream that had begun: %v", err)
	}
	if err := <-plain; err != nil && !strings.Contains(err.Error(), "connection_silent") {
		t.Errorf("plain request: %v", err)
	}
}

// Guards against full load on an engine that lost its cache without a restart.
func TestEngineTurnsCold(t *testing.T) {
	engine := testEngine
	engine.PrefillPerToken = 300 * time.Microsecond
	f := startFleet(t, engine, 1)
	round := func() {
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				c := newCaller(f, uint64(i))
				for chat := i; chat < 48; chat += 8 {
					// 4,000 characters are 1,000 tokens, 300 ms without a cache.
					if err := c.say(f.instances[0].caller, fmt.Sprintf("chat-%d %04000d", chat, 0), true, 4); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
	}
	round()
	round()
	round()
	const lost = "engine lost its cache"
	if log := f.instances[0].logText(); strings.Contains(log, lost) {
		t.Fatal("an engine with a warm cache was taken for cold")
	}
	f.engines[0].ClearCache()
	round()
	f.eventually("engine seen as cold", func() bool {
		return strings.Contains(f.instances[0].logText(), lost)
	})
	for ln := range strings.Lines(f.instances[0].logText()) {
		if strings.Contains(ln, lost) && !strings.Contains(ln, "engine-0") {
			t.Error(ln)
		}
	}
}

// Guards against calls and heartbeats that fail while the shared key is rotated.
func TestKeyRotation(t *testing.T) {
	f := startFleet(t, testEngine, 2)
	old, next := strings.Repeat("p", 32), strings.Repeat("n", 32)
	l := startLoad(f, testCallers, testTokens, false)
	for _, content := range []string{old + "\n" + next, next + "\n" + old, next} {
		f.write("peer.key", content)
		time.Sleep(3 * time.Second) // files are checked each second
		f.more(l, 50)
	}
	l.finish()
	if l.short.Load()+l.lost.Load()+l.failed.Load() > 0 {
		t.Error(l)
	}
	for _, in := range f.instances {
		if n := f.metric(in, "cyclamenhitch_control", "datagrams_refused"); n != 0 {
			t.Errorf("%s refused %v datagrams", in.name, n)
		}
	}
}

// Guards against a caller's key in a log.
func TestKeyIsNotLogged(t *testing.T) {
	f := startFleet(t, testEngine, 1)
	c := newCaller(f, 1)
	for _, path := range []string{"/v1/chat/completions", "/svc/none/x", "/none"} {
		resp, err := c.request("POST", f.instances[0].caller, path, "{")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	f.instances[0].signal(t, syscall.SIGTERM)
	_ = f.instances[0].waitExit(t)
	if strings.Contains(f.instances[0].logText(), accountKey) {
		t.Error("the key is in the log")
	}
}
