package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/standins/runner"
)

// pacedCaller sends one request and reads its response at a limited rate.
type pacedCaller struct {
	id, path string
	// rate is in bytes per second.
	rate int

	mu     sync.Mutex
	read   int
	ended  bool
	status int
	err    error
}

// Sizes of the reads and of the kernel buffer of a pacedCaller in bytes.
const (
	pacedRead   = 32 << 10
	pacedBuffer = 64 << 10
)

// run sends the request and returns when the response has ended.
func (c *pacedCaller) run(address string) {
	status, err := c.exchange(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.status, c.err = true, status, err
}

func (c *pacedCaller) exchange(address string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(pacedBuffer)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer k1\r\nContent-Length: 0\r\n\r\n", c.path, c.id); err != nil {
		return 0, err
	}
	br := bufio.NewReaderSize(conn, pacedRead)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	begin, buf := time.Now(), make([]byte, pacedRead)
	for {
		n, err := resp.Body.Read(buf)
		c.mu.Lock()
		c.read += n
		total := c.read
		c.mu.Unlock()
		if err == io.EOF {
			return resp.StatusCode, nil
		}
		if err != nil {
			return resp.StatusCode, err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(total) * time.Second / time.Duration(c.rate))))
	}
}

func (c *pacedCaller) begun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read > 0 || c.ended
}

// settingsVariable is the environment variable with the settings of an instance that runs as a
// process of its own.
const settingsVariable = "EDGE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	if set := os.Getenv(settingsVariable); set != "" {
		os.Exit(runInstance([]byte(set)))
	}
	os.Exit(m.Run())
}

// runInstance runs an instance until SIGTERM and returns the exit code.
func runInstance(encoded []byte) int {
	var set settings.Edge
	if err := json.Unmarshal(encoded, &set); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	e, err := New(&set, logging.New(os.Stderr, "info"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if err := e.Run(ctx, make(chan os.Signal)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// startProcess starts an instance whose end closes its connections, as that of the daemon
// does. log must not be read before the process has ended.
func (f *testFleet) startProcess(name string, limit time.Duration) (set *settings.Edge, log *strings.Builder) {
	f.t.Helper()
	set = f.settings(name, "z0", true)
	set.Times.StopMillis = int(limit.Milliseconds())
	encoded, err := json.Marshal(set)
	if err != nil {
		f.t.Fatal(err)
	}
	log = &strings.Builder{}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsVariable+"="+string(encoded))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = cmd.Process.Kill() })
	te := &testEdge{set: set, stop: func() { _ = cmd.Process.Signal(syscall.SIGTERM) }, done: make(chan error, 1)}
	go func() { te.done <- cmd.Wait() }()
	f.edges = append(f.edges, te)
	f.eventually(name+" is named", func() bool { return strings.Contains(f.resolve(len(f.edges)-1), set.Listen.Caller) })
	return set, log
}

// stopWithCallers runs callers against an instance, stops it once all responses have begun,
// and returns its log. It fails unless every response is whole.
func stopWithCallers(t *testing.T, limit time.Duration, r *runner.Runner, callers ...*pacedCaller) string {
	t.Helper()
	f := startFleet(t, 0, r)
	set, log := f.startProcess("i0", limit)
	var wg sync.WaitGroup
	for i, c := range callers {
		c.id = fmt.Sprint("r-", i)
		wg.Go(func() { c.run(set.Listen.Caller) })
	}
	f.eventually("all responses have begun", func() bool {
		for _, c := range callers {
			if !c.begun() {
				return false
			}
		}
		return true
	})
	f.edges[0].stop()
	err := <-f.edges[0].done
	f.edges[0].done <- err
	wg.Wait()
	for _, c := range callers {
		if c.err != nil || c.status != http.StatusOK {
			t.Errorf("%s: status %d after %d bytes, %v", c.path, c.status, c.read, c.err)
		}
	}
	if t.Failed() || err != nil {
		t.Errorf("the instance ended with %v; its log:\n%s", err, log)
	}
	return log.String()
}

// Guards against a stop that ends before slow readers have got responses that servers completed.
func TestStopDeliversLargeResponses(t *testing.T) {
	const size, rate = 8_200_000, 1_600_000
	for _, path := range []string{"/order/1", "/read/1"} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			stopWithCallers(t, 4*time.Second, &runner.Runner{ID: "a", AnswerBytes: size}, &pacedCaller{path: path, rate: rate}, &pacedCaller{path: path, rate: rate})
		})
	}
}

// Guards against a stop that cuts streams off when it ends requests that have no answer yet.
func TestStopLeavesStreamsUntilItsExit(t *testing.T) {
	t.Parallel()
	// Requests are aborted 1 s before the limit, the process exits 250 ms before it.
	const limit, events, interval = 10 * time.Second, 17, 550 * time.Millisecond
	r := &runner.Runner{ID: "a", Events: events, EventInterval: interval}
	stopWithCallers(t, limit, r, &pacedCaller{path: "/stream/once/1", rate: 1 << 20}, &pacedCaller{path: "/stream/go-on/1", rate: 1 << 20})
}
