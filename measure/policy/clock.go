// Package policy measures routing and admission at fleet scale in virtual time. One
// process drives the decision logic of all instances against fakes at its
// ports: an engine is a load counter reported with a delay and a bounded prefix
// cache, and a link is a delay and a loss rate. It does not simulate a cluster:
// permit calls take effect at once and only their delay and loss are modelled.
// No state is shared between runs.
package policy

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// clock runs events in order of virtual time, and those of the same time in the
// order in which they were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events eventHeap
}

func (c *clock) at(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{max(t, c.now), c.seq, do})
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now+d, do) }

// every calls do at phase and then after each interval.
func (c *clock) every(phase, interval time.Duration, do func()) {
	c.at(phase, func() {
		do()
		c.every(c.now+interval, interval, do)
	})
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run handles all events up to and including end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
