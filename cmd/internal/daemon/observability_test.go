package daemon

import (
	"encoding/json"
	"expvar"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/result"
)

// Guards against an operator action without an audit line, and against a line
// without the operator, the action, the version or the outcome.
func TestAuditLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	f := newFixtureWithLog(t, zap.New(core))
	f.applyManifest()
	if code, out := f.runOperator("datacentre", "out", "cordon"); code != 0 {
		t.Fatal(out)
	}
	// The command would refuse this itself; the instance must log it as well.
	f.request("POST", f.daemon.AdminAddress(), "/admin/apply?base=0&reason=old", testOperatorKey, f.manifest())
	f.request("GET", f.daemon.AdminAddress(), "/admin/status", "wrong key", "")

	want := []struct {
		reason  string
		version uint64
		code    result.Code
	}{{"apply", 1, 0}, {"data_centre cordon out", 2, 0}, {"old", 0, result.ConfigConflict}}
	lines := logs.FilterMessage("operator action").All()
	if len(lines) != len(want) {
		t.Fatalf("%d audit lines, want %d", len(lines), len(want))
	}
	for i, w := range want {
		m := lines[i].ContextMap()
		if m[logging.FieldOperator] != "ana" || m[logging.FieldAction] != "apply" || m[logging.FieldReason] != w.reason ||
			m[logging.FieldVersion] != w.version || m[logging.FieldCode] != int64(w.code) {
			t.Errorf("line %d is %v, want %v", i, m, w)
		}
	}
	if n := logs.FilterMessage("operator refused").Len(); n != 1 {
		t.Errorf("%d lines about a refused operator, want 1", n)
	}
	for _, l := range logs.All() {
		if b, _ := json.Marshal(l.ContextMap()); strings.Contains(string(b), testOperatorKey) || strings.Contains(string(b), testAccountKey) {
			t.Errorf("a key is in the log: %s", b)
		}
	}
}

// Guards against an instance that is not ready without saying why.
func TestReadyReasons(t *testing.T) {
	f := newFixture(t)
	status, body := f.request("GET", f.daemon.AdminAddress(), "/admin/readyz", "", "")
	if status != 503 || !strings.Contains(body, `"not_ready: `) {
		t.Errorf("before a configuration: status %d, %s", status, body)
	}
	f.applyManifest()
	status, body = f.request("GET", f.daemon.AdminAddress(), "/admin/readyz", "", "")
	if status != 200 || !strings.Contains(body, `"reasons":[]`) {
		t.Errorf("with a configuration: status %d, %s", status, body)
	}
}

// Guards against a metric that is missing in the table, or the reverse.
func TestMetricsTable(t *testing.T) {
	newFixture(t)
	listed := map[string]bool{}
	for _, m := range Metrics {
		listed[m.Name] = true
		name, field, _ := strings.Cut(m.Name, ".")
		if v := expvar.Get(name); v == nil || !strings.Contains(v.String(), field) {
			t.Errorf("%s is listed but not published", m.Name)
		}
	}
	for _, name := range []string{"cmdline", "memstats", "expvarHandlerCalls", "expvarRegexpErrors"} {
		listed[name] = true // of the Go runtime and of fasthttp
	}
	expvar.Do(func(kv expvar.KeyValue) {
		if !listed[kv.Key] {
			t.Errorf("%s is published but not listed", kv.Key)
		}
	})
}
