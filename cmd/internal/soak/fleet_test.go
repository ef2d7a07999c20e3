package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
	"cyclamenhitch/standins/userstore"
)

const (
	patience = 60 * time.Second // a safety limit, not a bound
	look     = 20 * time.Millisecond
	// revokeTime is after how long a key that was taken away runs nothing.
	revokeTime = 3 * time.Second
	stopTime   = 4 * time.Second
	events     = 12
	// lastLog is how much of a log is shown, in bytes.
	lastLog = 2000
)

// fleet is a fleet of processes with their store and servers.
type fleet struct {
	t         *testing.T
	store     *userstore.Store
	instances []*instance
	servers   []*server

	mu      sync.Mutex
	configs []config
}

// config is a version that the store acknowledged at a moment.
type config struct {
	at      time.Time
	version int
	second  bool // the second account's key is allowed
}

// instance is one process and its way to the store.
type instance struct {
	name, settings, log       string
	caller, directory, binary string
	toStore                   *proxy

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	code    int
}

// server is a backend server behind a proxy.
type server struct {
	*runner.Runner
	proxy *proxy
	pool  string

	mu     sync.Mutex
	drains []span
}

// span is a time in which something held; end is zero while it goes on.
type span struct{ begin, end time.Time }

// binaries is the folder of the daemon, which TestMain removes.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	code := m.Run()
	_ = os.RemoveAll(dir) // in the system's folder for temporary files
	os.Exit(code)
}

// build compiles the daemon once.
var build = sync.OnceValues(func() (string, error) {
	path := filepath.Join(binaries, "cyclamenhitchd")
	out, err := exec.Command("go", "build", "-o", path, "cyclamenhitch/cmd/cyclamenhitchd").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

func startFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	store, err := userstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, store: store}
	t.Cleanup(f.end)
	f.configure(1, true)
	for i := range 6 {
		s := &server{Runner: &runner.Runner{ID: fmt.Sprint("s", i), Events: events, EventInterval: 15 * time.Millisecond, ProcessingTime: 30 * time.Millisecond}, pool: []string{"chat", "orders"}[i%2]}
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		if s.proxy, err = newProxy(s.Address()); err != nil {
			t.Fatal(err)
		}
		f.servers = append(f.servers, s)
		f.register(s, "ready")
	}
	for i := range instances {
		f.instances = append(f.instances, f.instance(binary, i))
	}
	for _, n := range f.instances {
		n.start(t)
	}
	f.eventually("all instances are named", func() bool { return len(f.resolve(f.instances[0])) == instances })
	return f
}

func (f *fleet) instance(binary string, i int) *instance {
	f.t.Helper()
	toStore, err := newProxy(f.store.Address())
	if err != nil {
		f.t.Fatal(err)
	}
	dir := f.t.TempDir()
	n := &instance{
		name: fmt.Sprint("i", i), settings: filepath.Join(dir, "settings.toml"), log: filepath.Join(dir, "log"),
		caller: freeAddress(f.t), directory: freeAddress(f.t), binary: binary, toStore: toStore,
	}
	text := fmt.Sprintf(`instance = %q
data_centre = "z%d"
region = "r"
store = %q
[listen]
caller = %q
ready = %q
directory = %q
peer = %q
[times]
revoke_ms = %d
stop_ms = %d
keep_ms = 300
[limits]
retry_ratio = 0.5
retry_burst = 100
`, n.name, i%3, toStore.address(), n.caller, freeAddress(f.t), n.directory, freeAddress(f.t), revokeTime.Milliseconds(), stopTime.Milliseconds())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return n
}

// Ports of instances lie below those that systems give to outgoing connections: a
// restarted instance would else find its port taken by one.
const (
	lowestPort  = 10_000
	highestPort = 30_000
)

// given are the ports that were handed out; their instances may not listen yet.
var given sync.Map

// freeAddress returns a loopback address that nobody listens on, each one once.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if _, before := given.LoadOrStore(port, true); before {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr
		}
	}
	t.Fatal("no port is free")
	return ""
}

// configure writes a version with a route of its own.
func (f *fleet) configure(version int, second bool) {
	route := func(name, kind, pool, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":5000,"target_latency_ms":300,"service":%q,"max_attempts":2%s}`,
			name, "/"+name+"/", kind, pool, extra)
	}
	keys := `{"name":"t1","api_keys":["k1"]}`
	if second {
		keys += `,{"name":"t2","api_keys":["k2"]}`
	}
	body := fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"chat","max_conns":200},{"name":"orders","max_conns":200}],"tenants":[%s]}`, version,
		route("read", "idempotent", "orders", ""), route("order", "non_idempotent", "orders", ""),
		route("stream", "streaming", "chat", `,"can_resume":true`), route(fmt.Sprint("v", version), "idempotent", "orders", ""), keys)
	f.store.Set("op", "config", []byte(body))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configs = append(f.configs, config{time.Now(), version, second})
}

func (f *fleet) register(s *server, state string) {
	f.store.Set("servers", s.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"z","slots":64,"state":%q,"cold_left_ms":0,"sequence":1,"born":1}`, s.pool, s.proxy.address(), state))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case state != "ready":
		s.drains = append(s.drains, span{begin: time.Now()})
	case len(s.drains) > 0:
		s.drains[len(s.drains)-1].end = time.Now()
	}
}

func (n *instance) start(t *testing.T) {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Error(err)
		return
	}
	cmd := exec.Command(n.binary, "--discover", n.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		t.Error(err)
		return
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd.Process, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit code says it
		_ = out.Close()
		n.mu.Lock()
		n.code = cmd.ProcessState.ExitCode()
		n.mu.Unlock()
		close(exited)
	}()
}

func (n *instance) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(s) // it may have ended
}

// restart sends a signal, waits for the end and starts the instance anew. It returns
// the exit code.
func (n *instance) restart(t *testing.T, s syscall.Signal) int {
	n.signal(s)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	<-exited
	n.mu.Lock()
	code := n.code
	n.mu.Unlock()
	n.start(t)
	return code
}

// resolve returns the addresses that an instance names.
func (f *fleet) resolve(n *instance) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.directory + "/resolve?name=h.example&region=r&zone=z")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(body, &a) != nil {
		return nil
	}
	return a.Addresses
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(look) {
		if ok() {
			return
		}
	}
	for _, n := range f.instances {
		n.mu.Lock()
		select {
		case <-n.exited:
			f.t.Errorf("%s ended with exit code %d", n.name, n.code)
		default:
		}
		n.mu.Unlock()
		b, err := os.ReadFile(n.log)
		f.t.Logf("log of %s, %v: %s", n.name, err, b[max(0, len(b)-lastLog):])
	}
	f.t.Fatalf("not within %v: %s", patience, what)
}

func (f *fleet) end() {
	for _, n := range f.instances {
		if n.process != nil {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
		n.toStore.close()
	}
	for _, s := range f.servers {
		s.proxy.close()
		s.Close()
	}
	f.store.Close()
}
