package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/retry"
)

// The retry decisions must match the scenarios in testdata/retries.
func TestRetryScenarios(t *testing.T) {
	codes := map[string]result.Code{"ok": 0}
	for _, c := range result.Codes() {
		codes[c.Info().Name] = c
	}
	budgets := retry.NewBudgets()
	datadriven.RunTest(t, "testdata/retries", func(t *testing.T, d *datadriven.TestData) string {
		var servers, percent int
		switch d.Cmd {
		case "budget":
			budgets = retry.NewBudgets()
			d.ScanArgs(t, "percent", &percent)
			budgets.SetPercent("p", percent)
			return ""
		case "send":
			d.ScanArgs(t, "servers", &servers)
			f := &retryFakes{Budgets: budgets, servers: make([]manifest.Server, servers), now: time.Unix(1, 0)}
			for _, o := range strings.Fields(d.Input) {
				f.outcomes = append(f.outcomes, codes[o])
			}
			g := &Gateway{Router: f, Admitter: f, Upstream: f, Claimer: f, Budget: f, Now: func() time.Time { return f.now }}
			req := &Request{Pool: &manifest.Pool{Name: "p"}, Idempotent: d.HasArg("idempotent"), Deadline: f.now.Add(time.Second)}
			if _, err := g.Open(context.Background(), req); err != nil {
				e := result.As(err)
				return fmt.Sprintf("%d sends, %s, %s\n", len(f.sends), e.Code.Info().Name, e.Outcome)
			}
			return fmt.Sprintf("%d sends, answered\n", len(f.sends))
		}
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	})
}
