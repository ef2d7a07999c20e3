package gossip

import (
	"math"
	"reflect"
	"testing"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
)

// Demand must survive the encoding, and rates that are no numbers must be dropped: they would
// spread to the shares of all accounts.
func TestDemandRoundTrip(t *testing.T) {
	good := pacing.Report{Instances: 3, Completed: 250.5, Refused: 2, Busy: 17, Calm: true, Flows: []pacing.FlowRate{
		{Flow: pacing.Flow{Class: 4, Account: 77}, Rate: 12.5, Usual: 3.25}, {Flow: pacing.Flow{Class: 5}, Rate: 1, Usual: 2, Accounts: 9},
	}}
	odd := good
	odd.Flows = []pacing.FlowRate{{Rate: math.NaN()}}
	b, err := Marshal(&Report{Demand: map[fleet.PoolID]pacing.Report{"p": good, "q": odd, "r": {Busy: math.Inf(1)}, "s": {Completed: -1}}, Digest: &Digest{Demand: map[fleet.PoolID]pacing.Report{"p": good}}})
	if err != nil {
		t.Fatal(err)
	}
	r, err := Unmarshal(b)
	want := map[fleet.PoolID]pacing.Report{"p": good}
	if err != nil || !reflect.DeepEqual(r.Demand, want) || !reflect.DeepEqual(r.Digest.Demand, want) {
		t.Fatalf("got %+v and %+v, %v, want %+v", r.Demand, r.Digest.Demand, err, want)
	}
}
