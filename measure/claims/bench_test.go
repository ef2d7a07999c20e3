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
		b.Run(fmt.Sprintf("log/claims_per_s=%.0f", rate), func(b *testing.B) { reportLoad(b, func() Load { return Log(seed, rate, 500, simTime(rate)) }) })
	}
	for _, rate := range []float64{1000, 3000, 10000} {
		b.Run(fmt.Sprintf("log_8KB_answers/claims_per_s=%.0f", rate), func(b *testing.B) {
			reportLoad(b, func() Load { return Log(seed, rate, claims.MaxInlineOutcomeBytes, simTime(rate)) })
		})
	}
	for _, rate := range []float64{15, 75, 140, 180, 500} {
		b.Run(fmt.Sprintf("row_for_each_claim/claims_per_s=%.0f", rate), func(b *testing.B) { reportLoad(b, func() Load { return Rows(seed, rate, simTime(rate)) }) })
	}
	b.Run("holder_deaths", benchDeaths)
	b.Run("index", benchIndex)
}

// BenchmarkClaimsRecovery measures the return of the table service to a fleet. The
// bound of the design is what the service carries: 2,300 calls a second.
func BenchmarkClaimsRecovery(b *testing.B) {
	for _, o := range []Outage{
		{Instances: 9, ClaimsPS: 6, Down: time.Minute},
		{Instances: 370, ClaimsPS: 72, Down: time.Minute},
		{Instances: 370, ClaimsPS: 72, Down: time.Minute, Silent: true},
		{Instances: 370, ClaimsPS: 72, Down: 10 * time.Minute},
		{Instances: 370, ClaimsPS: 720, Down: time.Minute},
		{Instances: 4000, ClaimsPS: 720, Down: time.Minute},
		{Instances: 370, ClaimsPS: 72, Down: time.Minute, NoBreaker: true},
		{Instances: 370, ClaimsPS: 72, Down: time.Minute, Silent: true, NoBreaker: true},
	} {
		b.Run(fmt.Sprintf("instances=%d/claims_per_s=%.0f/down=%v/silent=%v/breaker=%v", o.Instances, o.ClaimsPS, o.Down, o.Silent, !o.NoBreaker), func(b *testing.B) {
			const runs = 5 // seeds; the worst is reported
			var w Recovery
			var rate time.Duration
			for b.Loop() {
				w, rate = Recovery{}, 0
				for i := range uint64(runs) {
					r := Recover(seed+i, o)
					rate += r.Rate / runs
					w.Rate, w.LastPartition, w.LastInstance = max(w.Rate, r.Rate), max(w.LastPartition, r.LastPartition), max(w.LastInstance, r.LastInstance)
					w.LastRefusal = max(w.LastRefusal, r.LastRefusal)
					w.DownCalls, w.DownAtOnce = max(w.DownCalls, r.DownCalls), max(w.DownAtOnce, r.DownAtOnce)
					w.BackCalls, w.BackAtOnce = max(w.BackCalls, r.BackCalls), max(w.BackAtOnce, r.BackAtOnce)
				}
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(rate.Seconds(), "rate_again_s_mean")
			b.ReportMetric(w.Rate.Seconds(), "rate_again_s_max")
			b.ReportMetric(w.LastPartition.Seconds(), "last_partition_s_max")
			b.ReportMetric(w.LastRefusal.Seconds(), "last_refusal_s_max")
			b.ReportMetric(w.LastInstance.Seconds(), "last_breaker_s_max")
			b.ReportMetric(float64(w.DownCalls), "down_calls/s_max")
			b.ReportMetric(float64(w.DownAtOnce), "down_at_once_max")
			b.ReportMetric(float64(w.BackCalls), "back_calls/s_max")
			b.ReportMetric(float64(w.BackAtOnce), "back_at_once_max")
			if w.BackCalls > tableRate {
				b.Errorf("%d calls in a second after the return, the service carries %d", w.BackCalls, tableRate)
			}
		})
	}
}

// simTime keeps the number of claims of a run below 150,000.
func simTime(rate float64) time.Duration {
	return time.Duration(min(300, max(12, 150000/rate))) * time.Second
}

func reportLoad(b *testing.B, run func() Load) {
	var r Load
	for b.Loop() {
		r = run()
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(r.Carried, "claims/s")
	b.ReportMetric(r.Refused, "refused/s")
	b.ReportMetric(r.Writes, "writes/s")
	b.ReportMetric(r.Group, "records/row")
	b.ReportMetric(r.WaitP50, "p50_trips")
	b.ReportMetric(r.WaitP99, "p99_trips")
	b.ReportMetric(r.WaitingP50, "p50_waiting_ms")
	b.ReportMetric(r.WaitingP99, "p99_waiting_ms")
}

func benchDeaths(b *testing.B) {
	var d Deaths
	for b.Loop() {
		d = HolderDeaths(seed, 20000)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(d.Requests), "requests")
	b.ReportMetric(float64(d.Died), "deaths")
	b.ReportMetric(float64(d.LogTwice), "log_run_twice")
	b.ReportMetric(float64(d.LogUnknown), "log_unknown")
	b.ReportMetric(float64(d.OutboxTwice), "outbox_run_twice")
	if d.LogTwice > 0 {
		b.Errorf("%d requests ran twice", d.LogTwice)
	}
}

func benchIndex(b *testing.B) {
	var last Takeover
	sizes := []int{50000, 100000, 200000, 400000}
	for b.Loop() {
		var first Takeover
		for i, n := range sizes {
			last = LoadIndex(seed, n)
			if i == 0 {
				first = last
			}
			b.ReportMetric(float64(last.Ops), fmt.Sprintf("calls_%dk", n/1000))
			b.ReportMetric(last.CPU.Seconds()*1000, fmt.Sprintf("cpu_ms_%dk", n/1000))
			b.ReportMetric(last.Bytes/(1<<20), fmt.Sprintf("MB_%dk", n/1000))
		}
		b.ReportMetric((last.Bytes-first.Bytes)/float64(sizes[len(sizes)-1]-sizes[0]), "B/claim")
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(last.Object)/float64(sizes[len(sizes)-1]), "segment_B/claim")
}
