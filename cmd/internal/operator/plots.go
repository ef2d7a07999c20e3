package operator

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"cyclamenhitch/core/burn"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	// lowestRate is the lower end of the logarithmic axis of burn rates; lower rates
	// are drawn at this value.
	lowestRate = 0.01
)

var palette = []color.Color{
	color.RGBA{0x1f, 0x5f, 0xa8, 0xff},
	color.RGBA{0xb4, 0x5b, 0x12, 0xff},
	color.RGBA{0x2b, 0x7a, 0x3d, 0xff},
	color.RGBA{0x7a, 0x3d, 0x8f, 0xff},
}

var (
	gridColor  = color.RGBA{0xe0, 0xe4, 0xe9, 0xff}
	limitColor = color.RGBA{0xc0, 0x39, 0x2b, 0xff}
)

// plotFont has the same metrics as Arial and Helvetica, so that labels keep their
// size in a browser that falls back to one of these.
const plotFont, plotFontFallback = "font-family:Liberation Sans", "font-family:'Liberation Sans',Arial,Helvetica,sans-serif"

func newPlot(title string) *plot.Plot {
	p := plot.New()
	for _, style := range []*text.Style{
		&p.Title.TextStyle, &p.X.Label.TextStyle, &p.Y.Label.TextStyle,
		&p.X.Tick.Label, &p.Y.Tick.Label, &p.Legend.TextStyle,
	} {
		style.Font.Variant = "Sans"
	}
	p.Title.Text = title
	p.Title.Padding = vg.Points(6)
	p.Legend.TextStyle.Font.Size = vg.Points(9)
	g := plotter.NewGrid()
	g.Vertical.Color, g.Horizontal.Color = gridColor, gridColor
	p.Add(g)
	return p
}

// renderSVG renders the plot as an svg element for embedding in HTML.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", err
	}
	_, body, ok := bytes.Cut(buf.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("rendered plot has no svg element")
	}
	body = bytes.ReplaceAll(body, []byte(plotFont), []byte(plotFontFallback))
	return template.HTML("<svg" + string(body)), nil
}

// addHorizontalLine adds a dashed horizontal line at y from x0 to x1.
func addHorizontalLine(p *plot.Plot, x0, x1, y float64) error {
	return addDashedLine(p, plotter.XYs{{X: x0, Y: y}, {X: x1, Y: y}})
}

func addDashedLine(p *plot.Plot, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Dashes = limitColor, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

// plotRates plots the burn rates of a pool by window.
func plotRates(s burn.Subject) (template.HTML, error) {
	p := newPlot("burn rate by window")
	p.Y.Label.Text = "burn rate"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, logTicks{1}
	p.Y.Min, p.Y.Max = lowestRate, 100
	p.X.Min, p.X.Max = -0.3, burn.NumWindows-0.7
	p.NominalX(burn.WindowNames[:]...)
	for _, factor := range []float64{burn.TicketFactor, burn.PageFactor} {
		if err := addHorizontalLine(p, -0.3, burn.NumWindows-0.7, factor); err != nil {
			return "", err
		}
	}
	for i, b := range s.Burns {
		var points plotter.XYs
		for w, r := range b.Rates {
			if r != nil {
				// The objectives are offset along X, so that equal rates do not overlap.
				points = append(points, plotter.XY{X: float64(w) + 0.06*(float64(i)-1.5), Y: max(*r, lowestRate)})
				p.Y.Max = max(p.Y.Max, *r)
			}
		}
		if len(points) == 0 {
			continue
		}
		l, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", err
		}
		l.Color, dots.Color, dots.Shape = palette[i], palette[i], draw.CircleGlyph{}
		p.Add(l, dots)
		p.Legend.Add(b.Objective, l, dots)
	}
	p.Legend.Top = true
	p.Y.Min = lowestRate
	return renderSVG(p)
}

// logTicks is a plot.Ticker for logarithmic axes. It places ticks at these multiples of
// the powers of ten.
type logTicks []float64

// Ticks implements plot.Ticker.
func (multiples logTicks) Ticks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for e := math.Floor(math.Log10(low)); math.Pow(10, e) <= high; e++ {
		for _, m := range multiples {
			// The factors allow for rounding errors at the ends of the axis.
			if v := m * math.Pow(10, e); v >= low*0.999 && v <= high*1.001 {
				out = append(out, plot.Tick{Value: v, Label: fmt.Sprintf("%.4g", v)})
			}
		}
	}
	return out
}

// plotLatencyDistribution plots the cumulative distribution of a latency histogram,
// with the limit and the target share as dashed lines.
func plotLatencyDistribution(title string, h *hdrhistogram.Histogram, limit float64) (template.HTML, error) {
	if h == nil {
		return "", nil
	}
	p := newPlot(title + ", last 3 days")
	p.X.Label.Text, p.Y.Label.Text = "ms", "% of streams within"
	var points plotter.XYs
	total, seen := float64(h.TotalCount()), int64(0)
	low, high := limit, limit
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		x := max(float64(bar.To), 1)
		points = append(points, plotter.XY{X: x, Y: 100 * float64(seen) / total})
		seen += bar.Count
		points = append(points, plotter.XY{X: x, Y: 100 * float64(seen) / total})
		low, high = min(low, x), max(high, x)
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return "", err
	}
	l.Color, l.Width = palette[0], vg.Points(1.5)
	p.Add(l)
	low, high = low/1.5, high*1.5
	if err := addDashedLine(p, plotter.XYs{{X: limit, Y: 0}, {X: limit, Y: 100}}); err != nil {
		return "", err
	}
	if err := addHorizontalLine(p, low, high, 100*burn.LatencyTarget); err != nil {
		return "", err
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, logTicks{1, 2, 5}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = low, high, 0, 102
	return renderSVG(p)
}

// plotMeasure plots the history of a measure, with gaps where samples or values are
// missing.
func plotMeasure(m measure, list []burn.FleetSample) (template.HTML, error) {
	p := newPlot(m.title)
	p.Y.Label.Text = m.unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 15:04"}
	var segment plotter.XYs
	drawn := false
	flush := func() error {
		if len(segment) == 0 {
			return nil
		}
		l, dots, err := plotter.NewLinePoints(segment)
		if err != nil {
			return err
		}
		l.Color, dots.Color, dots.Shape, dots.Radius = palette[0], palette[0], draw.CircleGlyph{}, vg.Points(1)
		p.Add(l, dots)
		segment, drawn = nil, true
		return nil
	}
	for i, s := range list {
		if i > 0 && s.AtUnix-list[i-1].AtUnix > int64(burn.SampleInterval.Seconds()) {
			if err := flush(); err != nil {
				return "", err
			}
		}
		if v := m.value(s); v != nil {
			segment = append(segment, plotter.XY{X: float64(s.AtUnix), Y: *v})
		} else if err := flush(); err != nil {
			return "", err
		}
	}
	if err := flush(); err != nil || !drawn {
		return "", err
	}
	// The axis of a constant value needs a non-empty range.
	margin := max((p.Y.Max-p.Y.Min)/10, math.Abs(p.Y.Max)/1000, 1e-6)
	p.Y.Min, p.Y.Max = p.Y.Min-margin, p.Y.Max+margin
	if p.X.Max-p.X.Min < 3600 {
		mid := (p.X.Max + p.X.Min) / 2
		p.X.Min, p.X.Max = mid-1800, mid+1800
	}
	return renderSVG(p)
}
