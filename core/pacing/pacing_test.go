package pacing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

var start = time.Unix(1000, 0)

// Guards against permissions that are lost or given twice, a queue that is served out of the
// order of class and deadline, and times of return that callers don't honour.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := NewPool(), start
		p.SetRoom(rapid.IntRange(1, 30).Draw(t, "slots"), rapid.IntRange(1, 100).Draw(t, "instances"))
		var waiting, sent []*Ticket
		collect := func() {
			for i := 0; i < len(waiting); {
				select {
				case <-waiting[i].Ready():
					for _, o := range waiting {
						if o != waiting[i] && !o.granted && now.Before(o.latest) && order(o, waiting[i]) < 0 {
							t.Fatalf("%+v is sent before %+v", waiting[i].item, o.item)
						}
					}
					sent, waiting = append(sent, waiting[i]), append(waiting[:i:i], waiting[i+1:]...)
				default:
					i++
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond)
			switch kind := rapid.IntRange(0, 4).Draw(t, "kind"); {
			case kind <= 2:
				left := time.Duration(rapid.IntRange(1, 3000).Draw(t, "left")) * time.Millisecond
				item := Item{
					Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Account: uint32(rapid.IntRange(1, 5).Draw(t, "account")),
					Deadline: now.Add(left), Objective: 150 * time.Millisecond, Refused: rapid.Bool().Draw(t, "refused"),
				}
				ticket, refusal := p.Enter(now, item, rapid.Float64Range(0, 0.999).Draw(t, "random"))
				if refusal != nil && (refusal.After <= 0 || refusal.After > max(time.Millisecond, left/3)) {
					t.Fatalf("return after %v with %v left", refusal.After, left)
				}
				if ticket != nil {
					waiting = append(waiting, ticket)
				}
			case kind == 3 && len(sent) > 0:
				p.Done(now, sent[0], Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
				sent = sent[1:]
			case len(waiting) > 0:
				i := rapid.IntRange(0, len(waiting)-1).Draw(t, "leaving")
				p.Leave(now, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			}
			collect()
			if c := p.Counts(now); c.Running != len(sent) || c.Queued > len(waiting) {
				t.Fatalf("%+v, %d are sent and %d wait", c, len(sent), len(waiting))
			}
		}
	})
}

// surge has p see rate requests per second of an account for a time, each answered after took.
func surge(p *Pool, now time.Time, d time.Duration, account uint32, rate int, took time.Duration) (last time.Time, refused int) {
	for end := now.Add(d); now.Before(end); now = now.Add(time.Second / time.Duration(rate)) {
		item := Item{Account: account, Deadline: now.Add(time.Second), Objective: 200 * time.Millisecond}
		ticket, refusal := p.Enter(now, item, float64(now.UnixNano()/1000%997)/997)
		if refusal != nil {
			refused++
			continue
		}
		if p.Leave(now, ticket) {
			continue
		}
		p.mu.Lock()
		p.observeResponse(now, took)
		p.mu.Unlock()
	}
	return now, refused
}

// Guards against refusals by share while the pool is not short, and against an instance
// without peers that neither limits what it sends after refusals nor recovers.
func TestLimitWithoutPeers(t *testing.T) {
	p := NewPool()
	p.SetRoom(6, 1)
	now, refused := surge(p, start, 3*time.Second, 1, 200, 15*time.Millisecond)
	if refused != 0 {
		t.Fatalf("%d requests are refused in a calm time", refused)
	}
	p.mu.Lock()
	p.running = 24 // the servers hold four rounds
	p.shortUntil = now.Add(time.Minute)
	p.mu.Unlock()
	p.SetPeer("peer", now, Report{Instances: 1, Completed: 100, Busy: 20, Flows: []FlowRate{{Flow: Flow{0, 2}, Rate: 3000}}})
	p.Report(now)
	p.mu.Lock()
	p.sharesAt = time.Time{}
	p.updateShares(now)
	share := p.shares[Flow{0, 2}]
	p.running = 0
	p.shortUntil = time.Time{}
	p.mu.Unlock()
	if share <= 0 || share > 0.5 {
		t.Fatalf("an account with several times the capacity may send %v of its requests", share)
	}
	if _, refused = surge(p, now.Add(time.Minute), time.Second, 1, 200, 15*time.Millisecond); refused != 0 {
		t.Fatalf("%d requests are refused after the shortage", refused)
	}
}

