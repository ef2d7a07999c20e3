package main

import (
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"

	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// point is one measured value at one size.
type point struct{ x, y float64 }

// series identifies one metric of one benchmark over a size parameter, such as B/s of
// BenchmarkControl over instances.
type series struct{ bench, param, metric string }

// value is one measured metric of one benchmark.
type value struct {
	name, unit string
	y          float64
}

// fit is the least-squares line of a series.
type fit struct {
	slope, intercept, r2 float64
	points               []point
}

var sizeParam = regexp.MustCompile(`^(.*?)/([a-z_]+)=([0-9.]+)(-\d+)?$`)

// readBench parses a benchmark output and returns the fit of each series and all
// single values. Fits use the median of repeated runs.
func readBench(r io.Reader) (map[series]fit, []value, error) {
	raw := map[series]map[float64][]float64{}
	var all []value
	br := benchfmt.NewReader(r, "bench")
	for br.Scan() {
		res, ok := br.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		name := string(res.Name.Full())
		for _, v := range res.Values {
			y, unit := v.Value, v.Unit
			if v.OrigUnit != "" {
				y, unit = v.OrigValue, v.OrigUnit
			}
			all = append(all, value{name, unit, y})
			m := sizeParam.FindStringSubmatch(name)
			if m == nil {
				continue
			}
			x, err := strconv.ParseFloat(m[3], 64)
			if err != nil {
				return nil, nil, err
			}
			s := series{m[1], m[2], unit}
			if raw[s] == nil {
				raw[s] = map[float64][]float64{}
			}
			raw[s][x] = append(raw[s][x], y)
		}
	}
	fits := map[series]fit{}
	for s, byX := range raw {
		var pts []point
		for x, ys := range byX {
			pts = append(pts, point{x, median(ys)})
		}
		fits[s] = fitLine(pts)
	}
	return fits, all, br.Err()
}

func median(ys []float64) float64 {
	ys = slices.Clone(ys)
	slices.Sort(ys)
	return stat.Quantile(0.5, stat.Empirical, ys, nil)
}

func fitLine(pts []point) fit {
	slices.SortFunc(pts, func(a, b point) int {
		if a.x < b.x {
			return -1
		}
		return 1
	})
	if len(pts) < 2 {
		f := fit{points: pts, r2: math.NaN()}
		if len(pts) == 1 {
			f.intercept = pts[0].y
		}
		return f
	}
	xs, ys := make([]float64, len(pts)), make([]float64, len(pts))
	for i, p := range pts {
		xs[i], ys[i] = p.x, p.y
	}
	alpha, beta := stat.LinearRegression(xs, ys, nil, false)
	return fit{slope: beta, intercept: alpha, r2: stat.RSquared(xs, ys, nil, alpha, beta), points: pts}
}
