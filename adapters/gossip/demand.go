package gossip

import (
	"math"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
)

func encodeDemand(demand map[fleet.PoolID]pacing.Report) []*gossippb.Demand {
	var out []*gossippb.Demand
	for pool, r := range demand {
		m := &gossippb.Demand{
			Pool: string(pool), Instances: uint32(max(0, r.Instances)),
			Completed: float32(r.Completed), Refused: float32(r.Refused), Busy: float32(r.Busy), Calm: r.Calm,
		}
		for _, f := range r.Flows {
			m.Class = append(m.Class, uint32(max(0, f.Class)))
			m.Account = append(m.Account, f.Account)
			m.Rate = append(m.Rate, float32(f.Rate))
			m.Usual = append(m.Usual, float32(f.Usual))
			m.Accounts = append(m.Accounts, uint32(max(0, f.Accounts)))
		}
		out = append(out, m)
	}
	return out
}

// decodeDemand drops entries that make no sense: a rate that is not a number would spread to
// the shares of all accounts.
func decodeDemand(list []*gossippb.Demand) map[fleet.PoolID]pacing.Report {
	if len(list) == 0 {
		return nil
	}
	out := make(map[fleet.PoolID]pacing.Report, len(list))
	for _, m := range list {
		n := len(m.Class)
		if len(m.Account) != n || len(m.Rate) != n || len(m.Usual) != n || len(m.Accounts) != n || !sound(m.Completed, m.Refused, m.Busy) || !sound(m.Rate...) || !sound(m.Usual...) {
			continue
		}
		r := pacing.Report{Instances: int(m.Instances), Completed: float64(m.Completed), Refused: float64(m.Refused), Busy: float64(m.Busy), Calm: m.Calm}
		for i := range m.Class {
			r.Flows = append(r.Flows, pacing.FlowRate{
				Flow: pacing.Flow{Class: int(m.Class[i]), Account: m.Account[i]},
				Rate: float64(m.Rate[i]), Usual: float64(m.Usual[i]), Accounts: int(m.Accounts[i]),
			})
		}
		out[fleet.PoolID(m.Pool)] = r
	}
	return out
}

func sound(values ...float32) bool {
	for _, v := range values {
		if !(v >= 0 && float64(v) <= math.MaxFloat32) { // also if it is not a number
			return false
		}
	}
	return true
}
