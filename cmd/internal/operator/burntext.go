package operator

import (
	"fmt"
	"math"
	"slices"
	"text/tabwriter"

	"cyclamenhitch/core/burn"
)

// highestBurnRates returns at most top accounts, ordered by burnRank, highest first.
func highestBurnRates(accounts []burn.Subject, top int) []burn.Subject {
	out := slices.Clone(accounts)
	slices.SortStableFunc(out, func(a, b burn.Subject) int {
		switch x, y := burnRank(a), burnRank(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out[:min(top, len(out))]
}

// burnRank returns the sort key of an account: the sum of the burn rates of its
// objectives over 3 days, plus 1000 for each alert.
func burnRank(s burn.Subject) float64 {
	w := -1.0
	for _, b := range s.Burns {
		if b.Alert != "" {
			w += 1000 // rank accounts with alerts first
		}
		if r := b.Rates[burn.ThreeDays]; r != nil {
			w = max(w, w+*r)
		}
	}
	return w
}

// objectiveText describes an objective with its limit and unit.
func objectiveText(b burn.ObjectiveStatus) string {
	switch b.Objective {
	case "first_token":
		return fmt.Sprintf("first token within %.0f ms, 95 in 100", b.Limit)
	case "between_tokens":
		return fmt.Sprintf("%.0f ms between tokens, 95 in 100", b.Limit)
	case "availability":
		return fmt.Sprintf("%v%% answered whole", b.Limit)
	}
	return fmt.Sprintf("at most %v%% refused", b.Limit)
}

// formatOptional formats *v, or returns "-" if v is nil.
func formatOptional(v *float64, format string) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf(format, *v)
}

func (e *env) printBurn(r *burnReport, top int) {
	fmt.Fprintf(e.out, "%s, %d of %d instances, %d summaries\n", r.At.Format("2006-01-02 15:04:05 UTC"), r.Reached, r.Given, r.Summaries)
	for _, n := range r.Notes {
		fmt.Fprintln(e.out, "note:", n)
	}
	for _, rule := range r.Rules {
		fmt.Fprintln(e.out, "alert", rule)
	}
	for _, s := range r.Pools {
		e.printSubject("pool", s)
	}
	for _, s := range highestBurnRates(r.Accounts, top) {
		e.printSubject("account", s)
	}
	if n := len(r.Accounts) - top; n > 0 {
		fmt.Fprintf(e.out, "\nand %d accounts with lower burn rates; --top shows more\n", n)
	}
	e.printMeasures(r.Measures)
}

func (e *env) printSubject(kind string, s burn.Subject) {
	d := s.Sums[burn.ThreeDays]
	fmt.Fprintf(e.out, "\n%s %s (3d: %.0f complete, %.0f refused, %.0f failed, %.0f caller errors)\n", kind, s.Name, d.Complete, d.Refused, d.Failed, d.CallerError)
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  OBJECTIVE\t5m\t1h\t6h\t3d\tBUDGET LEFT\tALERT")
	for _, b := range s.Burns {
		fmt.Fprintf(w, "  %s", objectiveText(b))
		for _, rate := range b.Rates {
			fmt.Fprintf(w, "\t%s", formatOptional(rate, "%.2f"))
		}
		alert := b.Alert
		if alert == "" {
			alert = "-"
		}
		fmt.Fprintf(w, "\t%s\t%s\n", formatOptional(b.BudgetLeftPercent, "%.0f%%"), alert)
	}
	_ = w.Flush()
	if q := s.FirstToken; q != nil && q.P95[burn.ThreeDays] != nil {
		fmt.Fprintf(e.out, "  3d: first token p50 %s, p95 %s, p99 %s ms; between tokens p95 %s ms\n", formatOptional(q.P50[burn.ThreeDays], "%.0f"),
			formatOptional(q.P95[burn.ThreeDays], "%.0f"), formatOptional(q.P99[burn.ThreeDays], "%.0f"), formatOptional(s.BetweenTokens.P95[burn.ThreeDays], "%.0f"))
	}
	for _, c := range s.Causes {
		fmt.Fprintf(e.out, "  caused by: %s\n", causeText(c))
	}
}

func causeText(c burn.CauseCount) string {
	s := fmt.Sprintf("%d x %s", c.Count, c.Cause.Cause)
	if c.Code != 0 {
		s += fmt.Sprintf(", code %d %s", c.Code, c.Code.Info().Name)
	}
	if c.DataCentre != "" {
		s += ", data centre " + string(c.DataCentre)
	}
	return s
}

// printMeasures prints the last known value and the range of each measure.
func (e *env) printMeasures(list []burn.FleetSample) {
	fmt.Fprintf(e.out, "\nmeasures (%d samples of 10 minutes)\n", len(list))
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "  MEASURE\tLAST\tLOWEST\tHIGHEST")
	for _, m := range measures {
		last, low, high := valueRange(list, m.value)
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\n", m.title, formatOptional(last, "%.3g"), formatOptional(low, "%.3g"), formatOptional(high, "%.3g"))
	}
	_ = w.Flush()
}

// measure describes a fleet-wide measure of the report.
type measure struct {
	title, unit string
	value       func(burn.FleetSample) *float64
}

var measures = []measure{
	{"cache reuse", "share of prompt tokens", func(s burn.FleetSample) *float64 { return s.CacheReuse }},
	{"load skew across engines", "largest load / mean", func(s burn.FleetSample) *float64 { return s.LoadSkew }},
	{"control traffic of an instance", "bytes/s, largest", func(s burn.FleetSample) *float64 { return s.ControlBytesPerSecond }},
	{"service", "share answered whole, smallest", func(s burn.FleetSample) *float64 { return s.CompletedShare }},
	{"service during data centre changes", "share answered whole, smallest", func(s burn.FleetSample) *float64 {
		if !s.DataCentreChanged {
			return nil
		}
		return s.CompletedShare
	}},
}

// valueRange returns the last known, the lowest and the highest value of a measure;
// all are nil if no sample has a value.
func valueRange(list []burn.FleetSample, value func(burn.FleetSample) *float64) (last, low, high *float64) {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, s := range list {
		if v := value(s); v != nil {
			last, lowest, highest = v, min(lowest, *v), max(highest, *v)
			low, high = &lowest, &highest
		}
	}
	return last, low, high
}
