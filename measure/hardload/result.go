package hardload

import (
	"fmt"
	"strings"
	"time"
)

// Count is what happened to the calls of a class or an account.
type Count struct {
	Arrived, InTime, Late int
}

// Share is the part of the calls that was answered in time.
func (c Count) Share() float64 { return float64(c.InTime) / float64(max(1, c.Arrived)) }

// Result is the result of a run, for calls that began in the surge.
type Result struct {
	All Count
	// Classes are by name, Accounts by number.
	Classes  map[string]*Count
	Accounts []Count
	// Value is the mean value of a call.
	Value float64
	// Sends counts requests sent to servers, Full those that a server refused, Refused the
	// answers of instances that a request was not run.
	Sends, Full, Refused int
	// Surging is the number of accounts at the end of the list that surge.
	Surging int
	value   float64
}

func newResult(s *Scenario) *Result {
	r := &Result{Classes: map[string]*Count{}, Accounts: make([]Count, s.Accounts), Surging: s.Surging}
	for _, c := range s.Classes {
		r.Classes[c.Name] = &Count{}
	}
	return r
}

func (r *Result) each(c *call, f func(*Count)) {
	if !c.counted {
		return
	}
	f(&r.All)
	f(r.Classes[c.class.Name])
	f(&r.Accounts[c.account])
	r.Value = r.value / float64(max(1, r.All.Arrived))
}

func (r *Result) arrived(c *call) { r.each(c, func(n *Count) { n.Arrived++ }) }

func (r *Result) answered(q *Request, now time.Time) {
	c := q.call
	switch {
	case !c.counted || now.After(q.Deadline):
	case now.Sub(c.began) <= c.class.Target:
		r.value++
		r.each(c, func(n *Count) { n.InTime++ })
	default:
		r.value += c.class.LateValue
		r.each(c, func(n *Count) { n.Late++ })
	}
}

func (r *Result) sent(c *call) {
	if c.counted {
		r.Sends++
	}
}

func (r *Result) full(c *call) {
	if c.counted {
		r.Full++
	}
}

func (r *Result) refused(c *call) {
	if c.counted {
		r.Refused++
	}
}

// Worst returns the lowest share in time among the accounts that do not surge.
func (r *Result) Worst() float64 {
	worst := 1.0
	for i := range r.Accounts[:len(r.Accounts)-r.Surging] {
		worst = min(worst, r.Accounts[i].Share())
	}
	return worst
}

// String returns the result in one line.
func (r *Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "value %.3f in time %.3f", r.Value, r.All.Share())
	for _, name := range []string{"first", "second"} {
		if c := r.Classes[name]; c != nil {
			fmt.Fprintf(&b, " %s %.3f", name, c.Share())
		}
	}
	fmt.Fprintf(&b, " worst account %.3f full %.3f of sends", r.Worst(), float64(r.Full)/float64(max(1, r.Sends)))
	return b.String()
}
