package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
)

// Guards against a slowdown that outlasts the reports of it, an old figure that counts like a
// new one, and a fast figure that attracts requests beyond the mean.
func TestPaceByAge(t *testing.T) {
	var p pace
	if f := p.factor(epoch); f != 1 {
		t.Errorf("factor %v without reports", f)
	}
	now := epoch
	for range 400 { // 4 s at 300 and 100 in turn
		now = now.Add(10 * time.Millisecond)
		p.observe(now, []float64{3, 1}[now.UnixMilli()/10%2])
	}
	p.observe(now, 3)
	if f := p.factor(now); f < 2.9 {
		t.Errorf("factor %v right after a report of 3", f)
	}
	if f := p.factor(now.Add(300 * time.Millisecond)); f < 1.4 || f > 2.1 {
		t.Errorf("factor %v 300 ms after a report, the mean is 2", f)
	}
	p.observe(now, 0.5)
	if f := p.factor(now); f < 1.7 || f > 2.1 {
		t.Errorf("factor %v right after a report of 0.5, the mean is 2", f)
	}
	if f := p.factor(now.Add(10 * time.Second)); f > 1.05 {
		t.Errorf("factor %v after 10 s without reports", f)
	}
}

// Guards against a pace that changes the decisions of deployments whose servers state none,
// and against figures that make no sense.
func TestNoPaceNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := rapid.Bool().Draw(t, "engine")
		list := engines(40)
		for i := range list {
			list[i].Engine = engine
		}
		var each [2]*Balancer
		var open [2][]*Reservation
		for k := range each {
			each[k] = NewBalancer(DefaultPolicy())
			each[k].SetServers("p", list)
		}
		now := epoch
		for i := range rapid.IntRange(1, 120).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			for _, figure := range []float64{0, -1, math.NaN(), math.Inf(1)} {
				each[1].NotePace(now, "p", list[i%40].ID, figure)
			}
			req := prompt(uint64(i % 7))
			req.Key = uint64(i)
			var ids [2]string
			for k, b := range each {
				ranked, _ := b.Rank(now, "p", req, nil)
				for _, c := range ranked {
					ids[k] += fmt.Sprint(c.ID, c.Cost, " ")
				}
				r := b.Reserve(now, "p", ranked[0], req)
				open[k] = append(open[k], r)
				if i%3 > 0 {
					r.OnFirstOutput(now.Add(time.Duration(i%50) * time.Millisecond))
				}
				if i%4 == 0 {
					open[k][0].Release(now, Ended)
					open[k] = open[k][1:]
				}
			}
			if ids[0] != ids[1] {
				t.Fatalf("request %d: %s and %s", i, ids[0], ids[1])
			}
		}
	})
}

// Guards against placements that ignore a slowed machine, keep away from it after the
// slowdown, or all go to the server that reported fast last.
func TestPaceMovesLoad(t *testing.T) {
	for _, engine := range []bool{false, true} {
		list := engines(6)
		for i := range list {
			list[i].Engine = engine
		}
		b := NewBalancer(DefaultPolicy())
		b.SetServers("p", list)
		count := func(now time.Time) map[fleet.ServerID]int {
			n := map[fleet.ServerID]int{}
			for i := range 600 {
				req := &Request{Key: uint64(i) * 0x9e3779b97f4a7c15, PromptTokens: 400}
				ranked, _ := b.Rank(now, "p", req, nil)
				n[ranked[0].ID]++
			}
			return n
		}
		before := count(epoch)["e0"]
		b.NotePace(epoch, "p", "e0", 400)
		if n := count(epoch)["e0"]; n > before/2 {
			t.Errorf("engine %v: %d of 600 to the slow server, %d before", engine, n, before)
		}
		if n := count(epoch.Add(20 * time.Second))["e0"]; n < before/2 {
			t.Errorf("engine %v: %d of 600 to the server 20 s after its slowdown, %d before", engine, n, before)
		}
		later := epoch.Add(20 * time.Second)
		b.NotePace(later, "p", "e0", 100)
		b.NotePace(later, "p", "e1", 25)
		if n := count(later)["e1"]; n > 300 {
			t.Errorf("engine %v: %d of 600 to the server that reported fast", engine, n)
		}
	}
}
