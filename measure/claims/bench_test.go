package claims

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/core/claims"
)

const seed = 20261204

// BenchmarkClaims measures the log of claims and its alternatives. The bound of
// the design is the budget of 300 table writes a second.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []float64{15, 75, 180, 250, 500, 1000, 3000, 10000} {
		b.Run(fmt.Sprintf("log/claims_per_s=%.0f", rate), func(b *testing.B) {
			reportLoad(b, func() LoadStats { return SimulateLog(seed, rate, 500, simTime(rate)) })
		})
	}
	for _, rate := range []float64{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("log_8KB_answers/claims_per_s=%.0f", rate), func(b *testing.B) {
			reportLoad(b, func() LoadStats { return SimulateLog(seed, rate, claims.MaxInlineOutcomeBytes, simTime(rate)) })
		})
	}
	for _, rate := range []float64{15, 75, 140, 180, 500} {
		b.Run(fmt.Sprintf("row_for_each_claim/claims_per_s=%.0f", rate), func(b *testing.B) { reportLoad(b, func() LoadStats { return SimulateRows(seed, rate, simTime(rate)) }) })
	}
	b.Run("holder_deaths", benchHolderDeaths)
	b.Run("index", benchIndex)
}

// BenchmarkClaimsRecovery measures the return of the table service to a fleet. The
// bound of the design is what the service carries: 2,300 calls a second.
func BenchmarkClaimsRecovery(b *testing.B) {
	for _, o := range []Outage{
		{Instances: 9, ClaimsPerSecond: 6, Duration: time.Minute},
		{Instances: 370, ClaimsPerSecond: 72, Duration: time.Minute},
		{Instances: 370, ClaimsPerSecond: 72, Duration: time.Minute, Unresponsive: true},
		{Instances: 370, ClaimsPerSecond: 72, Duration: 10 * time.Minute},
		{Instances: 370, ClaimsPerSecond: 720, Duration: time.Minute},
		{Instances: 4000, ClaimsPerSecond: 720, Duration: time.Minute},
		{Instances: 370, ClaimsPerSecond: 72, Duration: time.Minute, NoBreaker: true},
		{Instances: 370, ClaimsPerSecond: 72, Duration: time.Minute, Unresponsive: true, NoBreaker: true},
	} {
		b.Run(fmt.Sprintf("instances=%d/claims_per_s=%.0f/down=%v/silent=%v/breaker=%v", o.Instances, o.ClaimsPerSecond, o.Duration, o.Unresponsive, !o.NoBreaker), func(b *testing.B) {
			const runs = 5 // seeds; the worst is reported
			var w RecoveryStats
			var rate time.Duration
			for b.Loop() {
				w, rate = RecoveryStats{}, 0
				for i := range uint64(runs) {
					r := SimulateOutage(seed+i, o)
					rate += r.RateRestored / runs
					w.RateRestored, w.LastPartition, w.BreakersClosed = max(w.RateRestored, r.RateRestored), max(w.LastPartition, r.LastPartition), max(w.BreakersClosed, r.BreakersClosed)
					w.LastRefusal = max(w.LastRefusal, r.LastRefusal)
					w.OutageCallsPerSecond, w.OutageConcurrent = max(w.OutageCallsPerSecond, r.OutageCallsPerSecond), max(w.OutageConcurrent, r.OutageConcurrent)
					w.RecoveryCallsPerSecond, w.RecoveryConcurrent = max(w.RecoveryCallsPerSecond, r.RecoveryCallsPerSecond), max(w.RecoveryConcurrent, r.RecoveryConcurrent)
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(rate.Seconds(), "rate_again_s_mean")
			b.ReportMetric(w.RateRestored.Seconds(), "rate_again_s_max")
			b.ReportMetric(w.LastPartition.Seconds(), "last_partition_s_max")
			b.ReportMetric(w.LastRefusal.Seconds(), "last_refusal_s_max")
			b.ReportMetric(w.BreakersClosed.Seconds(), "last_breaker_s_max")
			b.ReportMetric(float64(w.OutageCallsPerSecond), "down_calls/s_max")
			b.ReportMetric(float64(w.OutageConcurrent), "down_at_once_max")
			b.ReportMetric(float64(w.RecoveryCallsPerSecond), "back_calls/s_max")
			b.ReportMetric(float64(w.RecoveryConcurrent), "back_at_once_max")
			if w.RecoveryCallsPerSecond > tableCallsPerSecond {
				b.Errorf("%d calls in a second after the return, the service carries %d", w.RecoveryCallsPerSecond, tableCallsPerSecond)
			}
		})
	}
}

// simTime keeps the number of claims of a run below 150,000.
func simTime(rate float64) time.Duration {
	return time.Duration(min(300, max(12, 150000/rate))) * time.Second
}

func reportLoad(b *testing.B, run func() LoadStats) {
	var r LoadStats
	for b.Loop() {
		r = run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.Granted, "claims/s")
	b.ReportMetric(r.Refused, "refused/s")
	b.ReportMetric(r.Writes, "writes/s")
	b.ReportMetric(r.RecordsPerRow, "records/row")
	b.ReportMetric(r.WaitP50, "p50_trips")
	b.ReportMetric(r.WaitP99, "p99_trips")
	b.ReportMetric(r.ExtraWaitP50Ms, "p50_waiting_ms")
	b.ReportMetric(r.ExtraWaitP99Ms, "p99_waiting_ms")
}

func benchHolderDeaths(b *testing.B) {
	var d HolderDeathStats
	for b.Loop() {
		d = SimulateHolderDeaths(seed, 20000)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(d.Requests), "requests")
	b.ReportMetric(float64(d.Died), "deaths")
	b.ReportMetric(float64(d.LogDuplicates), "log_run_twice")
	b.ReportMetric(float64(d.LogUnknown), "log_unknown")
	b.ReportMetric(float64(d.OutboxDuplicates), "outbox_run_twice")
	if d.LogDuplicates > 0 {
		b.Errorf("%d requests ran twice", d.LogDuplicates)
	}
}

func benchIndex(b *testing.B) {
	var last IndexLoadCost
	sizes := []int{50000, 100000, 200000, 400000}
	for b.Loop() {
		var first IndexLoadCost
		for i, n := range sizes {
			last = LoadIndex(seed, n)
			if i == 0 {
				first = last
			}
			b.ReportMetric(float64(last.StoreCalls), fmt.Sprintf("calls_%dk", n/1000))
			b.ReportMetric(last.CPU.Seconds()*1000, fmt.Sprintf("cpu_ms_%dk", n/1000))
			b.ReportMetric(last.HeapBytes/(1<<20), fmt.Sprintf("MB_%dk", n/1000))
		}
		b.ReportMetric((last.HeapBytes-first.HeapBytes)/float64(sizes[len(sizes)-1]-sizes[0]), "B/claim")
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(last.SegmentBytes)/float64(sizes[len(sizes)-1]), "segment_B/claim")
}
