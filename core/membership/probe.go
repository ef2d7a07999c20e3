package membership

import (
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// candidateProbesPerTick limits the probes of instances that are not members yet.
	candidateProbesPerTick = 4
	// candidateAttempts is the number of probes after which a candidate is dropped unless the
	// platform list contains it.
	candidateAttempts = 3
	// suspectProbesPerTick limits the probes of suspects, so that the loss of a region causes
	// no burst.
	suspectProbesPerTick = 4
	maxBackoff           = 30 * time.Second
)

// ringProbe selects the target of this period. All instances derive the same offset from
// the wall clock, so that with equal views each instance is probed exactly once per
// period; random selection would leave 1 in e unprobed.
func (m *Detector) ringProbe(now time.Time) *record {
	n := len(m.live)
	if n < 2 {
		return nil
	}
	self, _ := m.position(m.self.ID)
	period := uint64(now.UnixMilli()) / uint64(ProbePeriod.Milliseconds())
	offset := 1 + int(fleet.Mix(period, 0)%uint64(n-1))
	return m.live[(self+offset)%n]
}

// stepProbe runs the periodic probe: direct attempts, then indirect ones, then suspicion.
func (m *Detector) stepProbe(now time.Time) {
	if !now.Before(m.nextPeriod) {
		if m.ringNonce != 0 {
			if r := m.records[m.ringTarget]; r != nil && r.State == Alive {
				m.suspect(r, now)
			}
		}
		m.ringNonce, m.ringAttempts = 0, 0
		m.nextPeriod = m.nextPeriod.Add(ProbePeriod)
		if m.nextPeriod.Before(now) {
			m.nextPeriod = now.Add(ProbePeriod)
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
	m.ringAttempts++
	switch {
	case m.ringAttempts <= directAttempts:
		m.send(r.Info.Datagram, m.packet(Probe, m.ringNonce, r.ID, m.ringAttempts == 1))
	case m.ringAttempts == directAttempts+1:
		m.probeIndirect(r)
	}
}

func (m *Detector) probeIndirect(target *record) {
	for _, r := range m.randomMembers(indirectProbes, target.ID) {
		p := m.packet(ProbeRequest, m.ringNonce, r.ID, false)
		p.Target, p.TargetAddress = target.ID, target.Info.Datagram
		m.send(r.Info.Datagram, p)
	}
}

// probeOnce sends one probe outside the periodic schedule.
func (m *Detector) probeOnce(id fleet.InstanceID, addr string, now time.Time) {
	n := m.nonce()
	m.probes[n] = probe{id, now}
	m.send(addr, m.packet(Probe, n, id, false))
}

// probeDead probes one dead instance per period, so that the two sides of a healed
// partition rediscover each other at a constant rate.
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
	r.suspectedHere = true
	m.enqueue(r)
}

// stepSuspicions probes suspects, which informs them of the suspicion, and removes them
// when it times out. Instances that learned of the suspicion from others also probe the
// suspect before the timeout, since the refutation may have been lost on its way to them.
func (m *Detector) stepSuspicions(now time.Time) {
	if m.suspectCount == 0 {
		return
	}
	budget := suspectProbesPerTick
	var removed []*record
	for _, r := range m.live {
		if r.State != Suspect {
			continue
		}
		age := now.Sub(r.since)
		first, step := SuspicionTimeout/2, SuspicionTimeout/6
		if r.suspectedHere {
			first = 0
		}
		if age >= SuspicionTimeout {
			removed = append(removed, r)
		} else if budget > 0 && age >= first+time.Duration(r.suspicionProbes)*step {
			budget--
			r.suspicionProbes++
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
	c := m.candidates[id]
	if c == nil {
		if len(m.candidates) >= maxRecords {
			return
		}
		c = &candidate{id: id, next: now}
		m.candidates[id] = c
		m.candidateQueue = append(m.candidateQueue, c)
	}
	c.info = info
	c.listed = c.listed || listed
}

// stepCandidates probes instances that are not members yet, with exponential backoff.
func (m *Detector) stepCandidates(now time.Time) {
	budget := candidateProbesPerTick
	kept := m.candidateQueue[:0]
	for _, c := range m.candidateQueue {
		if c.attempts >= candidateAttempts && !c.listed && !now.Before(c.next) || m.records[c.id] != nil {
			delete(m.candidates, c.id)
			continue
		}
		kept = append(kept, c)
		if budget > 0 && !now.Before(c.next) {
			budget--
			c.next = now.Add(min(maxBackoff, ProbePeriod<<min(c.attempts, 10)))
			c.attempts++
			m.probeOnce(c.id, c.info.Datagram, now)
		}
	}
	clear(m.candidateQueue[len(kept):])
	m.candidateQueue = kept
}

const (
	minListReadInterval = time.Second
	// listBytesPerSecond limits the average read rate of the list. The list of 370
	// instances has 110 KB, and joining instances announce themselves by their own
	// probes.
	listBytesPerSecond = 2048
)

// ListReadInterval returns the time between two reads of a list of the given size in bytes.
func ListReadInterval(size int) time.Duration {
	return max(minListReadInterval, time.Duration(size)*time.Second/listBytesPerSecond)
}

// ApplyList applies the platform's membership list. Since the list is out of date at times,
// it only supplies candidates to probe and the leaving flag; it neither removes a live
// member nor revives a dead one.
func (m *Detector) ApplyList(now time.Time, entries []Member) {
	for _, c := range m.candidates {
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
			m.viewDirty = true
		}
	}
}

// expire deletes old records of dead instances, unanswered probes and relayed probes.
func (m *Detector) expire(now time.Time) {
	kept := m.dead[:0]
	for _, r := range m.dead {
		if now.Sub(r.since) < tombstoneTTL {
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
