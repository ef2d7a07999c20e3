package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRecovery measures the time from a fault until the load bound holds
// and refusals are back to the level before it. Today's fleet has one region,
// so it has no run with a region partitioned off.
func BenchmarkRecovery(b *testing.B) {
	for _, p := range []struct {
		fault   Fault
		size    Size
		at, end time.Duration
	}{
		{KillInstance, Today, 150 * time.Second, 300 * time.Second},
		{KillInstance, Target, 80 * time.Second, 105 * time.Second},
		{KillDataCentre, Today, 150 * time.Second, 300 * time.Second},
		{KillDataCentre, Target, 80 * time.Second, 115 * time.Second},
		{CutRegion, Target, 80 * time.Second, 220 * time.Second},
	} {
		b.Run(fmt.Sprintf("fault=%s/size=%s", p.fault, p.size.Name), func(b *testing.B) {
			var c, base *recovery
			for b.Loop() {
				done := make(chan *recovery)
				go func() { done <- recoveryRun(p.size, NoFault, seed, p.at, p.end) }()
				c = recoveryRun(p.size, p.fault, seed, p.at, p.end)
				base = <-done
			}
			end := p.end
			if p.fault == CutRegion {
				end = p.at + regionCutDuration
				r := c.outcome(base, end, p.end)
				b.ReportMetric(max(r.Bound, r.Refusals).Seconds(), "heal_recovery_s")
				b.ReportMetric(r.RefusedPct, "heal_refused_pct")
				b.ReportMetric(r.ReuseLostPct, "heal_reuse_lost_pct")
			}
			reportRecovery(b, c, c.outcome(base, p.at, end), base.outcome(base, p.at, end))
		})
	}
}

func reportRecovery(b *testing.B, c *recovery, r, base Recovery) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(max(r.Bound, r.Refusals).Seconds(), "recovery_s")
	b.ReportMetric(r.Bound.Seconds(), "bound_s")
	b.ReportMetric(r.Refusals.Seconds(), "refusals_s")
	b.ReportMetric(r.OverBound.Seconds(), "over_bound_s")
	b.ReportMetric(max(base.Bound, base.Refusals).Seconds(), "no_fault_s")
	b.ReportMetric(c.readmittedAfter.Seconds(), "admitting_s")
	b.ReportMetric(float64(c.primariesLost), "orphans")
	b.ReportMetric(float64(len(c.unadmitted)), "never_admitting")
	b.ReportMetric(r.RefusedPct, "refused_pct")
	b.ReportMetric(r.ReuseLostPct, "reuse_lost_pct")
	b.ReportMetric(c.ratio, "ratio_max")
	b.ReportMetric(float64(c.brokenStreams), "broken_streams")
}
