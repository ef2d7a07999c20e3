package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// episode is a period of at most MaxViewDivergence in which views differ.
type episode struct {
	end   time.Time
	heal  time.Time
	views []viewChange
}

type viewChange struct {
	at       time.Time
	at2      time.Time // the node has the correct view again
	node     int
	dead     []int
	restored bool
}

// primaries returns the nodes that hold roles, or all when none does.
func (m *takeoverModel) primaries() (out []int) {
	for i, n := range m.nodes {
		if len(n.began) > 0 {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		out = append(out, 0, 1, 2, 3, 4, 5)
	}
	return out
}

// drawEpisode injects partitions, pauses, crashes and wrong views.
func (m *takeoverModel) drawEpisode(t *rapid.T, kind string) *episode {
	// IntRange prefers small numbers.
	ms := func(lo, hi int, name string) time.Duration {
		part := rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10}).Draw(t, name)
		return time.Duration(lo+(hi-lo)*part/10) * time.Millisecond
	}
	e := &episode{end: m.now.Add(5 * time.Second)}
	e.heal = m.now.Add(ms(500, 4900, "heal"))
	var away []int // one node, a data centre or a group
	first := rapid.SampledFrom(m.primaries()).Draw(t, "away")
	spread := rapid.SampledFrom([]string{"node", "centre", "group"}).Draw(t, "spread")
	for i := range m.nodes {
		if i == first || spread == "centre" && i%4 == first%4 || spread == "group" && rapid.Bool().Draw(t, "also") {
			away = append(away, i)
		}
	}
	in := func(i int) bool { return slices.Contains(away, i) }
	latest := rapid.SampledFrom([]int{200, 1000, 4900}).Draw(t, "latest")
	agree := rapid.Bool().Draw(t, "agree")
	for i := range m.nodes {
		for j := range m.nodes {
			if kind == "cut" && in(i) != in(j) || kind == "asymmetric" && in(i) && !in(j) {
				m.cut[[2]int{i, j}] = true
			}
		}
		switch {
		case kind == "pause" && in(i):
			m.nodes[i].paused = m.now.Add(ms(500, 8000, "pause"))
		case !m.nodes[i].up && rapid.Bool().Draw(t, "restart"):
			m.nodes[i] = m.newNode(i, uint64(m.now.UnixMilli()))
		case kind == "crash" && in(i):
			m.nodes[i].up = false
		}
	}
	for i := range m.nodes {
		c := viewChange{node: i, at: m.now.Add(ms(0, latest, "sees")), at2: m.now.Add(ms(4500, 4990, "truth"))}
		for j := range m.nodes {
			if in(i) != in(j) && kind != "resume" && (kind != "views" || agree || rapid.Bool().Draw(t, "wrong")) {
				c.dead = append(c.dead, j)
			}
		}
		e.views = append(e.views, c)
	}
	return e
}

// agreed reports whether every node that runs sees which nodes run.
func (m *takeoverModel) agreed() bool {
	for i, n := range m.nodes {
		for j := range m.nodes {
			if i != j && m.runs(i) && n.dead[j] == m.runs(j) {
				return false
			}
		}
	}
	return true
}

// follow applies the view changes that are due. At the end every running node has
// the correct view.
func (m *takeoverModel) follow(e *episode) {
	if !m.now.Before(e.heal) {
		clear(m.cut)
	}
	for k := range e.views {
		c := &e.views[k]
		if !m.runs(c.node) {
			continue
		}
		n := m.nodes[c.node]
		switch {
		case !m.now.Before(c.at2) && !c.restored:
			c.restored = true
			n.dead = map[int]bool{}
			for j := range m.nodes {
				n.dead[j] = !m.runs(j)
			}
			m.apply(c.node)
		case !m.now.Before(c.at) && !c.restored && c.dead != nil:
			for _, j := range c.dead {
				n.dead[j] = true
			}
			c.dead = nil
			m.apply(c.node)
		}
	}
}

// Guards against two instances granting on one engine at the same time, and against a
// takeover that does not count the former admitter's requests, when the handover wait
// is shortened. Faults are wrong views, one-way and two-way partitions, pauses,
// crashes, restarts, and lost, late or duplicate replies, each for at most the
// disagreement bound.
func TestTakeoverOneAdmitter(t *testing.T) {
	t.Parallel() // among the slowest tests
	early := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newTakeoverModel(6, 3)
		var e *episode
		next := m.now.Add(3 * time.Second)
		lost := 0
		drop := func() bool { // at most two in a row, and none before the first episode
			if lost < 2 && m.now.Sub(start) > 3*time.Second && rapid.IntRange(0, 19).Draw(t, "drop") == 0 {
				lost++
				return true
			}
			lost = 0
			return false
		}
		delay := func() time.Duration {
			return time.Duration(rapid.SampledFrom([]int{1, 5, 50, 400}).Draw(t, "ms")) * time.Millisecond
		}
		for m.now.Sub(start) < time.Minute {
			m.now = m.now.Add(rapid.SampledFrom([]time.Duration{20, 50, 90, 150}).Draw(t, "step") * time.Millisecond)
			m.lag = rapid.SampledFrom([]time.Duration{0, 100, 500, 1000, 2000}).Draw(t, "lag") * time.Millisecond
			m.flight = rapid.SampledFrom([]time.Duration{0, 10, 500, 2900}).Draw(t, "flight") * time.Millisecond
			if e != nil {
				m.follow(e)
				if !m.now.Before(e.end) {
					e = nil
					// Many episodes find waits without earlier deaths.
					next = m.now.Add(rapid.SampledFrom([]time.Duration{1, 3, 9, 12}).Draw(t, "gap") * time.Second)
				}
			}
			if e == nil && !m.agreed() { // an instance resumed
				e = m.drawEpisode(t, "resume")
			}
			if e == nil && !m.now.Before(next) {
				e = m.drawEpisode(t, rapid.SampledFrom([]string{"cut", "asymmetric", "pause", "crash", "views"}).Draw(t, "kind"))
			}
			m.deliver()
			for i := range m.nodes {
				if !m.runs(i) {
					continue
				}
				// A resumed process may serve a request before its timer fires.
				for k := range 2 {
					if k == 1 {
						m.step(i, drop, delay)
					}
					if fault := m.ask(i); fault != "" {
						t.Fatal(fault)
					}
				}
			}
		}
		early += m.early
	})
	t.Log("shortened waits:", early)
	if early == 0 {
		t.Fatal("no wait ended early, so that nothing was checked")
	}
}
