package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/lapse"
	"cyclamenhitch/standins/runner"
	"cyclamenhitch/standins/userstore"
)

const (
	patience = 30 * time.Second // a safety limit, not a bound
	look     = 10 * time.Millisecond
)

// config has a whole route of each kind and one whose streams may be resumed.
func config(version int, keys string) []byte {
	route := func(name, kind, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":%q,"kind":%q,"timeout_ms":20000,"target_latency_ms":500,"service":"s","max_attempts":2%s}`,
			name, "/"+name+"/", kind, extra)
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"s","max_conns":100}],"tenants":[{"name":"t","api_keys":[%s]}]}`, version,
		route("read", "idempotent", ""), route("order", "non_idempotent", ""),
		route("stream/go-on", "streaming", `,"can_resume":true`), route("stream/once", "streaming", ""),
		route("open", "idempotent", `,"anonymous":true`), keys))
}

// testFleet is a fleet on loopback with its store and its servers.
type testFleet struct {
	t     *testing.T
	store *userstore.Store
	edges []*testEdge
}

type testEdge struct {
	set  *settings.Edge
	stop context.CancelFunc
	done chan error
}

func startFleet(t *testing.T, instances int, runners ...*runner.Runner) *testFleet {
	t.Helper()
	s, err := userstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f := &testFleet{t: t, store: s}
	t.Cleanup(f.end)
	s.Set("op", "config", config(1, `"k1","k2"`))
	for _, r := range runners {
		if err := r.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		s.Set("servers", r.ID, r.Entry("s", "z", "ready"))
	}
	for i := range instances {
		f.start(fmt.Sprint("i", i), fmt.Sprint("z", i))
	}
	f.eventually("all instances are named", func() bool {
		return strings.Count(f.resolve(0), "127.0.0.1:") == instances
	})
	return f
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (f *testFleet) start(name, dc string) {
	f.t.Helper()
	set := &settings.Edge{
		Instance: fleet.InstanceID(name), DataCentre: fleet.DataCentreID(dc), Region: "r", Store: f.store.Address(), FirstStart: true,
		Listen: settings.EdgeListen{Caller: freeAddress(f.t), Ready: freeAddress(f.t), Directory: freeAddress(f.t), Peer: freeAddress(f.t)},
		Times:  settings.EdgeTimes{RevokeMillis: 3000, StopMillis: 4000, KeepMillis: 200},
		Limits: settings.EdgeLimits{MemoryMegabytes: 256, Descriptors: 1000, RetryRatio: 1, RetryBurst: 1000},
	}
	sample := 1
	set.Log.SampleDecisions = &sample
	e, err := New(set, zap.NewNop())
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	te := &testEdge{set: set, stop: stop, done: make(chan error, 1)}
	go func() { te.done <- e.Run(ctx, make(chan os.Signal)) }()
	f.edges = append(f.edges, te)
}

// end stops all instances at once.
func (f *testFleet) end() {
	for _, e := range f.edges {
		e.stop()
	}
	for _, e := range f.edges {
		select {
		case <-e.done:
		case <-time.After(patience):
			f.t.Errorf("instance %s did not stop", e.set.Instance)
		}
	}
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(look) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("not within %v: %s", patience, what)
}

func (f *testFleet) resolve(i int) string {
	resp, err := http.Get("http://" + f.edges[i].set.Listen.Directory + "/resolve?name=h.example&region=r&zone=z")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

var ids int

// call sends a request to an instance and returns status, seal and body.
func (f *testFleet) call(i int, path, key string) (int, string, string) {
	f.t.Helper()
	ids++
	req, err := http.NewRequest("POST", "http://"+f.edges[i].set.Listen.Caller+path, strings.NewReader("body"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", fmt.Sprint("q", ids))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Remaining", "15000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, resp.Header.Get("Response-Seal"), "broken: " + string(body)
	}
	return resp.StatusCode, resp.Header.Get("Response-Seal"), string(body)
}

func events(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", i+1, i+1)
	}
	return b.String()
}

// Guards against a path that does not serve: answers, streams, refusals and the
// client account as the server sees it, at each instance.
func TestServes(t *testing.T) {
	r := &runner.Runner{ID: "a", Events: 5}
	f := startFleet(t, 3, r)
	for i := range f.edges {
		if s, seal, body := f.call(i, "/order/1", "k1"); s != 200 || !strings.HasPrefix(seal, "a.q") || body != "answer of a" {
			t.Errorf("order: %d %q %q", s, seal, body)
		}
		if s, _, body := f.call(i, "/stream/once/1", "k1"); s != 200 || body != events(5) {
			t.Errorf("stream: %d %q", s, body)
		}
		if s, _, _ := f.call(i, "/order/1", "none"); s != 401 {
			t.Errorf("unknown key: %d", s)
		}
		if s, _, _ := f.call(i, "/none/1", "k1"); s != 404 {
			t.Errorf("unknown route: %d", s)
		}
	}
	for _, run := range r.Runs() {
		if run.Tenant != "t" || run.Body != "body" || run.Method != "POST" {
			t.Errorf("ran %+v", run)
		}
	}
}

// Guards against a broken stream that is lost although it may be resumed, and
// against one that is resumed although it may not.
func TestBrokenStreams(t *testing.T) {
	f := startFleet(t, 1, &runner.Runner{ID: "a", Events: 9, BreakAfter: 4}, &runner.Runner{ID: "b", Events: 9, BreakAfter: 9})
	for range 8 {
		if s, _, body := f.call(0, "/stream/go-on/1", "k1"); s != 200 || body != events(9) {
			t.Fatalf("resumable: %d %q", s, body)
		}
		if s, _, body := f.call(0, "/stream/once/1", "k1"); s != 200 || body != events(9) && body != "broken: "+events(4) {
			t.Fatalf("not resumable: %d %q", s, body)
		}
	}
}

// Guards against a refusal that ends a request although another server has room,
// and against an untrue one.
func TestRefusingServer(t *testing.T) {
	full, free := &runner.Runner{ID: "a", Full: true}, &runner.Runner{ID: "b"}
	f := startFleet(t, 1, full, free)
	for range 8 {
		if s, _, body := f.call(0, "/order/1", "k1"); s != 200 || body != "answer of b" {
			t.Fatalf("%d %q", s, body)
		}
	}
	f.store.Remove("servers", "b")
	f.eventually("the last free server is gone", func() bool {
		s, _, _ := f.call(0, "/order/1", "k1")
		return s == 503
	})
	if n := len(full.Runs()); n != 0 {
		t.Errorf("the full server ran %d requests", n)
	}
}

// Guards against work for servers that are leaving or in a data centre that is out,
// and against configurations that do not reach every instance, although only some
// read the store, and although its history is dropped.
func TestChangesReachAllInstances(t *testing.T) {
	a, b := &runner.Runner{ID: "a"}, &runner.Runner{ID: "b"}
	f := startFleet(t, 5, a, b)
	all := func(what, body string) {
		t.Helper()
		f.eventually(what, func() bool {
			for i := range f.edges {
				for range 4 {
					if s, _, got := f.call(i, "/order/1", "k1"); s != 200 || got != body {
						return false
					}
				}
			}
			return true
		})
	}
	f.store.Set("servers", "a", a.Entry("s", "z", "draining"))
	all("server a leaves", "answer of b")
	f.store.Set("servers", "a", a.Entry("s", "other", "ready"))
	f.store.Set("op", "evacuate/z", []byte("{}"))
	all("data centre z is out", "answer of a")
	f.store.DropHistory()
	f.store.Remove("op", "evacuate/z")
	f.store.Set("servers", "a", a.Entry("s", "other", "draining"))
	all("data centre z is back", "answer of b")
	f.store.Set("op", "config", config(2, `"k2"`))
	f.eventually("key k1 is gone everywhere", func() bool {
		for i := range f.edges {
			if s, _, _ := f.call(i, "/order/1", "k1"); s != 401 {
				return false
			}
			if s, _, _ := f.call(i, "/order/1", "k2"); s != 200 {
				return false
			}
		}
		return true
	})
	f.store.Set("op", "config", []byte(`{"version":3,`))
	f.store.Set("op", "config", config(1, `"k1"`))
	f.store.Set("servers", "bad", []byte("rubbish"))
	time.Sleep(2 * operatorWait)
	for i := range f.edges {
		if s, _, _ := f.call(i, "/order/1", "k1"); s != 401 {
			t.Errorf("instance %d went back to an older configuration", i)
		}
	}
}

// Guards against a key that works on while nobody can tell whether it was taken
// away, and against a fleet that stays away after the store is back.
func TestStoreOutage(t *testing.T) {
	f := startFleet(t, 3, &runner.Runner{ID: "a"})
	f.store.SetDown(true)
	f.eventually("all instances refuse", func() bool {
		for i := range f.edges {
			if s, _, _ := f.call(i, "/order/1", "k1"); s != 503 {
				return false
			}
		}
		return true
	})
	if s, _, _ := f.call(0, "/open/1", ""); s != 200 {
		t.Errorf("a route without keys: %d", s)
	}
	f.eventually("the directory names all that live", func() bool { return strings.Count(f.resolve(0), "127.0.0.1:") == 3 })
	f.store.SetDown(false)
	f.eventually("all instances serve again", func() bool {
		for i := range f.edges {
			if s, _, _ := f.call(i, "/order/1", "k1"); s != 200 {
				return false
			}
		}
		return true
	})
}

// Guards against refusals while servers' entries, which ran out in an outage of the
// store, are on their way back, and against servers that stay without an entry.
func TestLapsedEntries(t *testing.T) {
	a, b := &runner.Runner{ID: "a"}, &runner.Runner{ID: "b"}
	f := startFleet(t, 1, a, b)
	f.store.SetDown(true)
	time.Sleep(serversWait)
	f.store.Remove("servers", "a")
	f.store.Remove("servers", "b")
	f.store.SetDown(false)
	for end := time.Now().Add(lapse.EntryReturnTime / 2); time.Now().Before(end); time.Sleep(look) {
		if s, _, body := f.call(0, "/order/1", "k1"); s != 200 {
			t.Fatalf("%d %q while the entries are on their way back", s, body)
		}
	}
	f.store.Set("servers", "a", a.Entry("s", "z", "ready"))
	f.eventually("only server a is left", func() bool {
		for range 20 {
			if s, _, body := f.call(0, "/order/1", "k1"); s != 200 || body != "answer of a" {
				return false
			}
		}
		return true
	})
}

// Guards against a storm of calls while the store has dropped its history and its
// whole reads are behind: each table waits between two reads.
func TestReadsBehindArePaced(t *testing.T) {
	f := startFleet(t, 1, &runner.Runner{ID: "a"})
	const took = 2 * time.Second
	for range 5 {
		f.store.Set("op", "other", []byte("{}"))
	}
	time.Sleep(operatorWait / 2) // the instance has seen the changes
	f.store.SetBehind(3)
	f.store.DropHistory()
	f.store.Set("op", "other", []byte("{}"))
	before := f.store.Calls()
	time.Sleep(took)
	calls := f.store.Calls() - before
	// Three tables, a pause of a quarter of storeRetry at least, and what began before.
	if most := 3 * (int(took/(storeRetry/4)) + 2); calls > most {
		t.Errorf("%d calls within %v, want at most %d", calls, took, most)
	}
	f.store.SetBehind(0)
	f.eventually("the instance serves", func() bool { s, _, _ := f.call(0, "/order/1", "k1"); return s == 200 })
}

// Guards against a planned stop that cuts a stream, or after which the instance is
// still named.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, 2, &runner.Runner{ID: "a", Events: 20, Gap: 50 * time.Millisecond})
	body := make(chan string, 1)
	go func() {
		_, _, b := f.call(0, "/stream/once/1", "k1")
		body <- b
	}()
	time.Sleep(200 * time.Millisecond)
	f.edges[0].stop()
	f.eventually("the stopping instance is not named", func() bool {
		return !strings.Contains(f.resolve(1), f.edges[0].set.Listen.Caller)
	})
	if got := <-body; got != events(20) {
		t.Errorf("the stream was cut: %q", got)
	}
}

// Guards against a server that works on for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	r := &runner.Runner{ID: "a", Events: 10000, Gap: 5 * time.Millisecond}
	f := startFleet(t, 1, r)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+f.edges[0].set.Listen.Caller+"/stream/once/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "leaver")
	req.Header.Set("Authorization", "Bearer k1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	cancel()
	f.eventually("the server's connection is closed", func() bool { return r.Gone() == 1 })
}

// Guards against gauges that the operators' command shows and an instance does not have.
func TestGaugesOfStatus(t *testing.T) {
	f := startFleet(t, 1)
	set := *f.edges[0].set
	set.Listen.Peer = freeAddress(t)
	e, err := New(&set, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer e.peers.socket.Close()
	var got map[string]any
	if err := json.Unmarshal([]byte(e.meters.all.String()), &got); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{
		"instance", "data_centre", "config_version", "config_age_ms", "serving", "relaying", "running", "peers_live", "store_readers", "servers",
	} {
		if _, ok := got[name]; !ok {
			t.Errorf("there is no gauge %q", name)
		}
	}
	if got["instance"] != string(set.Instance) || got["config_age_ms"] != nil {
		t.Errorf("instance %v, config_age_ms %v before the first read", got["instance"], got["config_age_ms"])
	}
}
