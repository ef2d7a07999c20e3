package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/entryexpiry"
	"cyclamenhitch/standins/runner"
)

const (
	testTimeout  = 30 * time.Second // generous limit on waits; not an assertion on speed
	pollInterval = 10 * time.Millisecond
)

// config returns a configuration with a route of each kind, among them one whose streams
// may be resumed and one without keys.
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

// Each instance must serve responses, streams and refusals, and forward the client
// account to the server.
func TestServes(t *testing.T) {
	r := &runner.Runner{ID: "a", Events: 5}
	f := startFleet(t, 3, r)
	for i := range f.edges {
		if s, seal, body := f.call(i, "/order/1", "k1"); s != 200 || !strings.HasPrefix(seal, "a.q") || body != "answer of a" {
			t.Errorf("order: %d %q %q", s, seal, body)
		}
		if s, _, body := f.call(i, "/stream/once/1", "k1"); s != 200 || body != eventStream(5) {
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

// A broken stream must be continued by another server if its route allows it, and must
// not be continued otherwise.
func TestBrokenStreams(t *testing.T) {
	f := startFleet(t, 1, &runner.Runner{ID: "a", Events: 9, DisconnectAfter: 4}, &runner.Runner{ID: "b", Events: 9, DisconnectAfter: 9})
	for range 8 {
		if s, _, body := f.call(0, "/stream/go-on/1", "k1"); s != 200 || body != eventStream(9) {
			t.Fatalf("resumable: %d %q", s, body)
		}
		if s, _, body := f.call(0, "/stream/once/1", "k1"); s != 200 || body != eventStream(9) && body != "broken: "+eventStream(4) {
			t.Fatalf("not resumable: %d %q", s, body)
		}
	}
}

// A request refused by a full server must be sent to another server with capacity; if
// there is none, it must be refused without having run.
func TestRefusingServer(t *testing.T) {
	full, free := &runner.Runner{ID: "a", AtCapacity: true}, &runner.Runner{ID: "b"}
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

// Servers that are leaving or in a data centre out of service must receive no work, and
// configuration changes must reach every instance, although only some instances read the
// store and although the store drops its change history.
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
	f.store.Set("servers", "a", a.RegistryEntry("s", "z", "draining"))
	all("server a leaves", "answer of b")
	f.store.Set("servers", "a", a.RegistryEntry("s", "other", "ready"))
	f.store.Set("op", "evacuate/z", []byte("{}"))
	all("data centre z is out", "answer of a")
	f.store.DropHistory()
	f.store.Remove("op", "evacuate/z")
	f.store.Set("servers", "a", a.RegistryEntry("s", "other", "draining"))
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
	time.Sleep(2 * operatorPollWait)
	for i := range f.edges {
		if s, _, _ := f.call(i, "/order/1", "k1"); s != 401 {
			t.Errorf("instance %d activated an older configuration", i)
		}
	}
}

// During a store outage instances cannot see whether a key was revoked, so they must stop
// accepting keys; after the outage they must serve again.
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

// Servers whose entries expired in a store outage must be kept while the entries are
// being renewed, and removed if an entry is not renewed.
func TestLapsedEntries(t *testing.T) {
	a, b := &runner.Runner{ID: "a"}, &runner.Runner{ID: "b"}
	f := startFleet(t, 1, a, b)
	f.store.SetDown(true)
	time.Sleep(serversPollWait)
	f.store.Remove("servers", "a")
	f.store.Remove("servers", "b")
	f.store.SetDown(false)
	for end := time.Now().Add(entryexpiry.EntryReturnTime / 2); time.Now().Before(end); time.Sleep(pollInterval) {
		if s, _, body := f.call(0, "/order/1", "k1"); s != 200 {
			t.Fatalf("%d %q while the entries are being renewed", s, body)
		}
	}
	f.store.Set("servers", "a", a.RegistryEntry("s", "z", "ready"))
	f.eventually("only server a is left", func() bool {
		for range 20 {
			if s, _, body := f.call(0, "/order/1", "k1"); s != 200 || body != "answer of a" {
				return false
			}
		}
		return true
	})
}

// Odd entries of another writer among those of the servers must neither end an instance
// nor stop it from following the list.
func TestOddEntriesAmongServers(t *testing.T) {
	a, b := &runner.Runner{ID: "a"}, &runner.Runner{ID: "b"}
	f := startFleet(t, 3, a, b)
	odd := func(field string) []byte {
		return []byte(`{"service":"s","address":"127.0.0.1:9","zone":"z","slots":8,"state":"ready","cold_left_ms":0,"born":1,` + field + `}`)
	}
	for i, value := range [][]byte{
		[]byte(strings.Repeat("[", 30_000)), odd(`"slots":1e999`), odd(`"address":"127.0.0.1:70000"`), odd(`"cold_left_ms":1e300`), odd(`"born":1e30`), {0xff, 0xfe}, {},
	} {
		f.store.Set("servers", fmt.Sprint("odd", i), value)
	}
	f.store.Remove("servers", "a")
	for i := range f.edges {
		f.eventually("only server b gets work", func() bool {
			for range 10 {
				if s, _, body := f.call(i, "/order/1", "k1"); s != 200 || body != "answer of b" {
					return false
				}
			}
			return true
		})
	}
}

// If the store has dropped its history and its full reads are stale, each table must wait
// between two reads instead of retrying without delay.
func TestReadsBehindArePaced(t *testing.T) {
	f := startFleet(t, 1, &runner.Runner{ID: "a"})
	const took = 2 * time.Second
	for range 5 {
		f.store.Set("op", "other", []byte("{}"))
	}
	time.Sleep(operatorPollWait / 2) // the instance has seen the changes
	f.store.SetVersionLag(3)
	f.store.DropHistory()
	f.store.Set("op", "other", []byte("{}"))
	before := f.store.Calls()
	time.Sleep(took)
	calls := f.store.Calls() - before
	// Three tables, a delay of at least storeRetryDelay/4, and calls already started.
	if most := 3 * (int(took/(storeRetryDelay/4)) + 2); calls > most {
		t.Errorf("%d calls within %v, want at most %d", calls, took, most)
	}
	f.store.SetVersionLag(0)
	f.eventually("the instance serves", func() bool { s, _, _ := f.call(0, "/order/1", "k1"); return s == 200 })
}

// A planned stop must not abort a stream, and the directory must stop returning the
// instance.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, 2, &runner.Runner{ID: "a", Events: 20, EventInterval: 50 * time.Millisecond})
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
	if got := <-body; got != eventStream(20) {
		t.Errorf("the stream was aborted: %q", got)
	}
}

// When a caller disconnects, the request at the server must be cancelled.
func TestCallerLeaves(t *testing.T) {
	r := &runner.Runner{ID: "a", Events: 10000, EventInterval: 5 * time.Millisecond}
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
	f.eventually("the server's connection is closed", func() bool { return r.Disconnects() == 1 })
}

// An instance must publish every gauge that the operators' status command shows.
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
