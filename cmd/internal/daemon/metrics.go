package daemon

import (
	"expvar"
	"strconv"

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
	{"cyclamenhitch_ready", "0 or 1, by instance", "Whether the instance takes new work."},
	{"cyclamenhitch_control", "by instance", "Traffic between instances and the view of the fleet; the next rows are its fields."},
	{"cyclamenhitch_control.datagram_sent_bytes", "bytes", "Heartbeat bytes sent."},
	{"cyclamenhitch_control.datagram_received_bytes", "bytes", "Heartbeat bytes received."},
	{"cyclamenhitch_control.datagrams_sent", "datagrams", "Heartbeats sent."},
	{"cyclamenhitch_control.datagrams_received", "datagrams", "Heartbeats received."},
	{"cyclamenhitch_control.datagrams_refused", "datagrams", "Datagrams without a valid signature or form."},
	{"cyclamenhitch_control.peer_sent_bytes", "bytes", "Bytes of calls and answers sent to other instances."},
	{"cyclamenhitch_control.peer_received_bytes", "bytes", "Bytes of calls and answers received from other instances."},
	{"cyclamenhitch_control.peer_calls", "calls", "Calls made to other instances."},
	{"cyclamenhitch_control.members", "instances", "Instances that this one knows as live, itself included."},
	{"cyclamenhitch_control.config_version", "version", "Version in force; 0 before the first."},
	{"cyclamenhitch_control.config_confirmed_age_ms", "ms", "Age of the last confirmation of the version by the table service."},
	{"cyclamenhitch_control.suspected", "instances", "Times that an instance was suspected of having failed."},
	{"cyclamenhitch_control.removed", "instances", "Times that an instance was removed as failed."},
	{"cyclamenhitch_control.refuted", "instances", "Times that a suspicion was refuted."},
	{"cyclamenhitch_control.own_pauses", "pauses", "Times that this instance found that it had been paused."},
	{"cyclamenhitch_claims_total", "claims, by answer", "Claims of requests that are not idempotent: granted; stored, in_progress, unknown, conflict (an earlier call with the key); key_free (refused, not_run); not_known (refused, unknown)."},
	{"cyclamenhitch_claim_refusals_total", "claims, by cause", "Refused claims: key_free (the key is known to be free), not_known (the log was not read), not_reached (no owner gave a clear answer), not_settled (an earlier refused call with the key awaits its record)."},
	{"cyclamenhitch_claim_lookups_total", "lookups, by answer", "Keys looked up for requests that were refused before their claim; failed without an answer."},
	{"cyclamenhitch_claim_rows_total", "rows", "Rows of claims written as their owner, without those whose reply was lost."},
	{"cyclamenhitch_claim_records_total", "records", "Claims and ends of attempts in those rows."},
	{"cyclamenhitch_claim_records_per_row", "records", "Mean number of records in those rows; 0 before the first."},
	{"cyclamenhitch_claim_objects_deleted_total", "objects", "Old segments and outcomes of claims that were deleted."},
	{"cyclamenhitch_leases_held", "leases, by instance", "Pool leases held when they were last renewed or read."},
	{"cyclamenhitch_store_breaker", "by instance", "Breakers of the platform's services; the next rows are its fields."},
	{"cyclamenhitch_store_breaker.table", "0 to 2", "Table service: 0 all calls, 1 fewer at once than the cap after a return, 2 open (probes only)."},
	{"cyclamenhitch_store_breaker.objects", "0 to 2", "The same for the object store."},
	{"cyclamenhitch_store_breaker.table_running", "calls", "Calls to the table service that are running."},
	{"cyclamenhitch_store_breaker.objects_running", "calls", "Calls to the object store that are running."},
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

var metricReady = expvar.NewMap("cyclamenhitch_ready")

// publishReadyMetric publishes the readiness of one instance of the process.
func (d *Daemon) publishReadyMetric() {
	metricReady.Set(string(d.set.Instance), expvar.Func(func() any {
		if d.admin.status().Ready {
			return 1
		}
		return 0
	}))
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
