// Package liveness detects silent connections to backend servers. A Monitor belongs
// to one connection and is used by one goroutine; a ProbeBudget is shared by all
// connections of an instance and guarded by its owner.
package liveness

import "time"

// Action is how to proceed with an idle connection.
type Action int

const (
	// Wait continues to read.
	Wait Action = iota
	// Probe checks over a new connection whether the server is alive.
	Probe
	// Resume closes the connection and resumes the stream over a new one.
	Resume
	// Drop ends the answer because the connection is silent.
	Drop
	// Expire ends the answer because the deadline of the request has passed.
	Expire
)

const (
	// hardLimitFactor times the silence limit is the idle time after which a started
	// stream that cannot be resumed ends, even if the server answers probes.
	hardLimitFactor = 6
	// maxFailures is the number of consecutive failed probes after which the connection
	// is dropped. A single failure is tolerated because one lost packet delays a connect
	// by a second.
	maxFailures = 2
	// maxProbeIntervalFactor limits the backoff between probes, in multiples of the
	// silence limit.
	maxProbeIntervalFactor = 8
)

// Monitor tracks the arrival of the bytes of one answer.
type Monitor struct {
	silence, probeInterval         time.Duration
	deadline, lastBytes, nextCheck time.Time
	failures                       int
	// BodyStarted tells whether a byte of the body has arrived. The header does not count
	// because engines may send it before the prefill.
	BodyStarted bool
	// KeepAlive tells whether the server sends keep-alive comments on this stream.
	KeepAlive bool
	// Suspect tells whether another connection to the address, opened after this one or
	// at about the same time, has lost its keep-alive comments.
	Suspect bool
	// Resumable tells whether the stream can be resumed after its last event.
	Resumable bool
}

// Start begins the wait for the first byte of the body. A server may be silent during
// the prefill of a long prompt, so only failed probes, a lost connection of the same
// age or the deadline end this wait.
func (w *Monitor) Start(now time.Time, silence time.Duration, deadline time.Time) {
	*w = Monitor{silence: silence, probeInterval: silence, deadline: deadline, lastBytes: now, nextCheck: now.Add(silence)}
}

// OnBytes records the arrival of bytes.
func (w *Monitor) OnBytes(now time.Time) {
	w.lastBytes, w.nextCheck, w.probeInterval = now, now.Add(w.silence), w.silence
	w.failures = 0
}

// LastBytes returns when bytes last arrived.
func (w *Monitor) LastBytes() time.Time { return w.lastBytes }

// NextCheck is the time at which to call OnIdle if no bytes arrive before.
func (w *Monitor) NextCheck() time.Time {
	if w.deadline.Before(w.nextCheck) {
		return w.deadline
	}
	return w.nextCheck
}

// OnIdle returns the action for a time at which no bytes have arrived since the last
// OnBytes.
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

// OnProbeResult returns the action after a probe. known is false if the probe budget
// was exhausted.
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
	// If keep-alive comments stop while the server is alive, the connection is lost.
	// Resuming a stream is safe even if the server was only slow. Neither applies while
	// waiting for the first byte, so that wait ends only if a connection of the same age
	// was lost.
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

// ProbeBudget limits the rate of probes. Connections to the same address share a
// probe.
type ProbeBudget struct {
	// ResultTTL is how long the result of a probe is valid for other connections to the
	// same address.
	ResultTTL time.Duration
	// Rate is the maximum rate of probes of the instance, in probes per second, and also
	// the burst size.
	Rate int

	tokens   float64
	refilled time.Time
	results  map[string]probeResult
}

type probeResult struct {
	at             time.Time
	running, alive bool
}

// maxAddresses limits the number of cached results.
const maxAddresses = 4096

// Acquire reports whether to send a probe to the address now. If not, known tells
// whether a recent result exists, and alive is that result.
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

// Record stores the result of a probe.
func (b *ProbeBudget) Record(now time.Time, address string, alive bool) {
	if b.results == nil {
		b.results = map[string]probeResult{}
	}
	b.results[address] = probeResult{at: now, alive: alive}
}
