// Command regression prints the last recorded score of each site in the journal beside
// the one before it, and fails when a rule broke or a gate failed.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

func main() {
	journal := flag.String("journal", "journal", "folder with the recorded plays")
	flag.Parse()
	if len(flag.Args()) == 0 {
		fmt.Fprintln(os.Stderr, "regression: name the sites to compare")
		os.Exit(2)
	}
	entries, err := readScores(*journal)
	if err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(2)
	}
	ok, err := compare(os.Stdout, entries, flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, "regression:", err)
		os.Exit(2)
	}
	if !ok {
		os.Exit(1)
	}
}

// scoreRecord is a recorded score of one site.
type scoreRecord struct {
	ID   string   `json:"id"`
	At   []string `json:"at"`
	Cmd  string   `json:"cmd"`
	OK   bool     `json:"ok"`
	Site string   `json:"site"`
	// Score is that of the standard days, 0 to 1.
	Score float64 `json:"score"`
	Days  []day   `json:"days"`
	// Args name plays of small twins, whose prices mean nothing, and of a few days.
	Args []string `json:"argv"`
}

type day struct {
	Name string `json:"name"`
	// Worth is the credit less prices, before it is cut at the marks.
	Worth float64 `json:"G"`
	// Rules counts the broken ones by name.
	Rules map[string]int `json:"rules"`
	Gate  bool           `json:"gate"`
}

// readScores returns the whole scores of a journal, oldest first.
func readScores(dir string) ([]scoreRecord, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names) // they begin with the time
	var out []scoreRecord
	for _, name := range names {
		src, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var p scoreRecord
		if err := json.Unmarshal(src, &p); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if p.Cmd == "score" && p.Site != "" && len(p.Days) > 0 && !slices.Contains(p.Args, "--small") && !slices.Contains(p.Args, "--quick") {
			out = append(out, p)
		}
	}
	return out, nil
}

// compare prints the last two plays of each site. It returns false when the last play of
// one broke a rule or failed a gate.
func compare(w io.Writer, records []scoreRecord, sites []string) (bool, error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tworth\tbefore\tbroken\tentry")
	ok := true
	for _, site := range sites {
		var last, before *scoreRecord
		for i := range records {
			if records[i].Site == site {
				last, before = &records[i], last
			}
		}
		if last == nil {
			return false, fmt.Errorf("the journal has no score of %s", site)
		}
		for _, d := range last.Days {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\t%s\n", site, d.Name, d.Worth, before.worth(d.Name), broken(d), last.ID)
			ok = ok && len(d.Rules) == 0 && d.Gate
		}
	}
	return ok, t.Flush()
}

func (p *scoreRecord) worth(name string) string {
	if p != nil {
		for _, d := range p.Days {
			if d.Name == name {
				return fmt.Sprintf("%.3f", d.Worth)
			}
		}
	}
	return "-"
}

func broken(d day) string {
	var names []string
	for name, n := range d.Rules {
		names = append(names, fmt.Sprint(name, " ", n))
	}
	slices.Sort(names)
	if len(names) == 0 && !d.Gate {
		return "gate"
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}