// Guards against an account that surges at the expense of others and a high class that is cut
// before a low one, with demand that only peers see.
func TestSharesOverTheFleet(t *testing.T) {
	p := NewPool()
	p.SetRoom(18, 2)
	now := start
	p.Enter(now, Item{Account: 9, Priority: 4, Deadline: now.Add(time.Second), Objective: 100 * time.Millisecond}, 0)
	p.SetPeer("peer", now, Report{Instances: 1, Completed: 600, Busy: 54, Flows: []FlowRate{
		{Flow: Flow{4, 1}, Rate: 100, Usual: 100},
		{Flow: Flow{8, 1}, Rate: 200, Usual: 200},
		{Flow: Flow{8, 2}, Rate: 100, Usual: 100},
		{Flow: Flow{8, 3}, Rate: 1600, Usual: 200},
	}})
	p.updateShares(now.Add(time.Second))
	of := func(class int, account uint32) float64 {
		if s, cut := p.shares[Flow{class, account}]; cut {
			return s
		}
		return 1
	}
	if of(4, 1) < 1 || of(8, 1) < 0.9 || of(8, 2) < 0.9 || of(8, 3) > 0.25 {
		t.Fatalf("shares are %v", p.shares)
	}
}

// Guards against reports that grow with the number of accounts.
func TestReportIsBounded(t *testing.T) {
	p := NewPool()
	p.SetRoom(18, 2)
	for i := range 3000 {
		p.Enter(start, Item{Priority: i % 10, Account: uint32(i + 1), Deadline: start.Add(time.Second)}, 0)
	}
	r, ok := p.Report(start)
	sum, ok2 := p.Sum(start, func(fleet.InstanceID) bool { return true })
	total := 0.0
	for _, f := range r.Flows {
		total += f.Rate
	}
	if !ok || !ok2 || len(r.Flows) > MaxFlows || len(sum.Flows) > MaxFlows || math.Abs(total-3000/surgeWindow.Seconds()) > 1 {
		t.Fatalf("%v: %d flows with %v requests per second", ok, len(r.Flows), total)
	}
}

// Guards against requests of a route with a short deadline that count as late because
// another route of the pool has a longer one, and against returning callers that don't.
func TestLateIsJudgedByRoute(t *testing.T) {
	p := NewPool()
	item := func(route uint32, left time.Duration) *Item {
		return &Item{Account: 1, Route: route, Deadline: start.Add(left), Objective: 120 * time.Millisecond}
	}
	p.due(start, item(1, 2500*time.Millisecond))
	if due := p.due(start, item(2, 600*time.Millisecond)); due != start.Add(120*time.Millisecond) {
		t.Errorf("the first attempt is due after %v", due.Sub(start))
	}
	if due := p.due(start, item(2, 400*time.Millisecond)); due.After(start) {
		t.Errorf("the attempt of a caller that returned is due after %v", due.Sub(start))
	}
}

// Guards against accounts that are kept for ever once they were seen.
func TestFlowsAreForgotten(t *testing.T) {
	p := NewPool()
	for i := range 100 {
		p.Enter(start, Item{Account: uint32(i + 1), Deadline: start.Add(time.Second)}, 0)
	}
	for now := start; now.Before(start.Add(6 * time.Minute)); now = now.Add(time.Second) {
		p.Enter(now, Item{Account: 1000, Deadline: now.Add(time.Second)}, 0)
	}
	if len(p.flows) != 1 {
		t.Errorf("%d flows are kept", len(p.flows))
	}
}

