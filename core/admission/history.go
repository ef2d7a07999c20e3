package admission

import "time"

// historyStep and historyLen keep the ledger of the last 4 s, twice the
// expected age of a report.
const (
	historyStep = 250 * time.Millisecond
	historyLen  = 16
)

// history is the load and the number of requests at the end of recent periods.
type history struct {
	period int64 // of the newest point
	points [historyLen]point
}

type point struct {
	load  int64
	count int
}

// record records the state that holds from now on.
func (h *history) record(now time.Time, p point) {
	period := now.UnixNano() / int64(historyStep)
	if period > h.period {
		last := h.points[h.period%historyLen]
		for q := max(h.period+1, period-historyLen+1); q < period; q++ {
			h.points[q%historyLen] = last
		}
		h.period = period
	}
	h.points[h.period%historyLen] = p
}

// at returns the state at the end of the period of t, or the oldest known one.
func (h *history) at(t time.Time) point {
	period := t.UnixNano() / int64(historyStep)
	period = min(max(period, h.period-historyLen+1), h.period)
	return h.points[max(period, 0)%historyLen]
}
