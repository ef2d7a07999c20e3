package admission

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// scenario runs one command on the model of a fleet: it breaks links, instances
// and views, or runs the loops and prints who is granting.
func (m *takeoverModel) scenario(t *testing.T, d *datadriven.TestData) string {
	nodes := func(key string) (out []int) {
		for _, a := range d.CmdArgs {
			if a.Key != key {
				continue
			}
			for _, v := range a.Vals {
				var i int
				_, _ = fmt.Sscanf(v, "r%d", &i)
				out = append(out, i)
			}
		}
		return out
	}
	switch d.Cmd {
	case "cut": // to cannot hear from
		for _, i := range nodes("from") {
			for _, j := range nodes("to") {
				m.cut[[2]int{i, j}] = true
			}
		}
	case "heal":
		clear(m.cut)
	case "crash":
		for _, i := range nodes("at") {
			m.nodes[i].up = false
		}
	case "restart":
		for _, i := range nodes("at") {
			m.nodes[i] = m.newNode(i, uint64(m.now.UnixMilli()))
		}
	case "pause":
		for _, i := range nodes("at") {
			m.nodes[i].paused = m.now.Add(time.Duration(intArg(d, t, "ms", 0)) * time.Millisecond)
		}
	case "drop":
		m.lossy = nodes("from")
	case "repeat":
		m.late = append(m.late, m.answered...)
	case "view": // of some instances, with the dead ones
		for _, i := range nodes("at") {
			m.nodes[i].dead = map[int]bool{}
			for _, j := range nodes("dead") {
				m.nodes[i].dead[j] = true
			}
			m.apply(i)
		}
	case "run":
		return m.run(t, time.Duration(intArg(d, t, "ms", 0))*time.Millisecond)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// forget makes the fleet one that has just started.
func (m *takeoverModel) forget() {
	for _, n := range m.nodes {
		n.take.since = m.now
		for id := range n.take.firstSeen {
			n.take.firstSeen[id] = m.now
		}
	}
}

// run prints which instance grants on which engine and when that changes.
func (m *takeoverModel) run(t *testing.T, d time.Duration) string {
	var out strings.Builder
	before, begin := "-", m.now
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(50 * time.Millisecond)
		m.deliver()
		var who []string
		for i := range m.nodes {
			if !m.runs(i) {
				continue
			}
			m.step(i, func() bool { return false }, func() time.Duration { return time.Millisecond })
			m.asked = m.asked[:0]
			if fault := m.ask(i); fault != "" {
				t.Fatal(fault)
			}
			for _, s := range m.asked {
				who = append(who, fmt.Sprintf("%s=%s", s, m.nodes[i].member.ID))
			}
		}
		slices.Sort(who)
		if now := strings.Join(who, " "); now != before {
			fmt.Fprintf(&out, "%4d ms: %s\n", m.now.Sub(begin).Milliseconds(), now)
			before = now
		}
	}
	return out.String()
}