// Guards against instances that keep one another short: each reports because a peer did, long
// after the last sign of a shortage.
func TestReportsEndAfterShortage(t *testing.T) {
	now := start
	pools := map[fleet.InstanceID]*Pool{"a": NewPool(), "b": NewPool()}
	for _, p := range pools {
		p.SetRoom(6, len(pools))
	}
	ticket, _ := pools["a"].Enter(now, Item{Account: 1, Deadline: now.Add(time.Second)}, 0)
	pools["a"].Done(now, ticket, Full)
	heard := false
	for ; now.Before(start.Add(10 * time.Second)); now = now.Add(200 * time.Millisecond) {
		reports := map[fleet.InstanceID]Report{}
		for id, p := range pools {
			if r, ok := p.Report(now); ok {
				reports[id] = r
			}
		}
		_, ok := reports["b"]
		heard = heard || ok
		for from, r := range reports {
			for to, p := range pools {
				if to != from {
					p.SetPeer(from, now, r)
				}
			}
		}
	}
	if !heard {
		t.Error("the peer does not report its demand during the shortage")
	}
	for id, p := range pools {
		if _, ok := p.Report(now); ok {
			t.Errorf("%s still reports %v after the only refusal", id, now.Sub(start))
		}
	}
}

// Guards against a digest that counts its receiver, with more accounts than a report names, and
// against the cost of a merge of all peers for each receiver.
func TestSumWithoutReceiver(t *testing.T) {
	p, now := NewPool(), start
	p.SetRoom(18, 126)
	report := func(i int) Report {
		r := Report{Instances: 1, Completed: 1, Busy: 2}
		for a := range MaxFlows {
			r.Flows = append(r.Flows, FlowRate{Flow: Flow{2 * (a % 2), uint32(i%9*1000 + a + 1)}, Rate: float64(1 + a), Usual: 1})
		}
		return r
	}
	rate := func(r Report) (sum float64) {
		for _, f := range r.Flows {
			sum += f.Rate
		}
		return sum
	}
	const peers = 125
	for i := range peers {
		p.SetPeer(fleet.InstanceID(fmt.Sprint(i)), now, report(i))
	}
	sum, ok := p.Sum(now, func(fleet.InstanceID) bool { return true })
	if !ok || len(sum.Flows) > maxSumFlows {
		t.Fatalf("%d flows, %v", len(sum.Flows), ok)
	}
	peer := p.Peer(now, "3")
	got, one := sum.Without(&peer), rate(report(0))
	if got.Instances != peers || got.Completed != peers-1 || got.Busy != 2*(peers-1) || len(got.Flows) > MaxFlows || math.Abs(rate(got)-(peers-1)*one) > 1e-6*one {
		t.Errorf("%d instances, completed %v, busy %v, %d flows of %v/s, want %v/s", got.Instances, got.Completed, got.Busy, len(got.Flows), rate(got), (peers-1)*one)
	}
	if !slices.IsSortedFunc(got.Flows, func(a, b FlowRate) int { return compareFlow(a, b.Flow) }) {
		t.Error("flows are not sorted")
	}
	if unknown := p.Peer(now.Add(peerTTL), "3"); unknown.Instances != 0 {
		t.Error("an expired report is subtracted")
	}
}

func BenchmarkSum(b *testing.B) {
	p, now := NewPool(), start
	for i := range 125 {
		r := Report{Instances: 1, Completed: 1}
		for a := range 48 {
			r.Flows = append(r.Flows, FlowRate{Flow: Flow{2 * (a % 2), uint32(a + 1)}, Rate: 1, Usual: 1})
		}
		p.SetPeer(fleet.InstanceID(fmt.Sprint(i)), now, r)
	}
	sum, _ := p.Sum(now, func(fleet.InstanceID) bool { return true })
	peer := p.Peer(now, "3")
	b.Run("sum", func(b *testing.B) {
		for b.Loop() {
			p.Sum(now, func(fleet.InstanceID) bool { return true })
		}
	})
	b.Run("without", func(b *testing.B) {
		for b.Loop() {
			sum.Without(&peer)
		}
	})
}

