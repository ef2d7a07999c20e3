package links

import (
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/fleet"
)

// Tests returns the servers to which a direct connection is to be opened as a test. servers are
// those that the instance knows; others are forgotten. Each test ends with OnDirect and EndTest.
func (t *Tracker) Tests(now time.Time, servers []fleet.ServerID) []fleet.ServerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetOthers(servers)
	var due []fleet.ServerID
	lost, running := 0, 0
	for id, s := range t.servers {
		if s.testing {
			running++
		}
		if !s.reached.IsZero() {
			lost++
		}
		if !s.testing && !s.testAt.IsZero() && !now.Before(s.testAt) {
			due = append(due, id)
		}
	}
	if len(due)+running == 0 && now.Sub(t.tested) >= testInterval {
		if lost > 0 {
			due = t.randomLost(lost)
			if id, ok := t.randomSound(servers); ok && t.cutOff {
				due = append(due, id) // it may be only some servers that are out of reach
			}
		} else if t.isQuiet(now) && len(servers) > 0 {
			due = []fleet.ServerID{servers[rand.IntN(len(servers))]}
		}
		if due != nil {
			t.tested = now
		}
	}
	if id, ok := t.otherServerToTest(now, servers); ok {
		due = append(due, id)
	}
	for _, id := range due {
		s := t.server(id)
		s.testAt, s.testBegan, s.testing = time.Time{}, now, true
	}
	return due
}

// randomLost returns one of n lost servers. The caller holds mu.
func (t *Tracker) randomLost(n int) []fleet.ServerID {
	skip := rand.IntN(n)
	for id, s := range t.servers {
		if s.reached.IsZero() {
			continue
		}
		if skip == 0 {
			return []fleet.ServerID{id}
		}
		skip--
	}
	return nil
}

// otherServerToTest returns another server to test if the only failure in a row so far is recent, or
// the first test takes long. The caller holds mu.
func (t *Tracker) otherServerToTest(now time.Time, servers []fleet.ServerID) (fleet.ServerID, bool) {
	running, slow := 0, 0
	for _, s := range t.servers {
		if s.testing {
			running++
			if now.Sub(s.testBegan) >= slowTest {
				slow++
			}
		}
	}
	failed := len(t.failing) == 1 && now.Sub(t.lastFail) < testInterval
	if len(t.failing)+slow == 0 || len(t.failing) >= minCutServers || running > slow || slow > 1 || slow == 0 && !failed {
		return "", false
	}
	return t.randomSound(servers)
}

// randomSound returns one of the servers of which no failure is known. The caller holds mu.
func (t *Tracker) randomSound(servers []fleet.ServerID) (fleet.ServerID, bool) {
	if len(servers) == 0 {
		return "", false
	}
	first := rand.IntN(len(servers))
	for i := range servers {
		id := servers[(first+i)%len(servers)]
		if t.servers[id] == nil {
			return id, true
		}
	}
	return "", false
}

// isQuiet reports whether it is too long since the last contact with a server. The caller holds mu.
func (t *Tracker) isQuiet(now time.Time) bool {
	last, limit := later(t.heard, t.connected), quietTime
	if t.waiting.After(t.heard) {
		// A bare connect shows no link that carries the response.
		last, limit = t.waiting, waitingQuietTime
	}
	if len(t.failing) >= minCutServers {
		last = later(last, t.lastFail)
	}
	return now.Sub(last) >= limit
}

// forgetOthers forgets servers that the instance no longer knows. The caller holds mu.
func (t *Tracker) forgetOthers(servers []fleet.ServerID) {
	if len(t.servers) == 0 {
		return
	}
	known := make(map[fleet.ServerID]bool, len(servers))
	for _, id := range servers {
		known[id] = true
	}
	for id := range t.servers {
		if !known[id] {
			delete(t.servers, id)
			delete(t.failing, id)
		}
	}
}

// BeginTest begins a test that Tests did not ask for. It reports false if one of the server runs.
func (t *Tracker) BeginTest(now time.Time, id fleet.ServerID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(id)
	if s.testing {
		return false
	}
	s.testAt, s.testBegan, s.testing = time.Time{}, now, true
	return true
}

// EndTest records the end of a test.
func (t *Tracker) EndTest(id fleet.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil {
		s.testing = false
	}
}
