// Package liveness decides when a connection to a backend server has gone
// silent. A Watch belongs to one connection and is used by one goroutine; a
// Budget is shared by all connections of an instance and guarded by its owner.
package liveness

import "time"

// Action is what to do with a quiet connection.
type Action int

// Verdicts.
const (
	// Wait keeps reading.
	Wait Action = iota
	// Probe asks the server over a new connection whether it is alive.
	Probe
	// Resume drops the connection and resumes the stream over a new one.
	Resume
	// Drop ends the answer: the connection is silent.
	Drop
	// Expire ends the answer: the deadline of the request has passed.
	Expire
)

const (
	// hardLimitFactor times the silence limit ends a begun stream that cannot be
	// resumed, also when the server answers probes.
	hardLimitFactor = 6
	// maxFailures is how many probes in a row must fail before the connection
	// is dropped: one lost packet delays a connect by a second.
	maxFailures = 2
	// maxProbeIntervalFactor bounds the growth of the time between probes, in multiples of
	// the silence limit.
	maxProbeIntervalFactor = 8
)

// Monitor follows the bytes of one answer.
type Monitor struct {
	silence, probeInterval         time.Duration
	deadline, lastBytes, nextCheck time.Time
	failures                       int
	// BodyStarted says that a byte of the body has arrived. The header does not
	// count: engines may send it before the prefill.
	BodyStarted bool
	// KeepAlive says that the server sends keep-alive comments on this stream.
	KeepAlive bool
	// Suspect says that another connection to the address, opened after this
	// one or at about the same time, has lost its keep-alive comments.
	Suspect bool
	// Resumable says that the stream can be continued after its last event.
	Resumable bool
}

// Start begins the wait for the first byte of the body. A server may be silent during the
// prefill of a long prompt, so only failed probes or the deadline end this wait.
func (w *Monitor) Start(now time.Time, silence time.Duration, deadline time.Time) {
	*w = Monitor{silence: silence, probeInterval: silence, deadline: deadline, lastBytes: now, nextCheck: now.Add(silence)}
}

// OnBytes notes that bytes arrived.
func (w *Monitor) OnBytes(now time.Time) {
	w.lastBytes, w.nextCheck, w.probeInterval = now, now.Add(w.silence), w.silence
	w.failures = 0
}

// NextCheck is when OnQuiet is to be called without bytes before that.
func (w *Monitor) NextCheck() time.Time {
	if w.deadline.Before(w.nextCheck) {
		return w.deadline
	}
	return w.nextCheck
}

// OnIdle decides at a time without bytes since the last call of OnBytes.
func (w *Monitor) OnIdle(now time.Time) Action {
	switch {
	case !now.Before(w.deadline):
		return Expire
	case now.Before(w.nextCheck):
		return Wait
	case w.BodyStarted && now.Sub(w.lastBytes) >= hardLimitFactor*w.silence:
		return w.abandon()
	}
	return Probe
}

// OnProbeResult decides after a probe. Pass known false when no probe was allowed.
func (w *Monitor) OnProbeResult(now time.Time, known, alive bool) Action {
	switch {
	case !known:
		w.nextCheck = now.Add(w.silence)
		return Wait
	case !alive:
		w.failures++
		if w.failures >= maxFailures {
			return w.abandon()
		}
		w.nextCheck = now.Add(w.silence / 2)
		return Wait
	}
	w.failures = 0
	// A live server whose keep-alive comments stopped has lost this connection,
	// and a resumed stream loses nothing when it was only slow. A wait for the
	// first byte shows neither, so it ends only when a connection of the same
	// age was lost.
	if w.Suspect || w.BodyStarted && (w.KeepAlive || w.Resumable) {
		return w.abandon()
	}
	w.probeInterval = min(2*w.probeInterval, maxProbeIntervalFactor*w.silence)
	w.nextCheck = now.Add(w.probeInterval)
	if hard := w.lastBytes.Add(hardLimitFactor * w.silence); w.BodyStarted && hard.Before(w.nextCheck) {
		w.nextCheck = hard
	}
	return Wait
}

func (w *Monitor) abandon() Action {
	if w.BodyStarted && w.Resumable {
		return Resume
	}
	return Drop
}

// ProbeBudget bounds probes. Connections to the same address share a probe.
type ProbeBudget struct {
	// ResultTTL is how long the result of a probe holds for other connections to
	// the same address.
	ResultTTL time.Duration
	// Rate bounds the probes of the instance, in probes a second; as many may
	// be sent at once.
	Rate int

	tokens   float64
	refilled time.Time
	results  map[string]probeResult
}

type probeResult struct {
	at             time.Time
	running, alive bool
}

// maxAddresses bounds the remembered results.
const maxAddresses = 4096

// Acquire says whether to send a probe to the address now. Otherwise known says
// whether a recent result holds, and alive what it was.
func (b *ProbeBudget) Acquire(now time.Time, address string) (send, known, alive bool) {
	if p, ok := b.results[address]; ok && now.Sub(p.at) < b.ResultTTL {
		return false, !p.running, p.alive
	}
	if b.refilled.IsZero() {
		b.tokens = float64(b.Rate)
	} else {
		b.tokens = min(float64(b.Rate), b.tokens+now.Sub(b.refilled).Seconds()*float64(b.Rate))
	}
	b.refilled = now
	if b.tokens < 1 {
		return false, false, false
	}
	b.tokens--
	if b.results == nil || len(b.results) >= maxAddresses {
		b.results = map[string]probeResult{}
	}
	b.results[address] = probeResult{at: now, running: true}
	return true, false, false
}

// Record notes the result of a probe.
func (b *ProbeBudget) Record(now time.Time, address string, alive bool) {
	if b.results == nil {
		b.results = map[string]probeResult{}
	}
	b.results[address] = probeResult{at: now, alive: alive}
}
