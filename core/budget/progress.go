package budget

import "time"

// Pace is the progress that a body must make while it is received. Without it a body would
// hold its room for as long as its sender likes.
type Pace struct {
	// Bytes must arrive in each Window, or in each Pressed window while others wait for room.
	Bytes           int64
	Window, Pressed time.Duration
}

// Progress measures one body against a Pace. One goroutine owns it.
type Progress struct {
	pace Pace
	// begin is the begin of the window and received what had arrived then, in bytes.
	begin    time.Time
	received int64
}

// NewProgress begins to measure at now.
func NewProgress(p Pace, now time.Time) Progress { return Progress{pace: p, begin: now} }

// Restart begins a new window at now, such as after a time in which nothing was read.
func (p *Progress) Restart(now time.Time, received int64) { p.begin, p.received = now, received }

// IsStalled reports whether too little has arrived at now. received is the payload in bytes
// since the begin, pressed tells whether others wait for room.
func (p *Progress) IsStalled(now time.Time, received int64, pressed bool) bool {
	if received-p.received >= p.pace.Bytes {
		p.Restart(now, received)
		return false
	}
	window := p.pace.Window
	if pressed {
		window = min(window, p.pace.Pressed)
	}
	return now.Sub(p.begin) >= window
}
