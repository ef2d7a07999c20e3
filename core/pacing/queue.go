package pacing

import (
	"cmp"
	"slices"
	"time"
)

// order sorts waiting requests: by class, then by the time left, those that a server has
// refused first at equal times.
func order(a, b *Ticket) int {
	refusedFirst := 0
	if a.item.Refused != b.item.Refused {
		refusedFirst = 1
		if a.item.Refused {
			refusedFirst = -1
		}
	}
	return cmp.Or(cmp.Compare(a.item.class, b.item.class), a.item.Deadline.Compare(b.item.Deadline), refusedFirst)
}

// maxPriority is the last priority.
const maxPriority = 9

// usualFall lets the usual time left fall with each request.
const usualFall = 0.001

// origin is where requests with the same time come from: callers of one account state their
// own deadlines.
type origin struct{ account, route uint32 }

// due returns when the response is late. A caller that has less time left than usual has spent
// the rest on an earlier attempt.
func (p *Pool) due(now time.Time, item *Item) time.Time {
	if item.Objective <= 0 {
		return item.Deadline
	}
	left, from := item.Deadline.Sub(now), origin{item.Account, item.Route}
	usual, known := p.usual[from]
	usual = max(left, usual-time.Duration(usualFall*float64(usual)))
	if known || len(p.usual) < maxTrackedFlows {
		p.usual[from] = usual
	}
	return item.Deadline.Add(item.Objective - usual)
}

// responseMargin is the response time to allow for, relative to the mean one.
const responseMargin = 1.15

func (p *Pool) margin() time.Duration { return time.Duration(responseMargin * float64(p.response)) }

// latest returns until when a request may wait. Requests wait as long as they can be answered
// in time. Beyond that they wait only where their caller returned or a server refused them,
// and not while the demand exceeds the capacity: there each late response takes the place of
// one in time.
func (p *Pool) latest(now time.Time, item *Item, due time.Time, late bool) time.Time {
	end := item.Deadline
	switch {
	case item.Objective <= 0:
	case late && p.limiting:
		end = now.Add(min(item.Objective, item.Deadline.Sub(now)))
	case p.limiting || !late && !item.Refused:
		end = due
	}
	return end.Add(-p.margin())
}

// expectedWait is the time until the request at a position of the queue is sent.
func (p *Pool) expectedWait(now time.Time, pos int) time.Duration {
	perSecond := p.completed.read(now)
	if p.response > 0 {
		perSecond = max(perSecond, float64(p.window())/p.response.Seconds())
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(pos+1) / perSecond * float64(time.Second))
}

const (
	// honouredShare is the part of the time left for which callers wait before a retry.
	honouredShare = 1.0 / 3
	// minAfter is the shortest time of return, in which a server ends a few requests.
	minAfter = 20 * time.Millisecond
)

// after returns the time of return of a refused request: after the queue is expected to have
// drained, spread up to the longest time that the caller honours.
func (p *Pool) after(now time.Time, item *Item, random float64) time.Duration {
	longest := time.Duration(honouredShare * float64(item.Deadline.Sub(now)))
	shortest := max(minAfter, p.response, p.expectedWait(now, len(p.queue)))
	if p.limiting && item.Objective > 0 {
		longest = min(longest, max(item.Objective, 2*shortest))
	}
	if shortest >= longest {
		return max(time.Millisecond, longest)
	}
	return shortest + time.Duration(random*float64(longest-shortest))
}

// wake grants waiting requests while there is room. Those whose time is over end by their
// own timer.
func (p *Pool) wake(now time.Time) {
	for len(p.queue) > 0 && p.running < p.window() {
		t := p.queue[0]
		p.queue = slices.Delete(p.queue, 0, 1)
		if now.Before(t.latest) {
			p.grant(now, t)
		}
	}
}