// Guards against a pool that counts as idle because only some instances report: its whole
// capacity would be set against a part of the demand.
func TestPartOfTheFleetReports(t *testing.T) {
	for _, peers := range []int{1, 5, 22} {
		p, now := NewPool(), start
		p.SetRoom(18, 23)
		p.response, p.fastest = 15*time.Millisecond, 15*time.Millisecond
		p.shortUntil = now.Add(time.Minute)
		for i := range peers {
			// The servers hold 23 * 2 requests and complete 23 * 50 per second of 23 * 120.
			p.SetPeer(fleet.InstanceID(fmt.Sprint(i)), now, Report{Instances: 1, Completed: 50, Busy: 2, Flows: []FlowRate{{Flow: Flow{8, 2}, Rate: 120, Usual: 30}}})
		}
		p.updateShares(now)
		if share := p.shares[Flow{8, 2}]; share < 0.3 || share > 0.6 {
			t.Errorf("with %d peers of 22 an instance sends %v, want about 50 of 120", peers, share)
		}
	}
}

// Guards against a configured weight that outlives a change back to 1, or that is not taken
// over once the table is full.
func TestWeightChanges(t *testing.T) {
	p := NewPool()
	enter := func(account uint32, weight float64) {
		p.Enter(start, Item{Account: account, Weight: weight, Deadline: start.Add(time.Second)}, 0)
	}
	weight := func(account uint32) float64 { return p.weight(&FlowRate{Flow: Flow{0, account}, Usual: 10}) }
	for i := range uint32(maxTrackedFlows) {
		enter(i+1, 3)
	}
	enter(1, 2)
	enter(2, 1)
	enter(3, 0)
	if weight(1) != 20 || weight(2) != 10 || weight(3) != 10 || weight(4) != 30 {
		t.Errorf("weights are %v, %v, %v and %v", weight(1), weight(2), weight(3), weight(4))
	}
}

// Guards against requests that wait although the window has grown: the only one at the servers
// may take until its deadline.
func TestWaitingRequestsUseRoomThatIsAdded(t *testing.T) {
	p, now := NewPool(), start
	p.SetRoom(1, 10)
	item := Item{Account: 1, Deadline: now.Add(time.Second)}
	p.Enter(now, item, 0)
	waiting, refusal := p.Enter(now, item, 0)
	if refusal != nil || waiting.granted {
		t.Fatalf("%v", refusal)
	}
	p.SetRoom(18, 10)
	p.Report(now)
	if !waiting.granted {
		t.Error("the request still waits")
	}
}

// Guards against a pool that counts as short, and is reported, because the requests of one route
// take less time than those of another.
func TestDifferentServiceTimesAreNoShortage(t *testing.T) {
	p, now := NewPool(), start
	p.SetRoom(18, 1)
	type run struct {
		ticket *Ticket
		end    time.Time
	}
	var running []run
	for i := range 6000 {
		now = now.Add(2 * time.Millisecond)
		running = slices.DeleteFunc(running, func(r run) bool {
			if now.Before(r.end) {
				return false
			}
			p.Done(now, r.ticket, Completed)
			return true
		})
		ticket, refusal := p.Enter(now, Item{Account: uint32(i%5 + 1), Deadline: now.Add(600 * time.Millisecond), Objective: 120 * time.Millisecond}, 0.5)
		if refusal != nil {
			t.Fatalf("%+v at two fifths of the capacity", refusal)
		}
		took := 20 * time.Millisecond
		if i%3 == 0 {
			took = 2 * time.Millisecond
		}
		running = append(running, run{ticket, now.Add(took)})
		if _, short := p.Report(now); short {
			t.Fatalf("the pool counts as short after %v", now.Sub(start))
		}
	}
}
