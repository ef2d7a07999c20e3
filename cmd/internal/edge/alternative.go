package edge

import (
	"time"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/placement"
)

const (
	// maxAlternatives limits the servers that are asked whether they respond before an attempt
	// is ended for one of them. A request has at most that many attempts left.
	maxAlternatives = 2
	// answerTTL is how long an answer shows that a server responds, as long as the result of a
	// probe counts.
	answerTTL = time.Second
)

// HasAlternative implements gateway.Placer. A server that fails is no alternative to one that
// may only be slow, and its failure may be unknown until a request reaches it. So the servers
// that would be next must have answered just now or answer a probe.
func (p *placer) HasAlternative(req *gateway.Request) bool {
	now := time.Now()
	if _, e := p.acceptInStop(now, req); e != nil || !p.crashes.mayRepeat(req) {
		return false
	}
	otherVersion, e := p.versions.filter(req)
	if e != nil {
		return false
	}
	left := req.Deadline.Sub(now)
	ranked, status, choice := p.rank(now, left, req, placementRequest(req), otherVersion)
	p.rollouts.abandon(choice)
	if status != placement.Found || ranked[0].MissesDeadline(left) {
		return false
	}
	for i := range ranked[:min(len(ranked), maxAlternatives)] {
		c := &ranked[i]
		if !c.Suspect && p.versions.mayContinue(req, c.ID) && p.responds(now, c) {
			return true
		}
	}
	return false
}

func (p *placer) responds(now time.Time, c *placement.Candidate) bool {
	if now.Sub(c.AnsweredAt) < answerTTL {
		return true
	}
	known, alive := p.probe(c.ID, c.Address)
	return known && alive
}
