// Command losses prints what cost worth on the days that the users' bench played: one
// column for each day, one row for each cause. The rows of a day add up to 1 minus its
// worth. Several reports of one day, played with different seeds, share a column that
// shows their mean.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// minLoss is the mean loss of worth, on any day, below which a cause is summed up as "other".
const minLoss = 0.002

func main() {
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: losses DAY[.SEED].json... (files written by the bench with --report)")
	}
	flag.Parse()
	if flag.NArg() == 0 {
		flag.Usage()
		os.Exit(2)
	}
	days, err := readDays(flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
	if err := printTable(os.Stdout, days); err != nil {
		fmt.Fprintln(os.Stderr, "losses:", err)
		os.Exit(1)
	}
}

// report is the part of a bench report that this command uses.
type report struct {
	Worth float64 `json:"G"`
	// Parts are the weighted parts of the credit: name, weight, share of the credit earned.
	Parts []part `json:"parts"`
	// Prices are the deductions: name, amount, worth.
	Prices []price        `json:"prices"`
	Breaks map[string]int `json:"breaks"`
}

type part struct {
	name           string
	weight, earned float64
}

// UnmarshalJSON decodes [name, weight, earned].
func (p *part) UnmarshalJSON(src []byte) error {
	return json.Unmarshal(src, &[]any{&p.name, &p.weight, &p.earned})
}

type price struct {
	name          string
	amount, worth float64
}

// UnmarshalJSON decodes [name, amount, worth].
func (p *price) UnmarshalJSON(src []byte) error {
	return json.Unmarshal(src, &[]any{&p.name, &p.amount, &p.worth})
}

// day holds the plays of one day.
type day struct {
	name   string
	plays  int
	worths []float64
	// losses is the mean loss of worth by cause.
	losses map[string]float64
	broken []string
}

// readDays reads the reports and groups them by day, which is the file name up to the
// first dot.
func readDays(files []string) ([]*day, error) {
	var days []*day
	byName := map[string]*day{}
	for _, file := range files {
		src, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r report
		if err := json.Unmarshal(src, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		name, _, _ := strings.Cut(filepath.Base(file), ".")
		d := byName[name]
		if d == nil {
			d = &day{name: name, losses: map[string]float64{}}
			byName[name] = d
			days = append(days, d)
		}
		d.add(&r)
	}
	return days, nil
}

func (d *day) add(r *report) {
	d.worths = append(d.worths, r.Worth)
	d.plays++
	for rule := range r.Breaks {
		d.broken = append(d.broken, rule)
	}
	sum := map[string]float64{}
	for _, p := range r.Parts {
		sum["credit: "+p.name] += p.weight * (1 - p.earned)
	}
	for _, p := range r.Prices {
		sum["price: "+p.name] += p.worth
	}
	for cause := range sum {
		if _, ok := d.losses[cause]; !ok {
			d.losses[cause] = 0
		}
	}
	for cause := range d.losses {
		d.losses[cause] += (sum[cause] - d.losses[cause]) / float64(d.plays)
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// printTable prints the losses of all days, the dearest cause first.
func printTable(w io.Writer, days []*day) error {
	causes, other := rankCauses(days)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name string, value func(*day) string) {
		fmt.Fprint(t, name)
		for _, d := range days {
			fmt.Fprint(t, "\t", value(d))
		}
		fmt.Fprintln(t)
	}
	row("", func(d *day) string { return d.name })
	for _, c := range causes {
		row(c, func(d *day) string { return fmt.Sprintf("%.3f", d.losses[c]) })
	}
	row("other", func(d *day) string {
		sum := 0.0
		for _, c := range other {
			sum += d.losses[c]
		}
		return fmt.Sprintf("%.3f", sum)
	})
	row("worth", func(d *day) string { return fmt.Sprintf("%.3f", mean(d.worths)) })
	row("lowest, highest of plays", func(d *day) string {
		return fmt.Sprintf("%.3f, %.3f of %d", slices.Min(d.worths), slices.Max(d.worths), d.plays)
	})
	row("rules broken", func(d *day) string {
		if len(d.broken) == 0 {
			return "-"
		}
		slices.Sort(d.broken)
		return strings.Join(slices.Compact(d.broken), " ")
	})
	var all []float64
	for _, d := range days {
		all = append(all, mean(d.worths))
	}
	fmt.Fprintf(t, "mean of the days\t%.3f\n", mean(all))
	return t.Flush()
}

// rankCauses returns the causes by their loss over all days, and those that are small on
// every day.
func rankCauses(days []*day) (causes, other []string) {
	total, most := map[string]float64{}, map[string]float64{}
	for _, d := range days {
		for c, loss := range d.losses {
			total[c] += loss
			most[c] = math.Max(most[c], loss)
		}
	}
	for c := range total {
		if most[c] < minLoss {
			other = append(other, c)
		} else {
			causes = append(causes, c)
		}
	}
	slices.SortFunc(causes, func(a, b string) int {
		if total[a] != total[b] {
			return int(math.Copysign(1, total[b]-total[a]))
		}
		return strings.Compare(a, b)
	})
	slices.Sort(other)
	return causes, other
}
