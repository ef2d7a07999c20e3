package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"cyclamenhitch/cmd/internal/operator"
	"cyclamenhitch/core/burn"
)

// Guards against events that are lost or counted twice when an instance stops
// as planned, crashes after a summary, or is not reached by the report.
func TestBurnReportSurvivesInstances(t *testing.T) {
	f := newFixture(t)
	f.applyManifest()
	others := []*Daemon{f.startInstance("r2"), f.startInstance("r3")}
	all := append([]*Daemon{f.daemon}, others...)
	for _, d := range all {
		f.eventually("members and configuration", func() bool { return len(d.members.View().Members) == 3 && d.config.Index() != nil })
	}
	for i, d := range all {
		for range i + 1 {
			// New admitters refuse at first; refusals are counted apart.
			f.eventually("chat answered", func() bool {
				status, _ := f.request("POST", d.CallerAddress(), "/v1/chat/completions", testAccountKey, fmt.Sprintf(chatRequest, true))
				return status == 200
			})
		}
	}
	f.eventually("6 events counted", func() bool { return f.reportedComplete(all) == 6 })

	// r2 stops as planned: a peer takes its windows.
	others[0].slo.handover(context.Background())
	if !others[0].slo.handedOver.Load() {
		t.Fatal("the windows were not handed over")
	}
	if n := f.reportedComplete(all); n != 6 {
		t.Errorf("%v events while the stopped instance still answers, want 6", n)
	}
	// r3 writes a summary and is then not reached.
	if err := others[1].slo.writeSummary(context.Background()); err != nil {
		t.Fatal(err)
	}
	if n := f.reportedComplete(all[:1]); n != 6 {
		t.Errorf("%v events from one instance and the summaries, want 6", n)
	}
}

// reportedComplete runs the report over the instances and returns the complete answers
// of the pool, which must equal those of the account.
func (f *fixture) reportedComplete(instances []*Daemon) float64 {
	f.t.Helper()
	var out, errOut bytes.Buffer
	args := []string{"report", "burn", "--json", "--html", filepath.Join(f.dir, "page.html"), "--key-file", filepath.Join(f.dir, "operator.key")}
	for _, d := range instances {
		args = append(args, "--instance", d.AdminAddress())
	}
	if code := operator.Main(args, &out, &errOut); code != 0 {
		f.t.Fatalf("report burn: exit code %d: %s%s", code, out.String(), errOut.String())
	}
	var r struct{ Pools, Accounts []burn.Subject }
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		f.t.Fatal(err)
	}
	pool := r.Pools[0].Sums[burn.ThreeDays].Complete
	if len(r.Accounts) > 0 && r.Accounts[0].Sums[burn.ThreeDays].Complete != pool {
		f.t.Errorf("pool has %v complete answers, the account %v", pool, r.Accounts[0].Sums[burn.ThreeDays].Complete)
	}
	return pool
}
