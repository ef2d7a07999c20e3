package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenhitch/core/fleet"
)

// LatencyTarget is the share of streams that must meet a time objective.
const LatencyTarget = 0.95

// Objectives are the objectives of one pool, as in the manifest.
type Objectives struct {
	FirstTokenMillis    int     `json:"first_token_ms"`
	BetweenTokensMillis int     `json:"between_tokens_ms"`
	AvailabilityPercent float64 `json:"availability_percent"`
	RefusedPercent      float64 `json:"refused_percent"`
}

// Alert rules. A rule needs two windows above the same factor: the long one
// shows that the loss matters, the short one that it has not stopped.
//
// At a factor of 14.4 a month's budget (30 days) lasts 50 hours, and an hour
// takes 2% of it: somebody must act now. At a factor of 1 the budget is just
// spent at the end; 3 days at it take 10%, which is work for the next day. A
// rule in between (30 minutes with 6 hours at 6) is left out: it would need a
// fifth window for every account, and the slower rule sees the same losses.
const (
	PageFactor   = 14.4
	TicketFactor = 1.0
)

// minBadEvents is how many bad events the long window of a rule needs. Without
// it, one failure among the few requests of a small account would alert.
const minBadEvents = 5

// ObjectiveStatus is the state of one objective of a pool or an account.
type ObjectiveStatus struct {
	// Objective is first_token, between_tokens, availability or refusals.
	Objective string `json:"objective"`
	// Limit is in ms for the two times and in per cent for the other two.
	Limit float64 `json:"limit"`
	// BudgetPercent is the share of events that may be bad.
	BudgetPercent float64 `json:"budget_percent"`
	// Rates, Bad and Total are by window: 5m, 1h, 6h, 3d. A rate is null
	// without events; 1 spends the budget exactly.
	Rates [NumWindows]*float64 `json:"burn_rates"`
	Bad   [NumWindows]float64  `json:"bad"`
	Total [NumWindows]float64  `json:"total"`
	// BudgetLeftPercent is what is left of the budget of the last 3 days; it is
	// negative when more was spent, and null without events.
	BudgetLeftPercent *float64 `json:"budget_left_percent"`
	// Alert is "page", "ticket" or empty.
	Alert string `json:"alert"`
}

// Quantiles are times in ms, by window; null without values.
type Quantiles struct {
	P50 [NumWindows]*float64 `json:"p50_ms"`
	P95 [NumWindows]*float64 `json:"p95_ms"`
	P99 [NumWindows]*float64 `json:"p99_ms"`
}

// Subject is the report of one pool or account.
type Subject struct {
	Name string `json:"name"`
	// Sums are counts of events by window.
	Sums  [NumWindows]Sums  `json:"sums"`
	Burns []ObjectiveStatus `json:"objectives"`
	// Causes are what lost budget in the last 3 to 6 days.
	Causes []CauseCount `json:"causes"`
	// FirstToken and BetweenTokens are null for accounts.
	FirstToken    *Quantiles `json:"first_token"`
	BetweenTokens *Quantiles `json:"between_tokens"`

	// FirstTokenHistogram and BetweenTokensHistogram are the histograms of the longest window, or nil.
	FirstTokenHistogram, BetweenTokensHistogram *hdrhistogram.Histogram `json:"-"`
}

// Sums are estimated numbers of events in a window.
type Sums struct {
	Complete          float64 `json:"complete"`
	Refused           float64 `json:"refused"`
	Failed            float64 `json:"failed"`
	CallerError       float64 `json:"caller_error"`
	Streams           float64 `json:"streams"`
	SlowFirstToken    float64 `json:"slow_first_token"`
	SlowBetweenTokens float64 `json:"slow_between_tokens"`
}

// estimateEvents estimates the events in a window from its two slots.
func estimateEvents(window int, now time.Time, current, previous Counts) [NumCounts]float64 {
	coverage := previousCoverage(window, now)
	var out [NumCounts]float64
	for i := range out {
		out[i] = float64(current[i]) + coverage*float64(previous[i])
	}
	return out
}

func objectiveStatuses(sums [NumWindows][NumCounts]float64, o Objectives) []ObjectiveStatus {
	statuses := []ObjectiveStatus{
		{Objective: "first_token", Limit: float64(o.FirstTokenMillis), BudgetPercent: 100 * (1 - LatencyTarget)},
		{Objective: "between_tokens", Limit: float64(o.BetweenTokensMillis), BudgetPercent: 100 * (1 - LatencyTarget)},
		{Objective: "availability", Limit: o.AvailabilityPercent, BudgetPercent: 100 - o.AvailabilityPercent},
		{Objective: "refusals", Limit: o.RefusedPercent, BudgetPercent: o.RefusedPercent},
	}
	for w, s := range sums {
		statuses[0].Bad[w], statuses[0].Total[w] = s[SlowFirstToken], s[Streams]
		statuses[1].Bad[w], statuses[1].Total[w] = s[SlowBetweenTokens], s[Streams]
		statuses[2].Bad[w], statuses[2].Total[w] = s[Failed], s[Complete]+s[Failed]
		statuses[3].Bad[w], statuses[3].Total[w] = s[Refused], s[Complete]+s[Failed]+s[Refused]
	}
	for i := range statuses {
		statuses[i].evaluate()
	}
	return statuses
}

