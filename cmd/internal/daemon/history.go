package daemon

import (
	"slices"
	"sync"
	"time"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/burn"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// cacheReuseReporter is implemented by a component that knows the share of prompt
// tokens found in an engine's cache; false means that it does not know yet.
type cacheReuseReporter interface{ CacheReuse() (float64, bool) }

// loadSkew is the largest load of an engine that this instance admits to over
// the mean of its pool; false when none of these pools has load.
func (c *admissionComponent) loadSkew() (float64, bool) {
	x := c.d.config.Index()
	if x == nil {
		return 0, false
	}
	now, skew := time.Now(), 0.0
	for i := range x.Manifest.Pools {
		id := x.Manifest.Pools[i].Name
		mean := c.ledger.Mean(now, id)
		if mean <= 0 {
			continue
		}
		for _, e := range c.ledger.Loads(now, id, nil) {
			skew = max(skew, float64(e.Load)/(mean*max(e.Weight, 0.01)))
		}
	}
	return skew, skew > 0
}

// history keeps samples of the measures for three days.
type history struct {
	d *Daemon

	mu              sync.Mutex
	recorded        []burn.Sample
	complete, total uint64
	controlBytes    int64
	intervalStart   time.Time
}

func newHistory(d *Daemon) *history { return &history{d: d, intervalStart: time.Now()} }

// addRequest adds the end of one request; the caller's own errors do not count.
func (h *history) addRequest(o httpapi.Observation) {
	if o.Code == result.CallerGone || (o.Code > 0 && o.Code < 2000) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.total++
	if o.Code == 0 {
		h.complete++
	}
}

// addSample adds a sample and starts the next interval.
func (h *history) addSample(now time.Time) {
	s := burn.Sample{AtUnix: now.Unix()}
	if m, ok := any(h.d.admission).(cacheReuseReporter); ok {
		s.CacheReuse = optional(m.CacheReuse())
	}
	s.LoadSkew = optional(h.d.admission.loadSkew())
	if x := h.d.config.Index(); x != nil {
		for _, dc := range x.Manifest.DataCentres {
			if dc.State == manifest.StateOut {
				s.DataCentresOut++
			}
		}
	}
	datagrams, calls := &h.d.members.traffic, &h.d.traffic
	controlBytes := datagrams.SentBytes.Load() + datagrams.ReceivedBytes.Load() + calls.SentBytes.Load() + calls.ReceivedBytes.Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	if secs := now.Sub(h.intervalStart).Seconds(); secs > 0 {
		s.ControlBytesPerSecond = optional(float64(controlBytes-h.controlBytes)/secs, true)
	}
	s.CompletedShare = optional(float64(h.complete)/float64(max(h.total, 1)), h.total > 0)
	h.complete, h.total, h.controlBytes, h.intervalStart = 0, 0, controlBytes, now
	if len(h.recorded) == burn.MaxSamples {
		h.recorded = h.recorded[1:]
	}
	h.recorded = append(h.recorded, s)
}

func optional(v float64, ok bool) *float64 {
	if !ok {
		return nil
	}
	return &v
}

func (h *history) samples() []burn.Sample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]burn.Sample{}, slices.Clone(h.recorded)...)
}
