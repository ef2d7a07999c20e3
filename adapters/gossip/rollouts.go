package gossip

import (
	"time"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/rollout"
)

func encodeRollouts(list []rollout.Report) []*gossippb.Rollout {
	var out []*gossippb.Rollout
	for i := range list {
		r := &list[i]
		m := &gossippb.Rollout{
			Pool: string(r.Pool), Order: r.Row, AgeMs: encodeAge(r.Age), PhaseAgeMs: encodeAge(r.PhaseAge), Phase: uint32(r.Phase),
			Bad: r.Bad, Doubtful: r.Doubtful, Reason: r.Reason, DataCentre: string(r.DataCentre),
		}
		for id, c := range r.Cells {
			m.Cell = append(m.Cell, uint32(id))
			m.Answers = append(m.Answers, c.Answers)
			m.Failed = append(m.Failed, c.Failed)
			m.Slow = append(m.Slow, c.Slow)
			m.Lost = append(m.Lost, c.Lost)
		}
		out = append(out, m)
	}
	return out
}

// decodeRollouts leaves out reports with an unknown phase or with counters of unequal number.
func decodeRollouts(list []*gossippb.Rollout) []rollout.Report {
	var out []rollout.Report
	for _, m := range list {
		n := len(m.Cell)
		if len(m.Answers) != n || len(m.Failed) != n || len(m.Slow) != n || len(m.Lost) != n || m.Phase > uint32(rollout.RolledBack) {
			continue
		}
		r := rollout.Report{
			Pool: fleet.PoolID(m.Pool), Row: m.Order, Age: time.Duration(m.AgeMs) * time.Millisecond, PhaseAge: time.Duration(m.PhaseAgeMs) * time.Millisecond,
			Phase: rollout.Phase(m.Phase), Bad: m.Bad, Doubtful: m.Doubtful, Reason: m.Reason, DataCentre: fleet.DataCentreID(m.DataCentre),
		}
		if n > 0 {
			r.Cells = make(rollout.Cells, n)
		}
		for i, id := range m.Cell {
			r.Cells[rollout.CellID(id)] = rollout.Cell{Answers: m.Answers[i], Failed: m.Failed[i], Slow: m.Slow[i], Lost: m.Lost[i]}
		}
		out = append(out, r)
	}
	return out
}
