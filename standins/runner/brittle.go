package runner

import "time"

// Brittle makes a runner limited in room and brittle.
type Brittle struct {
	// Slots is the number of requests that it runs at once; 0 means no limit. Queue is that
	// of requests which wait for a slot.
	Slots, Queue int
	// Limit is the number of refusals within one second that it bears and states; with 0 it
	// is not brittle.
	Limit int
}

// room is the state of a runner that is limited in room, guarded by the lock of the runner.
type room struct {
	Brittle
	running, waiting int
	// started counts the starts of the process; requests of earlier ones hold no slot.
	started  int
	refusals []time.Time
	// most is the greatest number of refusals within one second since SetBrittle.
	most int
}

// roomPollInterval is the time between two looks of a waiting request for a free slot.
const roomPollInterval = time.Millisecond

// SetBrittle limits the room of the runner and sets whether it is brittle.
func (r *Runner) SetBrittle(b Brittle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Brittle, r.room.refusals, r.room.most = b, nil, 0
}

// MostRefused returns the greatest number of refusals within one second since SetBrittle.
func (r *Runner) MostRefused() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.most
}

// takeSlot waits for a slot. leave gives it back; nil means that the request is refused.
func (r *Runner) takeSlot() (leave func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := &r.room
	if m.Slots == 0 {
		return func() {}
	}
	if m.running >= m.Slots && m.waiting >= m.Queue {
		if m.refused(time.Now()) {
			go r.Crash()
		}
		return nil
	}
	started := m.started
	m.waiting++
	for m.running >= m.Slots && m.started == started {
		r.mu.Unlock()
		time.Sleep(roomPollInterval)
		r.mu.Lock()
	}
	if m.started != started {
		return func() {}
	}
	m.waiting--
	m.running++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if m.started == started {
			m.running--
		}
	}
}

// refused records a refusal and reports whether the runner falls over.
func (m *room) refused(now time.Time) bool {
	m.refusals = append(m.refusals, now)
	for now.Sub(m.refusals[0]) >= time.Second {
		m.refusals = m.refusals[1:]
	}
	m.most = max(m.most, len(m.refusals))
	return m.Limit > 0 && len(m.refusals) > m.Limit
}

// restart frees all places when the process ends.
func (m *room) restart() {
	m.started++
	m.running, m.waiting, m.refusals = 0, 0, nil
}
