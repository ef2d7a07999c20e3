package daemon

import (
	"expvar"

	"cyclamenhitch/core/claims"
)

// Metrics of claims, leases and the platform's services.
var (
	metricClaims         = expvar.NewMap("cyclamenhitch_claims_total")
	metricClaimRefusals  = expvar.NewMap("cyclamenhitch_claim_refusals_total")
	metricClaimLookups   = expvar.NewMap("cyclamenhitch_claim_lookups_total")
	metricClaimRows      = expvar.NewInt("cyclamenhitch_claim_rows_total")
	metricClaimRecords   = expvar.NewInt("cyclamenhitch_claim_records_total")
	metricObjectsDeleted = expvar.NewInt("cyclamenhitch_claim_objects_deleted_total")
	metricLeases         = expvar.NewMap("cyclamenhitch_leases_held")
	metricBreakers       = expvar.NewMap("cyclamenhitch_store_breaker")
)

// Causes of refusals that are no verdicts of an owner.
const (
	causeEarlierAttemptPending = "not_settled"
	causeOwnerUnreachable      = "not_reached"
)

func init() {
	expvar.Publish("cyclamenhitch_claim_records_per_row", expvar.Func(func() any {
		return float64(metricClaimRecords.Value()) / float64(max(1, metricClaimRows.Value()))
	}))
}

// publishPlatform publishes the leases and breakers of one instance.
func (d *Daemon) publishPlatform() {
	id := string(d.set.Instance)
	metricLeases.Set(id, expvar.Func(func() any { return d.orders.leasesHeld() }))
	metricBreakers.Set(id, expvar.Func(func() any {
		table, objects := d.store.Breakers()
		return map[string]int{
			"table": int(table.State), "objects": int(objects.State),
			"table_running": table.Running, "objects_running": objects.Running,
		}
	}))
}

// countClaim counts the answer to a claim, and the cause of a refusal.
func countClaim(ans claimAnswer) {
	metricClaims.Add(ans.verdict.String(), 1)
	switch {
	case ans.reply == nil:
		metricClaimRefusals.Add(causeOwnerUnreachable, 1)
	case ans.verdict == claims.Refused, ans.verdict == claims.RefusedFree, ans.verdict == claims.Withdrawn:
		metricClaimRefusals.Add(ans.verdict.String(), 1)
	}
}

// countRow counts a row of the log that the table has confirmed.
func countRow(op *claims.Op, rep claims.Reply) {
	if op.Records > 0 && rep.Err == nil {
		metricClaimRows.Add(1)
		metricClaimRecords.Add(int64(op.Records))
	}
}
