package model

import (
	"sync"
	"time"
)

// Meter measures the load of the engines of one pool independently of the
// router. Load is counted in tokens: uncached prompt tokens plus tokens to
// generate.
type Meter struct {
	mu           sync.Mutex
	load         map[string]int
	outOfService map[string]time.Time
	ratioMax     float64
	// steadyMax is the maximum ratio since steadyFrom.
	steadyMax          float64
	steadyFrom         time.Time
	startsOutOfService int
}

// NewMeter returns a meter with no engines registered.
func NewMeter() *Meter {
	return &Meter{load: map[string]int{}, outOfService: map[string]time.Time{}}
}

// MarkOutOfService takes an engine out of service. Requests that start on it at or
// after from count in StartsOutOfService, and the engine is excluded from the
// mean load.
func (m *Meter) MarkOutOfService(engine string, from time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.outOfService[engine] = from
}

// MarkInService reverts MarkOutOfService for an engine.
func (m *Meter) MarkInService(engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.outOfService, engine)
}

// RatioMax returns the maximum ratio of an engine's load to the mean load of the
// pool. It is sampled when a request starts on an engine whose load was above the
// mean: an engine at or below the mean may take one request of any size.
func (m *Meter) RatioMax() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ratioMax
}

// SetTransition excludes samples before end from SteadyRatioMax.
func (m *Meter) SetTransition(end time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.steadyFrom = end
}

// SteadyRatioMax returns RatioMax without the samples taken during a transition.
func (m *Meter) SteadyRatioMax() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.steadyMax
}

// StartsOutOfService returns the number of requests that started on engines that
// were out of service.
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
