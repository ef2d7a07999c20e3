// Command capacity fits lines through benchmark results and rewrites the
// generated tables of the capacity page.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	bench := flag.String("bench", "out/capacity.txt", "output of the benchmarks")
	page := flag.String("page", "docs/CAPACITY.md", "page to rewrite")
	flag.Parse()
	if err := run(*bench, *page); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(bench, page string) error {
	f, err := os.Open(bench)
	if err != nil {
		return err
	}
	defer f.Close()
	fits, all, err := readBench(f)
	if err != nil {
		return err
	}
	src, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	m := &model{fits: fits, all: all}
	for _, block := range []struct {
		name string
		text string
	}{
		{"slopes", m.slopeTable()},
		{"today", m.roleTable(sizes[0])},
		{"target", m.roleTable(sizes[1])},
		{"thousands", m.roleTable(sizes[2])},
		{"platform", m.platformTable()},
	} {
		if src, err = replaceBlock(src, block.name, block.text); err != nil {
			return err
		}
	}
	if len(m.missing) > 0 {
		return fmt.Errorf("the benchmark output lacks %s", strings.Join(m.missing, ", "))
	}
	return os.WriteFile(page, src, 0o644)
}

// replaceBlock replaces the text between the markers of a generated block.
func replaceBlock(src []byte, name, text string) ([]byte, error) {
	begin, end := []byte("<!-- begin "+name+" -->\n"), []byte("<!-- end "+name+" -->")
	i := bytes.Index(src, begin)
	j := bytes.Index(src, end)
	if i < 0 || j < i {
		return nil, fmt.Errorf("page has no block %q", name)
	}
	out := slices.Clone(src[:i+len(begin)])
	out = append(out, text...)
	return append(out, src[j:]...), nil
}

// model gives access to the measured lines and values. It collects what is
// missing, so that no table is written from an incomplete run.
type model struct {
	fits    map[series]fit
	all     []value
	missing []string
}

// value returns the median of the metric over all benchmarks whose names
// contain every part.
func (m *model) value(unit string, parts ...string) float64 {
	var ys []float64
	for _, v := range m.all {
		ok := v.unit == unit
		for _, p := range parts {
			ok = ok && strings.Contains(v.name, p)
		}
		if ok {
			ys = append(ys, v.y)
		}
	}
	if len(ys) == 0 {
		m.addMissing(strings.Join(parts, "…") + " " + unit)
		return 0
	}
	return median(ys)
}

func (m *model) addMissing(what string) {
	if !slices.Contains(m.missing, what) {
		m.missing = append(m.missing, what)
	}
}

// slope and line evaluate the fit of a series.
func (m *model) slope(bench, param, metric string) float64 {
	f, ok := m.fits[series{bench, param, metric}]
	if !ok {
		m.addMissing(bench + "/" + param + " " + metric)
	}
	return f.slope
}

func (m *model) line(bench, param, metric string, x float64) float64 {
	// A fit through noisy points may be below 0 at sizes near 0.
	return max(m.fits[series{bench, param, metric}].intercept+m.slope(bench, param, metric)*x, 0)
}

// slopeTable lists each series that was measured at two or more sizes.
func (m *model) slopeTable() string {
	var keys []series
	for s, f := range m.fits {
		if len(f.points) > 1 && (strings.HasPrefix(s.bench, "Slope") || s.bench == "Control") && s.metric != "ns/op" || s.bench == "SlopeConfig/decode" {
			keys = append(keys, s)
		}
	}
	slices.SortFunc(keys, func(a, b series) int {
		return strings.Compare(a.bench+a.param+a.metric, b.bench+b.param+b.metric)
	})
	var b strings.Builder
	b.WriteString("| benchmark | size | metric | range | at smallest | at largest | slope for each unit of size | intercept | R² |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range keys {
		f := m.fits[s]
		first, last := f.points[0], f.points[len(f.points)-1]
		fmt.Fprintf(&b, "| Benchmark%s | %s | %s | %g to %g | %s | %s | %s | %s | %.3f |\n",
			s.bench, s.param, s.metric, first.x, last.x, formatNumber(first.y), formatNumber(last.y), formatNumber(f.slope), formatNumber(f.intercept), f.r2)
	}
	return b.String()
}

// formatNumber prints three significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.3g", v) }
