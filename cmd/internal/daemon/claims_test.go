package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	platformfake "cyclamenhitch/standins/platform"
	"cyclamenhitch/standins/service"
)

// claimFixture is a fixture with two instances and a plain service whose calls are
// not idempotent.
type claimFixture struct {
	*fixture
	ledger       *service.RunCounter
	second       *Daemon
	manifestText string        // the current manifest
	requestHeld  chan struct{} // receives when a call of the route "slow" begins
}

func newClaimFixture(t *testing.T) *claimFixture {
	f := &claimFixture{fixture: newFixture(t), ledger: service.NewRunCounter(), requestHeld: make(chan struct{}, 1)}
	release := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/hold") {
			f.requestHeld <- struct{}{}
			<-release
		}
	}))
	t.Cleanup(slow.Close)
	t.Cleanup(func() { close(release) })
	srv, err := service.Start(service.Config{Name: "registry-0", Address: "127.0.0.1:0", RunCounter: f.ledger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.Close)
	f.second = f.startInstance("r2")
	f.manifestText = f.manifest() + fmt.Sprintf(`
[[pool]]
name = "registro-pedidos"
kind = "service"
[[server]]
name = "registry-0"
pool = "registro-pedidos"
data_centre = "cordon"
address = %q
[[route]]
name = "orders"
pool = "registro-pedidos"
[[route]]
name = "cuts"
pool = "registro-pedidos"
dated_keys = true
[[pool]]
name = "slow"
kind = "service"
[[server]]
name = "slow-0"
pool = "slow"
data_centre = "cordon"
address = %q
[[route]]
name = "slow"
pool = "slow"
idempotent = true
`, srv.Address(), slow.Listener.Addr())
	if code, out := f.runOperator("apply", f.writeFile("claims.toml", f.manifestText), "--base", "0"); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
	for _, d := range []*Daemon{f.daemon, f.second} {
		f.eventually("configuration and members", func() bool { return d.config.Index() != nil && len(d.members.View().Members) == 2 })
	}
	for i, d := range []*Daemon{f.daemon, f.second} { // admitters wait before they grant their first permit
		f.eventually("permits", func() bool {
			status, _ := f.sendOrder(d, "orders", fmt.Sprintf("ready-%d", i), "")
			return status == 200
		})
	}
	return f
}

