package operator

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"

	"cyclamenhitch/core/burn"
)

//go:embed page.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"objective": objectiveText,
	"cause":     causeText,
	"rate":      func(v *float64) string { return formatOptional(v, "%.2f") },
	"percent":   func(v *float64) string { return formatOptional(v, "%.0f%%") },
	"ms":        func(v *float64) string { return formatOptional(v, "%.0f ms") },
	"value":     func(v *float64) string { return formatOptional(v, "%.3g") },
	"count":     func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"rateClass": rateClass,
	"name":      func(w int) string { return burn.WindowNames[w] },
}).Parse(pageSource))

// rateClass returns the CSS class of a burn rate.
func rateClass(v *float64) string {
	switch {
	case v == nil:
		return "none"
	case *v >= burn.PageFactor:
		return "page"
	case *v >= burn.TicketFactor:
		return "ticket"
	}
	return "fine"
}

// pageData is the input of the page template.
type pageData struct {
	*burnReport
	Alerts   []pageAlert
	Pools    []pagePool
	Accounts []burn.Subject
	Hidden   int
	Measures []pageMeasure
	Changes  int
}

type pageAlert struct {
	Kind, Name string
	Burn       burn.ObjectiveStatus
}

type pagePool struct {
	burn.Subject
	Rates, FirstPlot, BetweenPlot template.HTML
}

type pageMeasure struct {
	Title, Unit     string
	Last, Low, High *float64
	Plot            template.HTML
}

// renderPage renders the report as a single HTML page without external resources.
func renderPage(r *burnReport, top int) ([]byte, error) {
	d := pageData{burnReport: r, Accounts: highestBurnRates(r.Accounts, top)}
	d.Hidden = len(r.Accounts) - len(d.Accounts)
	for _, list := range []struct {
		kind     string
		subjects []burn.Subject
	}{{"pool", r.Pools}, {"account", r.Accounts}} {
		for _, s := range list.subjects {
			for _, b := range s.Burns {
				if b.Alert != "" {
					d.Alerts = append(d.Alerts, pageAlert{list.kind, s.Name, b})
				}
			}
		}
	}
	for _, s := range r.Pools {
		p := pagePool{Subject: s}
		var err error
		if p.Rates, err = plotRates(s); err != nil {
			return nil, err
		}
		if p.FirstPlot, err = plotLatencyDistribution("time to the first token", s.FirstTokenHistogram, s.Burns[0].Limit); err != nil {
			return nil, err
		}
		if p.BetweenPlot, err = plotLatencyDistribution("mean time between tokens", s.BetweenTokensHistogram, s.Burns[1].Limit); err != nil {
			return nil, err
		}
		d.Pools = append(d.Pools, p)
	}
	for _, f := range r.Measures {
		if f.DataCentreChanged {
			d.Changes++
		}
	}
	for _, m := range measures {
		p := pageMeasure{Title: m.title, Unit: m.unit}
		p.Last, p.Low, p.High = valueRange(r.Measures, m.value)
		var err error
		if p.Plot, err = plotMeasure(m, r.Measures); err != nil {
			return nil, err
		}
		d.Measures = append(d.Measures, p)
	}
	var buf bytes.Buffer
	err := pageTemplate.Execute(&buf, d)
	return buf.Bytes(), err
}
