package operator

import (
	"encoding/xml"
	"io"
	"math"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/burn"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// syntheticReport returns a report over three days and two pools, one of them with
// lost connections.
func syntheticReport() *burnReport {
	at := time.Unix(1_790_000_000, 0).UTC()
	rec := burn.NewRecorder("")
	objectives := map[fleet.PoolID]burn.Objectives{
		"stencil-llm": {FirstTokenMillis: 440, BetweenTokensMillis: 67, AvailabilityPercent: 99.9, RefusedPercent: 1},
		"cutshop-app": {FirstTokenMillis: 440, BetweenTokensMillis: 67, AvailabilityPercent: 99.9, RefusedPercent: 1},
	}
	var samples []burn.Sample
	for m := range 72 * 60 {
		now := at.Add(time.Duration(m-72*60) * time.Minute)
		for i := range 4 {
			e := burn.Event{
				Pool: "stencil-llm", Account: fleet.ClientAccountID([]string{"atelje", "<b>large & co</b>"}[i%2]), DataCentre: "lj-a", Stream: true,
				FirstToken:    time.Duration(180+120*math.Sin(float64(m*4+i))+float64(m%40)*6) * time.Millisecond,
				BetweenTokens: time.Duration(20+m*i%50) * time.Millisecond, FirstTokenLimit: 440 * time.Millisecond, BetweenTokensLimit: 67 * time.Millisecond,
			}
			if m%40 == 0 && i == 1 {
				e.Code, e.Outcome, e.Stream = result.PoolAtBound, result.NotRun, false
			}
			rec.Record(now, &e)
		}
		code := result.Code(0)
		if m > 72*60-50 && m%5 == 0 {
			code = result.ConnectionLost
		}
		rec.Record(now, &burn.Event{Pool: "cutshop-app", Account: "atelje", DataCentre: "kr", Code: code, Outcome: result.Unknown})
		if m%10 == 0 && (m < 2000 || m > 2200) {
			service, control := 1-float64(m%70)/7000, 9000+1500*math.Sin(float64(m)/300)
			out := 0
			if m > 3000 && m < 3100 {
				out = 1
			}
			samples = append(samples, burn.Sample{AtUnix: now.Unix(), CompletedShare: &service, ControlBytesPerSecond: &control, DataCentresOut: out})
		}
	}
	return &burnReport{
		At: at, Windows: burn.WindowNames[:], Given: 3, Reached: 2, NotReached: []string{"10.0.0.3:81"}, Notes: []string{}, Rules: []string{"page: 14.4"},
		Pools: rec.PoolReports(at, objectives), Accounts: rec.AccountReports(at, burn.StrictestObjectives(objectives)), Measures: burn.MergeSamples(samples),
	}
}

var externalReference = regexp.MustCompile(`(?i)<script|<link|<img|<iframe|@import|url\(|\b(src|href)\s*=`)

// Guards against a page that references external resources, that lacks a pool, an
// alert or a plot, or that does not escape names from the manifest.
func TestPage(t *testing.T) {
	page, err := renderPage(syntheticReport(), 20)
	if err != nil {
		t.Fatal(err)
	}
	if path := os.Getenv("BURN_PAGE"); path != "" { // writes the page to a file for manual inspection
		if err := os.WriteFile(path, page, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	s := string(page)
	if m := externalReference.FindString(s); m != "" {
		t.Errorf("page references an external resource: %q", m)
	}
	if n := strings.Count(s, "<svg"); n != 7 {
		t.Errorf("%d plots, want 7: 2 of burn rates, 2 of latencies and 3 of measures with values", n)
	}
	for _, want := range []string{"stencil-llm", "cutshop-app", "&lt;b&gt;large &amp; co", "10.0.0.3:81", `badge page">page</span> pool <b>cutshop-app</b>: 99.9% answered whole`, "3002 connection_lost, data centre kr"} {
		if !strings.Contains(s, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	for _, part := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(s, -1) {
		d := xml.NewDecoder(strings.NewReader(part))
		for {
			if _, err := d.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatalf("plot is not well-formed XML: %v", err)
			}
		}
	}
}
