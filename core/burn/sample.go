package burn

import (
	"slices"
	"time"
)

// SampleInterval is the time between two samples.
const SampleInterval = 10 * time.Minute

// MaxSamples is the number of samples in three days.
const MaxSamples = 432

// Sample holds one instance's values of the four fleet metrics at a point in
// time; a metric that the instance does not know is nil.
type Sample struct {
	AtUnix int64 `json:"at_unix"`
	// CacheReuse is the fraction of prompt tokens found in an engine's cache.
	CacheReuse *float64 `json:"cache_reuse"`
	// LoadSkew is the largest ratio of an engine's load to its pool's mean load.
	LoadSkew *float64 `json:"load_skew"`
	// ControlBytesPerSecond is the rate of traffic with other instances.
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second"`
	// CompletedShare is the fraction of requests with a complete response since the
	// last sample, without caller errors.
	CompletedShare *float64 `json:"service"`
	// DataCentresOut is the number of data centres out of service; reports show its
	// changes as data centre changes.
	DataCentresOut int `json:"data_centres_out"`
}

// FleetSample aggregates the samples of all instances in one interval.
type FleetSample struct {
	AtUnix int64 `json:"at_unix"`
	// CacheReuse is the mean over the instances.
	CacheReuse *float64 `json:"cache_reuse"`
	// LoadSkew and ControlBytesPerSecond are the maximums over the instances.
	LoadSkew              *float64 `json:"load_skew"`
	ControlBytesPerSecond *float64 `json:"control_bytes_per_second"`
	// CompletedShare is the minimum over the instances.
	CompletedShare *float64 `json:"service"`
	// DataCentresOut is the maximum over the instances. DataCentreChanged reports
	// whether it differs between the instances or from the previous interval.
	DataCentresOut    int  `json:"data_centres_out"`
	DataCentreChanged bool `json:"data_centre_change"`
}

// MergeSamples aggregates the samples of several instances by interval, in order
// of time.
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

// preferred returns v if it is known and better than old, and old otherwise.
func preferred(old, v *float64, better func(a, b float64) bool) *float64 {
	if v == nil || (old != nil && !better(*v, *old)) {
		return old
	}
	return v
}
