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
	// lowestRate is where the logarithmic axis of burn rates begins; lower rates
	// are drawn there.
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

// plotFont has the widths of Arial and Helvetica, so that labels fit in a browser
// without it.
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

// svg draws the plot as an element that can stand in a page.
func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", err
	}
	_, body, ok := bytes.Cut(buf.Bytes(), []byte("<svg"))
	if !ok {
		return "", fmt.Errorf("the plot has no svg element")
	}
	body = bytes.ReplaceAll(body, []byte(plotFont), []byte(plotFontFallback))
	return template.HTML("<svg" + string(body)), nil
}

// horizontal adds a dashed line at a value.
func horizontal(p *plot.Plot, x0, x1, y float64) error {
	return dashed(p, plotter.XYs{{X: x0, Y: y}, {X: x1, Y: y}})
}

func dashed(p *plot.Plot, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Dashes = limitColor, []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

// plotRates draws the burn rates of a pool over the windows.
func plotRates(s burn.Subject) (template.HTML, error) {
	p := newPlot("burn rate by window")
	p.Y.Label.Text = "burn rate"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, decades{1}
	p.Y.Min, p.Y.Max = lowestRate, 100
	p.X.Min, p.X.Max = -0.3, burn.NumWindows-0.7
	p.NominalX(burn.WindowNames[:]...)
	for _, factor := range []float64{burn.TicketFactor, burn.PageFactor} {
		if err := horizontal(p, -0.3, burn.NumWindows-0.7, factor); err != nil {
			return "", err
		}
	}
	for i, b := range s.Burns {
		var points plotter.XYs
		for w, r := range b.Rates {
			if r != nil {
				// Objectives stand beside each other, so that equal rates do not hide one.
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
	return svg(p)
}

// decades marks these multiples of the powers of ten on a logarithmic axis.
type decades []float64

// Ticks implements plot.Ticker.
func (ds decades) Ticks(low, high float64) []plot.Tick {
	var out []plot.Tick
	for e := math.Floor(math.Log10(low)); math.Pow(10, e) <= high; e++ {
		for _, d := range ds {
			// The factors allow for rounding at the ends of the axis.
			if v := d * math.Pow(10, e); v >= low*0.999 && v <= high*1.001 {
				out = append(out, plot.Tick{Value: v, Label: fmt.Sprintf("%.4g", v)})
			}
		}
	}
	return out
}

// plotTimes draws which share of the streams stays within a time.
func plotTimes(title string, h *hdrhistogram.Histogram, limit float64) (template.HTML, error) {
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
	if err := dashed(p, plotter.XYs{{X: limit, Y: 0}, {X: limit, Y: 100}}); err != nil {
		return "", err
	}
	if err := horizontal(p, low, high, 100*burn.LatencyTarget); err != nil {
		return "", err
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, decades{1, 2, 5}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = low, high, 0, 102
	return svg(p)
}

// plotMeasure draws the history of a measure; times without a value are gaps.
func plotMeasure(m measure, list []burn.FleetSample) (template.HTML, error) {
	p := newPlot(m.title)
	p.Y.Label.Text = m.unit
	p.X.Tick.Marker = plot.TimeTicks{Format: "02 15:04"}
	var part plotter.XYs
	drawn := false
	flush := func() error {
		if len(part) == 0 {
			return nil
		}
		l, dots, err := plotter.NewLinePoints(part)
		if err != nil {
			return err
		}
		l.Color, dots.Color, dots.Shape, dots.Radius = palette[0], palette[0], draw.CircleGlyph{}, vg.Points(1)
		p.Add(l, dots)
		part, drawn = nil, true
		return nil
	}
	for i, s := range list {
		if i > 0 && s.AtUnix-list[i-1].AtUnix > int64(burn.SampleInterval.Seconds()) {
			if err := flush(); err != nil {
				return "", err
			}
		}
		if v := m.get(s); v != nil {
			part = append(part, plotter.XY{X: float64(s.AtUnix), Y: *v})
		} else if err := flush(); err != nil {
			return "", err
		}
	}
	if err := flush(); err != nil || !drawn {
		return "", err
	}
	// A constant value needs a range around it.
	margin := max((p.Y.Max-p.Y.Min)/10, math.Abs(p.Y.Max)/1000, 1e-6)
	p.Y.Min, p.Y.Max = p.Y.Min-margin, p.Y.Max+margin
	if p.X.Max-p.X.Min < 3600 {
		mid := (p.X.Max + p.X.Min) / 2
		p.X.Min, p.X.Max = mid-1800, mid+1800
	}
	return svg(p)
}
