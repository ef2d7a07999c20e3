package model

import (
	"sync"
	"time"
)

// Meter sums the load of the engines of one pool, independently of the router.
// Load is counted in tokens: prompt tokens that are not cached plus tokens to
// generate.
type Meter struct {
	mu           sync.Mutex
	load         map[string]int
	outOfService map[string]time.Time
	ratioMax     float64
	// steadyMax is taken from steadyFrom on.
	steadyMax          float64
	steadyFrom         time.Time
	startsOutOfService int
}

// NewMeter returns a meter without engines.
func NewMeter() *Meter {
	return &Meter{load: map[string]int{}, outOfService: map[string]time.Time{}}
}

// MarkOutOfService marks an engine as out: requests that start at or after from count as
// new work after out, and the engine does not count in the mean.
func (m *Meter) MarkOutOfService(engine string, from time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outOfService[engine] = from
}

// MarkInService marks an engine as in service.
func (m *Meter) MarkInService(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.outOfService, engine)
}

// RatioMax is the largest load of an engine over the mean of the pool, taken at
// each start of a request on an engine that was above the mean: an engine at or
// below the mean may take one request of any size.
func (m *Meter) RatioMax() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ratioMax
}

// SetTransition leaves the time until end out of SteadyRatioMax.
func (m *Meter) SetTransition(end time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steadyFrom = end
}

// SteadyRatioMax is RatioMax without the transitions.
func (m *Meter) SteadyRatioMax() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steadyMax
}

// StartsOutOfService counts the requests that started after out.
func (m *Meter) StartsOutOfService() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startsOutOfService
}

func (m *Meter) register(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load[engine] = 0
}

func (m *Meter) start(engine string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.load[engine]
	m.load[engine] += tokens
	if from, outOfService := m.outOfService[engine]; outOfService {
		if !time.Now().Before(from) {
			m.startsOutOfService++
		}
		return
	}
	total, n := 0, 0
	for e, l := range m.load {
		if _, outOfService := m.outOfService[e]; !outOfService {
			total += l
			n++
		}
	}
	if before*n > total-tokens {
		ratio := float64(m.load[engine]) * float64(n) / float64(total)
		m.ratioMax = max(m.ratioMax, ratio)
		if !time.Now().Before(m.steadyFrom) {
			m.steadyMax = max(m.steadyMax, ratio)
		}
	}
}

func (m *Meter) end(engine string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load[engine] -= tokens
}
