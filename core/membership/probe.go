package membership

import (
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// candidatesPerTick bounds the probes of instances that are not members yet.
	candidatesPerTick = 4
	// candidateTries drops a candidate that the platform list does not name.
	candidateTries = 3
	// checksPerTick bounds the probes of suspects, so that the loss of a region
	// makes no burst.
	checksPerTick = 4
	maxBackoff    = 30 * time.Second
)

// ringProbe picks the target of this period. All instances derive the same
// offset from the wall clock, so that in agreeing views each instance is probed
// exactly once a period; random choice leaves 1 in e unprobed.
func (m *Detector) ringProbe(now time.Time) *record {
	n := len(m.live)
	if n < 2 {
		return nil
	}
	self, _ := m.position(m.self.ID)
	period := uint64(now.UnixMilli()) / uint64(Period.Milliseconds())
	offset := 1 + int(fleet.Mix(period, 0)%uint64(n-1))
	return m.live[(self+offset)%n]
}

// stepProbe runs the regular probe: direct tries, then indirect ones, then suspicion.
func (m *Detector) stepProbe(now time.Time) {
	if !now.Before(m.nextPeriod) {
		if m.ringNonce != 0 {
			if r := m.records[m.ringTarget]; r != nil && r.State == Alive {
				m.suspect(r, now)
			}
		}
		m.ringNonce, m.ringTries = 0, 0
		m.nextPeriod = m.nextPeriod.Add(Period)
		if m.nextPeriod.Before(now) {
			m.nextPeriod = now.Add(Period)
		}
		if r := m.ringProbe(now); r != nil {
			m.ringTarget, m.ringNonce = r.ID, m.nonce()
			m.probes[m.ringNonce] = probe{r.ID, now}
		}
		m.probeDead(now)
	}
	r := m.records[m.ringTarget]
	if m.ringNonce == 0 || r == nil {
		return
	}
	m.ringTries++
	switch {
	case m.ringTries <= directTries:
		m.send(r.Info.Datagram, m.packet(Probe, m.ringNonce, r.ID, m.ringTries == 1))
	case m.ringTries == directTries+1:
		m.probeIndirect(r)
	}
}

func (m *Detector) probeIndirect(target *record) {
	for _, r := range m.pick(indirectProbes, target.ID) {
		p := m.packet(ProbeRequest, m.ringNonce, r.ID, false)
		p.Target, p.TargetAddress = target.ID, target.Info.Datagram
		m.send(r.Info.Datagram, p)
	}
}

// probeOnce sends a probe outside the regular round.
func (m *Detector) probeOnce(id fleet.InstanceID, addr string, now time.Time) {
	n := m.nonce()
	m.probes[n] = probe{id, now}
	m.send(addr, m.packet(Probe, n, id, false))
}

// probeDead probes one removed instance each period, so that the two sides of a
// healed partition find each other at a constant rate.
func (m *Detector) probeDead(now time.Time) {
	for range m.dead {
		m.deadCursor = (m.deadCursor + 1) % len(m.dead)
		if r := m.dead[m.deadCursor]; r.Info.Datagram != "" {
			m.probeOnce(r.ID, r.Info.Datagram, now)
			return
		}
	}
}

// suspect starts a suspicion after a failed probe of this instance.
func (m *Detector) suspect(r *record, now time.Time) {
	m.stats.Suspected++
	m.setState(r, Suspect, now)
	r.origin = true
	m.enqueue(r)
}

// stepSuspicions tells suspects of the suspicion and removes them when it ends.
// Instances that heard of it from others probe the suspect themselves before
// the end, since the refutation may have been lost on its way to them.
func (m *Detector) stepSuspicions(now time.Time) {
	if m.suspects == 0 {
		return
	}
	budget := checksPerTick
	var removed []*record
	for _, r := range m.live {
		if r.State != Suspect {
			continue
		}
		age := now.Sub(r.since)
		first, step := SuspicionTime/2, SuspicionTime/6
		if r.origin {
			first = 0
		}
		if age >= SuspicionTime {
			removed = append(removed, r)
		} else if budget > 0 && age >= first+time.Duration(r.checks)*step {
			budget--
			r.checks++
			m.probeOnce(r.ID, r.Info.Datagram, now)
		}
	}
	for _, r := range removed {
		m.stats.Removed++
		m.setState(r, Dead, now)
		m.enqueue(r)
	}
}

func (m *Detector) addCandidate(id fleet.InstanceID, info Info, now time.Time, listed bool) {
	c := m.cands[id]
	if c == nil {
		if len(m.cands) >= maxRecords {
			return
		}
		c = &candidate{id: id, next: now}
		m.cands[id] = c
		m.waiting = append(m.waiting, c)
	}
	c.info = info
	c.listed = c.listed || listed
}

// stepCandidates probes instances that are known by name only.
func (m *Detector) stepCandidates(now time.Time) {
	budget := candidatesPerTick
	kept := m.waiting[:0]
	for _, c := range m.waiting {
		if c.tries >= candidateTries && !c.listed && !now.Before(c.next) || m.records[c.id] != nil {
			delete(m.cands, c.id)
			continue
		}
		kept = append(kept, c)
		if budget > 0 && !now.Before(c.next) {
			budget--
			c.next = now.Add(min(maxBackoff, Period<<min(c.tries, 10)))
			c.tries++
			m.probeOnce(c.id, c.info.Datagram, now)
		}
	}
	clear(m.waiting[len(kept):])
	m.waiting = kept
}

const (
	minListInterval = time.Second
	// listRate bounds what reading the list costs an instance, in bytes a
	// second: the list of 370 instances has 110 KB, and each joining instance
	// makes itself known by its own probes.
	listRate = 2048
)

// ListReadInterval is the time until the next read of a list of the size.
func ListReadInterval(size int) time.Duration {
	return max(minListInterval, time.Duration(size)*time.Second/listRate)
}

// ApplyList takes the platform's membership list. The list lags: it only names
// instances to probe and adds the mark leaving. It neither removes a live
// member nor revives a dead one.
func (m *Detector) ApplyList(now time.Time, entries []Member) {
	for _, c := range m.cands {
		c.listed = false
	}
	leaving := map[fleet.InstanceID]bool{}
	for i := range entries {
		e := &entries[i]
		if e.ID == m.self.ID || e.ID == "" {
			continue
		}
		leaving[e.ID] = e.Leaving
		if m.records[e.ID] == nil && e.Datagram != "" && !e.Leaving {
			m.addCandidate(e.ID, Info{e.DataCentre, e.Region, e.Caller, e.Admin, e.Peer, e.Datagram}, now, true)
		}
	}
	for _, r := range m.live {
		if r.listLeaving != leaving[r.ID] {
			r.listLeaving = leaving[r.ID]
			m.dirty = true
		}
	}
}

// expire forgets old dead marks and unanswered probes.
func (m *Detector) expire(now time.Time) {
	kept := m.dead[:0]
	for _, r := range m.dead {
		if now.Sub(r.since) < tombstoneTime {
			kept = append(kept, r)
		} else {
			delete(m.records, r.ID)
		}
	}
	clear(m.dead[len(kept):])
	m.dead = kept
	for n, p := range m.probes {
		if now.Sub(p.at) > time.Second {
			delete(m.probes, n)
		}
	}
	for n, r := range m.relays {
		if now.Sub(r.at) > time.Second {
			delete(m.relays, n)
		}
	}
}
