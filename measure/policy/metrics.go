package policy

import "time"

// metrics holds the measurements of one run. They count from the end of the
// warm-up, and the load ratios only in steady state.
type metrics struct {
	from, until       time.Duration // counted period
	admissions        int64
	refused, total    int64
	promptTokens      int64
	hitTokens         int64
	maxAdmissionRatio float64
	maxInstantRatio   float64
	overRampTokens    int64
	outAdmissions     int64 // to a data centre that is out of service
	otherOffered      int64
	otherServed       int64
	surgeOffered      int64
	surgeServed       int64
	recovery          *recovery // of a run with a fault
}

func (m *metrics) counting(w *world) bool { return w.now >= m.from && w.now < m.until }

func (m *metrics) offered(w *world, req *request, ok bool) {
	if m.recovery != nil {
		m.recovery.offered(w, ok)
	}
	if !m.counting(w) {
		return
	}
	tokens := int64(req.prompt + req.output)
	m.total++
	if !ok {
		m.refused++
	}
	if w.chats[req.chat].account == w.surgeAccount {
		m.surgeOffered += tokens
		if ok {
			m.surgeServed += tokens
		}
		return
	}
	m.otherOffered += tokens
	if ok {
		m.otherServed += tokens
	}
}

// admitted records a request whose cost the engine already counts.
func (m *metrics) admitted(w *world, req *request, e *fakeEngine, hit int) {
	if e.dc == w.outDC {
		m.outAdmissions++
	}
	if ramp := w.ramp(e); e.load > ramp {
		m.overRampTokens += min(e.load-ramp, req.cost)
	}
	if m.recovery != nil {
		m.recovery.admitted(w, req, e, hit)
	}
	if !m.counting(w) {
		return
	}
	m.admissions++
	m.promptTokens += int64(req.prompt)
	m.hitTokens += int64(hit)
	// One request is the granularity of the bound: an engine at or below the
	// mean takes one whatever its size.
	if before := float64(e.load - req.cost); before > w.mean(e.pool) {
		m.maxAdmissionRatio = max(m.maxAdmissionRatio, float64(e.load)/w.mean(e.pool))
	}
}

// sampleRatios records the largest ratio of load to pool mean over all engines.
func (m *metrics) sampleRatios(w *world) {
	if !m.counting(w) {
		return
	}
	top := 0.0
	for _, e := range w.engines {
		if w.eligible(e) {
			top = max(top, float64(e.load)/w.mean(e.pool))
		}
	}
	m.maxInstantRatio = max(m.maxInstantRatio, top)
}

func (m *metrics) reuse() float64 { return float64(m.hitTokens) / float64(max(m.promptTokens, 1)) }

func (m *metrics) refusedPct() float64 { return 100 * float64(m.refused) / float64(max(m.total, 1)) }

func (m *metrics) otherShare() float64 {
	return float64(m.otherServed) / float64(max(m.otherOffered, 1))
}