func (f *claimFixture) sendOrder(d *Daemon, route, key, body string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest("POST", "http://"+d.CallerAddress()+"/svc/"+route+"/confirm?id=7", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testAccountKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// Guards against a second execution when a caller repeats a call at another instance,
// and against a response that differs from the first one.
func TestClaimRepeatedAtAnotherInstance(t *testing.T) {
	f := newClaimFixture(t)
	for i := range 8 { // several partitions, owned by either instance
		key, body := fmt.Sprintf("order-%d", i), strings.Repeat("x", i*3000)
		// On a loaded machine, a claim may time out with 503. The caller repeats it.
		call := func(d *Daemon) (status int, out string) {
			f.eventually(key+" is answered", func() bool {
				status, out = f.sendOrder(d, "orders", key, body)
				return status != 409 && status != 503
			})
			return status, out
		}
		status, first := call(f.daemon)
		if status != 200 {
			t.Fatalf("%s: status %d, %s", key, status, first)
		}
		status, second := call(f.second)
		if status != 200 || second != first || f.ledger.Runs(key) != 1 {
			t.Fatalf("%s: status %d, %d runs, answers equal: %v: %.200s", key, status, f.ledger.Runs(key), second == first, second)
		}
		if status, out := f.sendOrder(f.second, "orders", key, body+"y"); status != 422 || !strings.Contains(out, "idempotency_conflict") {
			t.Fatalf("%s with another body: status %d, %s", key, status, out)
		}
	}
	if status, out := f.sendOrder(f.daemon, "cuts", "not-dated", ""); status != 400 {
		t.Fatalf("key without a date: status %d, %s", status, out)
	}
	if status, out := f.sendOrder(f.daemon, "cuts", "01900000-0000-7000-8000-000000000000", ""); status != 409 || !strings.Contains(out, "idempotency_key_expired") {
		t.Fatalf("old key: status %d, %s", status, out)
	}
}

// Guards against a load refusal with the outcome not_run although the first call with
// the key ran. The caller would send the order again with a new key.
func TestRefusedCallGetsTheStoredAnswer(t *testing.T) {
	f := newClaimFixture(t)
	first := map[string]string{}
	for i := range 8 { // several partitions, owned by either instance
		key := fmt.Sprintf("lost-reply-%d", i)
		f.eventually(key+" runs", func() bool {
			status, out := f.sendOrder(f.daemon, "orders", key, "a")
			first[key] = out
			return status == 200
		})
	}
	limited := strings.Replace(f.manifestText, `name = "workshops"`, "name = \"workshops\"\nmax_concurrent = 1", 1)
	if code, out := f.runOperator("apply", f.writeFile("limited.toml", limited), "--base", "1"); code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out)
	}
	for _, d := range []*Daemon{f.daemon, f.second} {
		f.eventually("the limit is in force", func() bool {
			for _, a := range d.config.Index().Manifest.Accounts {
				if a.MaxConcurrent == 1 {
					return true
				}
			}
			return false
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	hold := func() bool { // occupies the account's only concurrent request until the test ends
		wg.Go(func() {
			req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+f.daemon.CallerAddress()+"/svc/slow/hold", nil)
			req.Header.Set("Authorization", "Bearer "+testAccountKey)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				resp.Body.Close()
			}
		})
		select {
		case <-f.requestHeld:
			return true
		case <-time.After(time.Second):
			return false
		}
	}
	f.eventually("the account is at its limit", hold)
	for key, want := range first {
		fresh := "new-" + key
		var status int
		var out string
		f.eventually(fresh+" is known to be free", func() bool { // a new owner waits before it reports keys as free
			status, out = f.sendOrder(f.daemon, "orders", fresh, "a")
			return status != 429 || !strings.Contains(out, `"outcome":"unknown"`)
		})
		if status != 429 || !strings.Contains(out, `"outcome":"not_run"`) || f.ledger.Runs(fresh) != 0 {
			t.Fatalf("%s: status %d, %s, want a refusal for load", fresh, status, out)
		}
		for _, d := range []*Daemon{f.daemon, f.second} {
			if status, out = f.sendOrder(d, "orders", key, "a"); status != 200 || out != want || f.ledger.Runs(key) != 1 {
				t.Fatalf("%s: status %d, %s, %d runs, want the stored answer", key, status, out, f.ledger.Runs(key))
			}
		}
		if status, out = f.sendOrder(f.daemon, "orders", key, "b"); status != 422 {
			t.Fatalf("%s with another body: status %d, %s", key, status, out)
		}
	}
}

// Guards against three faults while the table service is down or loses replies: a
// refusal with the outcome not_run although it cannot be read whether the key ran, a
// refused key that can never run, and a run without a durable claim. Also guards
// against claim metrics that are not updated.
func TestClaimDuringStoreOutage(t *testing.T) {
	f := newClaimFixture(t)
	f.platform.SetFault(platformfake.Fault{DropReplies: 1})
	if status, out := f.sendOrder(f.daemon, "orders", "lost-reply", "a"); status != 200 || f.ledger.Runs("lost-reply") != 1 {
		t.Fatalf("lost reply: status %d, %s, %d runs", status, out, f.ledger.Runs("lost-reply"))
	}
	f.platform.SetFault(platformfake.Fault{Down: true})
	status, out := f.sendOrder(f.daemon, "orders", "down", "a")
	if status != 503 || !strings.Contains(out, `"outcome":"unknown"`) || f.ledger.Runs("down") != 0 {
		t.Fatalf("store down: status %d, %s, %d runs", status, out, f.ledger.Runs("down"))
	}
	// The second instance has not read the row of the key that ran before the outage.
	for _, d := range []*Daemon{f.second, f.daemon} {
		if status, out = f.sendOrder(d, "orders", "lost-reply", "a"); strings.Contains(out, "not_run") {
			t.Fatalf("store down, key that ran: status %d, %s", status, out)
		}
	}
	refused := 0
	for _, cause := range []string{"not_known", "not_reached", "not_settled"} {
		if v := metricClaimRefusals.Get(cause); v != nil {
			n, _ := strconv.Atoi(v.String())
			refused += n
		}
	}
	if refused == 0 || metricClaims.Get("granted") == nil || metricClaimRows.Value() == 0 || metricClaimRecords.Value() < metricClaimRows.Value() {
		t.Errorf("metrics: %d refused, answers %v, %v records in %v rows", refused, metricClaims, metricClaimRecords, metricClaimRows)
	}
	f.platform.SetFault(platformfake.Fault{})
	for _, d := range []*Daemon{f.second, f.daemon} {
		f.eventually("the refused key runs", func() bool {
			status, out = f.sendOrder(d, "orders", "down", "a")
			return status != 503 && status != 409
		})
		if status != 200 || f.ledger.Runs("down") != 1 {
			t.Fatalf("after the outage: status %d, %s, %d runs", status, out, f.ledger.Runs("down"))
		}
	}
}

// Guards against a handover after which the successor has not loaded the index.
func TestClaimHandOver(t *testing.T) {
	f := newClaimFixture(t)
	for i := range 32 {
		if status, out := f.sendOrder(f.daemon, "orders", fmt.Sprintf("k%d", i), "a"); status != 200 {
			t.Fatalf("status %d, %s", status, out)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.daemon.claims.warmSuccessors(ctx)
	if left := f.daemon.claims.flush(ctx); left != 0 {
		t.Fatalf("%d ends of attempts are not recorded", left)
	}
	f.daemon.claims.mu.Lock()
	defer f.daemon.claims.mu.Unlock()
	for p := range f.daemon.claims.partitions {
		r := f.second.claims.runner(p)
		r.mu.Lock()
		if !r.owner.Ready() {
			t.Errorf("partition %d is not loaded at the successor", p)
		}
		r.mu.Unlock()
	}
}
