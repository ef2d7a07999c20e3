package burn

import (
	"slices"
	"time"
)

// SampleInterval is the time between two samples of the measures.
const SampleInterval = 10 * time.Minute

// MaxSamples keeps three days of samples.
const MaxSamples = 432

// Sample is what one instance knows of the fleet's four measures at one time; a
// measure that it does not know is nil.
type Sample struct {
	AtUnix int64 `json:"at_unix"`
	// CacheReuse is the share of prompt tokens found in an engine's cache.
	CacheReuse *float64 `json:"cache_reuse"`
	// LoadSkew is the largest load of an engine over its pool's mean.
	LoadSkew *float64 `json:"load_skew"`
	// ControlBytesPerSecond is the traffic with other instances.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second"`
	// CompletedShare is the share of requests answered whole since the last sample; the
	// caller's own errors do not count.
	CompletedShare *float64 `json:"service"`
	// DataCentresOut is the number of data centres out of service; a change marks
	// the time of a data centre change.
	DataCentresOut int `json:"data_centres_out"`
}

// FleetSample joins the samples of all instances in one interval.
type FleetSample struct {
	AtUnix int64 `json:"at_unix"`
	// CacheReuse is the mean over the instances.
	CacheReuse *float64 `json:"cache_reuse"`
	// LoadSkew and ControlBytesPerSecond are the largest values.
	LoadSkew              *float64 `json:"load_skew"`
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second"`
	// CompletedShare is the smallest share.
	CompletedShare *float64 `json:"service"`
	// DataCentresOut is the largest number; Changed says that it differs from
	// the interval before or between instances.
	DataCentresOut    int  `json:"data_centres_out"`
	DataCentreChanged bool `json:"data_centre_change"`
}

// MergeSamples joins the samples of several instances by interval.
func MergeSamples(samples []Sample) []FleetSample {
	length := int64(SampleInterval / time.Second)
	byTime := map[int64][]Sample{}
	for _, s := range samples {
		t := s.AtUnix / length * length
		byTime[t] = append(byTime[t], s)
	}
	out := []FleetSample{}
	for t, list := range byTime {
		f := FleetSample{AtUnix: t, DataCentresOut: list[0].DataCentresOut}
		reuse, n := 0.0, 0
		for _, s := range list {
			if s.CacheReuse != nil {
				reuse += *s.CacheReuse
				n++
			}
			f.LoadSkew = preferred(f.LoadSkew, s.LoadSkew, func(a, b float64) bool { return a > b })
			f.ControlBytesPerSecond = preferred(f.ControlBytesPerSecond, s.ControlBytesPerSecond, func(a, b float64) bool { return a > b })
			f.CompletedShare = preferred(f.CompletedShare, s.CompletedShare, func(a, b float64) bool { return a < b })
			f.DataCentreChanged = f.DataCentreChanged || s.DataCentresOut != list[0].DataCentresOut
			f.DataCentresOut = max(f.DataCentresOut, s.DataCentresOut)
		}
		if n > 0 {
			mean := reuse / float64(n)
			f.CacheReuse = &mean
		}
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b FleetSample) int { return int(a.AtUnix - b.AtUnix) })
	for i := 1; i < len(out); i++ {
		out[i].DataCentreChanged = out[i].DataCentreChanged || out[i].DataCentresOut != out[i-1].DataCentresOut
	}
	return out
}

func preferred(old, v *float64, better func(a, b float64) bool) *float64 {
	if v == nil || (old != nil && !better(*v, *old)) {
		return old
	}
	return v
}
