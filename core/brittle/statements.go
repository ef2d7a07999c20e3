package brittle

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// MemoryTime is how long a server counts as brittle after it last said so, if it has not
	// answered since.
	MemoryTime = 5 * time.Second
	// maxLimit bounds the refusals per second that a server states.
	maxLimit = math.MaxInt32
)

// ParseLimit parses the number of refusals per second that a server states. It returns 0 for
// what is no positive whole number; such a server is not taken for brittle. valid is false
// unless the value is empty or a whole number that is not negative.
func ParseLimit(v string) (limit int, valid bool) {
	v = strings.TrimSpace(v)
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 0 || n > maxLimit {
		return 0, false
	}
	return int(n), true
}

// statement is what a server last said.
type statement struct {
	limit int // 0 means that it is not brittle
	at    time.Time
}

// Statements are what is known on which servers of a pool are brittle: from their own answers
// to this instance and, for servers that have not answered it lately, from what peers heard of
// any server of the pool.
type Statements struct {
	heard      map[fleet.ServerID]statement
	peersLimit int
	peersUntil time.Time
}

// Hear records an answer of a server; limit is 0 if the answer does not say that the server is
// brittle.
func (p *Statements) Hear(now time.Time, server fleet.ServerID, limit int) {
	if p.heard == nil {
		p.heard = map[fleet.ServerID]statement{}
	}
	p.heard[server] = statement{limit, now}
}

// HearPeer records that a peer heard of a brittle server of the pool and counts it as such for
// the remaining time. The time only falls on its way, so that reports that return end.
func (p *Statements) HearPeer(now time.Time, limit int, remaining time.Duration) {
	until := now.Add(min(remaining, MemoryTime))
	if limit <= 0 || remaining <= 0 {
		return
	}
	if !now.Before(p.peersUntil) || limit < p.peersLimit {
		p.peersLimit = limit
	}
	if until.After(p.peersUntil) {
		p.peersUntil = until
	}
}

// Limit returns the refusals per second that a server bears, 0 if it is not brittle. known is
// the limit that Known returned, which applies to servers that have not answered lately.
func (p *Statements) Limit(now time.Time, server fleet.ServerID, known int) int {
	if s, ok := p.heard[server]; ok && now.Sub(s.at) < MemoryTime {
		return s.limit
	}
	return known
}

// Known returns the lowest number of refusals per second that any server of the pool bears,
// and for how long this is known; 0 if none is brittle.
func (p *Statements) Known(now time.Time) (limit int, remaining time.Duration) {
	if now.Before(p.peersUntil) {
		limit, remaining = p.peersLimit, p.peersUntil.Sub(now)
	}
	for id, s := range p.heard {
		age := now.Sub(s.at)
		if age >= MemoryTime {
			delete(p.heard, id)
			continue
		}
		if s.limit > 0 {
			if limit == 0 || s.limit < limit {
				limit = s.limit
			}
			remaining = max(remaining, MemoryTime-age)
		}
	}
	return limit, remaining
}
