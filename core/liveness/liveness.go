// Package liveness decides when a connection to a backend server has gone
// silent. A Watch belongs to one connection and is used by one goroutine; a
// Budget is shared by all connections of an instance and guarded by its owner.
package liveness

import "time"

// Verdict is what to do with a quiet connection.
type Verdict int

// Verdicts.
const (
	// Wait keeps reading.
	Wait Verdict = iota
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
	// hardMultiple times the silence limit ends a begun stream that cannot be
	// resumed, also when the server answers probes.
	hardMultiple = 6
	// maxFailures is how many probes in a row must fail before the connection
	// is dropped: one lost packet delays a connect by a second.
	maxFailures = 2
	// maxSpacing bounds the growth of the time between probes, in multiples of
	// the silence limit.
	maxSpacing = 8
)

// Watch follows the bytes of one answer.
type Watch struct {
	silence, spacing     time.Duration
	deadline, last, next time.Time
	failures             int
	// Begun says that a byte of the body has arrived. The header does not
	// count: engines may send it before the prefill.
	Begun bool
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
func (w *Watch) Start(now time.Time, silence time.Duration, deadline time.Time) {
	*w = Watch{silence: silence, spacing: silence, deadline: deadline, last: now, next: now.Add(silence)}
}

// OnBytes notes that bytes arrived.
func (w *Watch) OnBytes(now time.Time) {
	w.last, w.next, w.spacing = now, now.Add(w.silence), w.silence
	w.failures = 0
}

// Next is when OnQuiet is to be called without bytes before that.
func (w *Watch) Next() time.Time {
	if w.deadline.Before(w.next) {
		return w.deadline
	}
	return w.next
}

// OnQuiet decides at a time without bytes since the last call of OnBytes.
func (w *Watch) OnQuiet(now time.Time) Verdict {
	switch {
	case !now.Before(w.deadline):
		return Expire
	case now.Before(w.next):
		return Wait
	case w.Begun && now.Sub(w.last) >= hardMultiple*w.silence:
		return w.giveUp()
	}
	return Probe
}

// OnProbe decides after a probe. Pass known false when no probe was allowed.
func (w *Watch) OnProbe(now time.Time, known, alive bool) Verdict {
	switch {
	case !known:
		w.next = now.Add(w.silence)
		return Wait
	case !alive:
		w.failures++
		if w.failures >= maxFailures {
			return w.giveUp()
		}
		w.next = now.Add(w.silence / 2)
		return Wait
	}
	w.failures = 0
	// A live server whose keep-alive comments stopped has lost this connection,
	// and a resumed stream loses nothing when it was only slow. A wait for the
	// first byte shows neither, so it ends only when a connection of the same
	// age was lost.
	if w.Suspect || w.Begun && (w.KeepAlive || w.Resumable) {
		return w.giveUp()
	}
	w.spacing = min(2*w.spacing, maxSpacing*w.silence)
	w.next = now.Add(w.spacing)
	if hard := w.last.Add(hardMultiple * w.silence); w.Begun && hard.Before(w.next) {
		w.next = hard
	}
	return Wait
}

func (w *Watch) giveUp() Verdict {
	if w.Begun && w.Resumable {
		return Resume
	}
	return Drop
}

// Budget bounds probes. Connections to the same address share a probe.
type Budget struct {
	// Share is how long the result of a probe holds for other connections to
	// the same address.
	Share time.Duration
	// Rate bounds the probes of the instance, in probes a second; as many may
	// be sent at once.
	Rate int

	tokens float64
	filled time.Time
	last   map[string]probed
}

type probed struct {
	at             time.Time
	running, alive bool
}

// maxAddresses bounds the remembered results.
const maxAddresses = 4096

// Ask says whether to send a probe to the address now. Otherwise known says
// whether a recent result holds, and alive what it was.
func (b *Budget) Ask(now time.Time, address string) (send, known, alive bool) {
	if p, ok := b.last[address]; ok && now.Sub(p.at) < b.Share {
		return false, !p.running, p.alive
	}
	if b.filled.IsZero() {
		b.tokens = float64(b.Rate)
	} else {
		b.tokens = min(float64(b.Rate), b.tokens+now.Sub(b.filled).Seconds()*float64(b.Rate))
	}
	b.filled = now
	if b.tokens < 1 {
		return false, false, false
	}
	b.tokens--
	if b.last == nil || len(b.last) >= maxAddresses {
		b.last = map[string]probed{}
	}
	b.last[address] = probed{at: now, running: true}
	return true, false, false
}

// Done notes the result of a probe.
func (b *Budget) Done(now time.Time, address string, alive bool) {
	if b.last == nil {
		b.last = map[string]probed{}
	}
	b.last[address] = probed{at: now, alive: alive}
}
