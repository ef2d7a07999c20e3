package daemon

import (
	"expvar"
	"strconv"
	"sync/atomic"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/result"
)

// Metric describes one expvar metric. All names begin with cyclamenhitch_ and
// end in the unit, or in _total for counters.
type Metric struct{ Name, Unit, Meaning string }

// Metrics lists the metrics that /admin/metrics answers, besides those of the
// Go runtime (cmdline, memstats).
var Metrics = []Metric{
	{"cyclamenhitch_requests_total", "requests", "Ended chat and service requests."},
	{"cyclamenhitch_requests_complete_total", "requests", "Requests with a complete answer."},
	{"cyclamenhitch_requests_refused_total", "requests", "Requests refused without running, without those that the caller got wrong."},
	{"cyclamenhitch_requests_failed_total", "requests", "Requests that may have run without a complete answer."},
	{"cyclamenhitch_results_total", "requests, by result code", "Requests that did not end in a complete answer."},
	{"cyclamenhitch_operator_actions_total", "actions, by action", "Actions of operators that were carried out or tried."},
	{"cyclamenhitch_config_version", "version", "Version in force; 0 before the first."},
	{"cyclamenhitch_ready", "0 or 1", "Whether the instance takes new work."},
	{"cyclamenhitch_members", "instances", "Instances that this one knows as live, itself included."},
	{"cyclamenhitch_peer_sent_bytes_total", "bytes", "Bytes of calls and answers sent to other instances."},
	{"cyclamenhitch_peer_received_bytes_total", "bytes", "Bytes of calls and answers received from other instances."},
	{"cyclamenhitch_peer_calls_total", "calls", "Calls made to other instances."},
	{"cyclamenhitch_objective_summaries_total", "summaries", "Summaries of the objectives written to the object store."},
	{"cyclamenhitch_objective_summary_errors_total", "summaries", "Summaries that could not be written."},
}

// The metrics are of the process; instances in one process (tests, the demo)
// share them.
var (
	metricRequests      = expvar.NewInt("cyclamenhitch_requests_total")
	metricComplete      = expvar.NewInt("cyclamenhitch_requests_complete_total")
	metricRefused       = expvar.NewInt("cyclamenhitch_requests_refused_total")
	metricFailed        = expvar.NewInt("cyclamenhitch_requests_failed_total")
	metricResults       = expvar.NewMap("cyclamenhitch_results_total")
	metricActions       = expvar.NewMap("cyclamenhitch_operator_actions_total")
	metricSummaries     = expvar.NewInt("cyclamenhitch_objective_summaries_total")
	metricSummaryErrors = expvar.NewInt("cyclamenhitch_objective_summary_errors_total")
)

// metricsOf is the instance whose gauges are shown: the last one created in
// this process.
var metricsOf atomic.Pointer[Daemon]

func init() {
	gauge := func(name string, value func(*Daemon) int64) {
		expvar.Publish(name, expvar.Func(func() any {
			if d := metricsOf.Load(); d != nil {
				return value(d)
			}
			return 0
		}))
	}
	gauge("cyclamenhitch_config_version", func(d *Daemon) int64 { return int64(d.admin.status().Version) })
	gauge("cyclamenhitch_ready", func(d *Daemon) int64 {
		if d.admin.status().Ready {
			return 1
		}
		return 0
	})
	gauge("cyclamenhitch_members", func(d *Daemon) int64 { return int64(len(d.members.View().Members)) })
	gauge("cyclamenhitch_peer_sent_bytes_total", func(d *Daemon) int64 { return d.traffic.SentBytes.Load() })
	gauge("cyclamenhitch_peer_received_bytes_total", func(d *Daemon) int64 { return d.traffic.ReceivedBytes.Load() })
	gauge("cyclamenhitch_peer_calls_total", func(d *Daemon) int64 { return d.traffic.Calls.Load() })
}

func countRequest(o httpapi.Observation) {
	metricRequests.Add(1)
	switch {
	case o.Code == 0:
		metricComplete.Add(1)
		return
	case o.Code < 2000 || o.Code == result.CallerGone:
	case o.Outcome == result.NotRun:
		metricRefused.Add(1)
	default:
		metricFailed.Add(1)
	}
	metricResults.Add(strconv.Itoa(int(o.Code)), 1)
}
