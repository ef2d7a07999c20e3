package storeera

import (
	"cmp"
	"time"
)

const (
	// OperatorTime is the default of Switches.Hold. Operators write their rows again when the
	// store returns; a shorter time would send requests to an evacuated data centre, a longer
	// one only delays a change that nobody wrote in the new era.
	OperatorTime = 10 * time.Second
	// RemovalMemory is how long a removed switch is remembered: two copies in a row that are
	// 8 s older each, and outages of some seconds before each.
	RemovalMemory = time.Minute
	// maxRemoved limits the removed switches that are remembered.
	maxRemoved = 256
)

// Switches holds rows whose presence is an order of the operator, such as the data centres
// that are evacuated. The zero value is empty.
type Switches struct {
	// Hold is how long a switch that the store has lost, or shows again, stays as it was; 0
	// means OperatorTime.
	Hold time.Duration

	on map[string]bool
	// removed is when switches were removed.
	removed map[string]time.Time
	// held are the switches that differ from the store's copy, with the end of that.
	held map[string]time.Time
	// stored is what the store's copy shows.
	stored map[string]bool
}

// Set records a written (on) or removed switch of the current era. It takes effect at once.
func (s *Switches) Set(now time.Time, key string, on bool) {
	s.init()
	delete(s.held, key)
	s.put(now, key, on)
	if on {
		s.stored[key] = true
		return
	}
	delete(s.stored, key)
}

// Replace records a full copy of the rows. If the copy is the first of an era that followed
// another one, switches that were on stay on, and those that were removed stay off, for
// HoldTime.
func (s *Switches) Replace(now time.Time, rows map[string]bool, newEra bool) {
	s.init()
	s.stored = make(map[string]bool, len(rows))
	for key := range rows {
		s.stored[key] = true
	}
	if newEra {
		for key := range s.on {
			if !rows[key] {
				s.held[key] = now.Add(s.HoldTime())
			}
		}
		for key, at := range s.removed {
			if rows[key] && now.Sub(at) < RemovalMemory {
				s.held[key] = now.Add(s.HoldTime())
			}
		}
	}
	for key, until := range s.held {
		if rows[key] == s.on[key] || !until.After(now) {
			delete(s.held, key)
		}
	}
	s.follow(now)
}

// Learn records what a peer has in force, for an instance that has not seen the changes that
// the store has lost: the switches that are on there, and those that it holds off. They are
// held like known ones.
func (s *Switches) Learn(now time.Time, on, heldOff []string) {
	s.init()
	hold := func(key string, on bool) {
		if s.on[key] != on && s.held[key].IsZero() {
			s.put(now, key, on)
			s.held[key] = now.Add(s.HoldTime())
		}
	}
	for _, key := range on {
		hold(key, true)
	}
	for _, key := range heldOff {
		hold(key, false)
	}
}

// HeldOff returns the switches that the store's copy shows and that stay off.
func (s *Switches) HeldOff() []string {
	var out []string
	for key := range s.held {
		if !s.on[key] {
			out = append(out, key)
		}
	}
	return out
}

// Expire ends the holds that are over and reports whether there were any.
func (s *Switches) Expire(now time.Time) bool {
	ended := false
	for key, until := range s.held {
		if !until.After(now) {
			delete(s.held, key)
			ended = true
		}
	}
	if ended {
		s.follow(now)
	}
	return ended
}

// HoldTime returns how long switches are held.
func (s *Switches) HoldTime() time.Duration { return cmp.Or(s.Hold, OperatorTime) }

// On returns the switches in force. The map must not be changed.
func (s *Switches) On() map[string]bool { return s.on }

// Held returns how many switches differ from the store's copy.
func (s *Switches) Held() int { return len(s.held) }

// follow takes over the store's copy for all switches that are not held.
func (s *Switches) follow(now time.Time) {
	for key := range s.stored {
		if s.held[key].IsZero() && !s.on[key] {
			s.put(now, key, true)
		}
	}
	for key := range s.on {
		if s.held[key].IsZero() && !s.stored[key] {
			s.put(now, key, false)
		}
	}
}

// put changes a switch. It copies the set, which readers may hold.
func (s *Switches) put(now time.Time, key string, on bool) {
	if s.on[key] == on {
		return
	}
	next := make(map[string]bool, len(s.on)+1)
	for k := range s.on {
		next[k] = true
	}
	if on {
		next[key] = true
		delete(s.removed, key)
	} else {
		delete(next, key)
		s.removed[key] = now
	}
	s.on = next
	for k, at := range s.removed {
		if now.Sub(at) >= RemovalMemory || len(s.removed) > maxRemoved && k != key {
			delete(s.removed, k)
		}
	}
}

func (s *Switches) init() {
	if s.on == nil {
		s.on, s.removed, s.held, s.stored = map[string]bool{}, map[string]time.Time{}, map[string]time.Time{}, map[string]bool{}
	}
}