// evaluate computes rates, the budget left and the alert.
func (b *ObjectiveStatus) evaluate() {
	b.BudgetPercent = roundRate(b.BudgetPercent)
	for w := range b.Rates {
		if b.Total[w] > 0 {
			r := roundRate(100 * b.Bad[w] / b.Total[w] / b.BudgetPercent)
			b.Rates[w] = &r
		}
	}
	if r := b.Rates[ThreeDays]; r != nil {
		left := roundRate(100 * (1 - *r))
		b.BudgetLeftPercent = &left
	}
	switch {
	case b.exceeds(FiveMinutes, Hour, PageFactor):
		b.Alert = "page"
	case b.exceeds(SixHours, ThreeDays, TicketFactor):
		b.Alert = "ticket"
	}
}

func (b *ObjectiveStatus) exceeds(short, long int, factor float64) bool {
	s, l := b.Rates[short], b.Rates[long]
	return s != nil && l != nil && *s >= factor && *l >= factor && b.Bad[long] >= minBadEvents
}

// roundRate drops digits that come from binary fractions.
func roundRate(v float64) float64 { return math.Round(v*1e4) / 1e4 }

func eventSums(s [NumWindows][NumCounts]float64) [NumWindows]Sums {
	var out [NumWindows]Sums
	for w, c := range s {
		out[w] = Sums{c[Complete], c[Refused], c[Failed], c[CallerError], c[Streams], c[SlowFirstToken], c[SlowBetweenTokens]}
	}
	return out
}

// PoolReports returns the report of each pool with events or objectives, by name.
func (r *Recorder) PoolReports(now time.Time, objectives map[fleet.PoolID]Objectives) []Subject {
	out := []Subject{}
	for id, o := range objectives {
		s := r.pool(id).report(now, o)
		s.Name = string(id)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Subject) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (p *pool) report(now time.Time, o Objectives) Subject {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	var sums [NumWindows][NumCounts]float64
	s := Subject{FirstToken: &Quantiles{}, BetweenTokens: &Quantiles{}}
	for w := range p.windows {
		win := &p.windows[w]
		sums[w] = estimateEvents(w, now, win[0].counts, win[1].counts)
		coverage := previousCoverage(w, now)
		first := addWeighted(win[0].firstToken, win[1].firstToken, coverage)
		between := addWeighted(win[0].betweenTokens, win[1].betweenTokens, coverage)
		s.FirstToken.set(w, first)
		s.BetweenTokens.set(w, between)
		if w == ThreeDays {
			s.FirstTokenHistogram, s.BetweenTokensHistogram = first, between
		}
	}
	s.Sums, s.Burns = eventSums(sums), objectiveStatuses(sums, o)
	all := map[Cause]uint64{}
	for _, sl := range p.windows[ThreeDays] {
		for c, n := range sl.causes {
			all[c] += n
		}
	}
	s.Causes = sortedCauses(all)
	return s
}

// addWeighted adds a part of the previous slot's histogram to the current one's.
func addWeighted(current, previous *hdrhistogram.Histogram, weight float64) *hdrhistogram.Histogram {
	out := newHistogram()
	if current != nil {
		out.Merge(current)
	}
	if previous != nil {
		s := previous.Export()
		for i, n := range s.Counts {
			s.Counts[i] = int64(math.Round(weight * float64(n)))
		}
		out.Merge(hdrhistogram.Import(s))
	}
	if out.TotalCount() == 0 {
		return nil
	}
	return out
}

func (q *Quantiles) set(w int, h *hdrhistogram.Histogram) {
	if h == nil {
		return
	}
	at := func(p float64) *float64 {
		v := float64(h.ValueAtPercentile(p))
		return &v
	}
	q.P50[w], q.P95[w], q.P99[w] = at(50), at(95), at(99)
}

// AccountReports returns the report of each account with events, by name. The
// events are judged by the limits of the pool that they used; the budgets are
// the strictest of all pools, because an account may use several.
func (r *Recorder) AccountReports(now time.Time, o Objectives) []Subject {
	out := []Subject{}
	for i := range r.shards {
		out = r.shards[i].reports(now, o, out)
	}
	slices.SortFunc(out, func(a, b Subject) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// StrictestObjectives returns the strictest value of each objective.
func StrictestObjectives(all map[fleet.PoolID]Objectives) Objectives {
	out := Objectives{math.MaxInt, math.MaxInt, 0, 100}
	for _, o := range all {
		out.FirstTokenMillis = min(out.FirstTokenMillis, o.FirstTokenMillis)
		out.BetweenTokensMillis = min(out.BetweenTokensMillis, o.BetweenTokensMillis)
		out.AvailabilityPercent = max(out.AvailabilityPercent, o.AvailabilityPercent)
		out.RefusedPercent = min(out.RefusedPercent, o.RefusedPercent)
	}
	return out
}

func (s *shard) reports(now time.Time, o Objectives, out []Subject) []Subject {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for i, name := range s.names {
		var sums [NumWindows][NumCounts]float64
		for w := range s.windows {
			win := &s.windows[w]
			sums[w] = estimateEvents(w, now, win.current[i].toCounts(), win.previous[i].toCounts())
		}
		all := map[Cause]uint64{}
		for k := range s.causes {
			for _, c := range s.causes[k][uint32(i)] {
				all[s.causesByID[c.id]] += uint64(c.n)
			}
		}
		out = append(out, Subject{Name: string(name), Sums: eventSums(sums), Burns: objectiveStatuses(sums, o), Causes: sortedCauses(all)})
	}
	return out
}
