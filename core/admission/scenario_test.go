package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cyclamenhitch/core/fleet"
)

func intArg(d *datadriven.TestData, t *testing.T, name string, def int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &def)
	}
	return def
}

func server(d *datadriven.TestData) fleet.ServerID { return fleet.ServerID(d.CmdArgs[0].Key) }

// runLengths joins equal verdicts.
func runLengths(vs []string) string {
	var out []string
	for i := 0; i < len(vs); {
		j := i
		for j < len(vs) && vs[j] == vs[i] {
			j++
		}
		out = append(out, fmt.Sprintf("%s x%d", vs[i], j-i))
		i = j
	}
	return strings.Join(out, ", ")
}

// Guards against a change of admission decisions that the files under testdata
// describe: load bound, cold start (also seen by first tokens), account shares,
// handover and takeover.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var m *loadModel
		var f *takeoverModel
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "pool":
				m = newLoadModel(intArg(d, t, "engines", 3), intArg(d, t, "max_load", 0))
				return ""
			case "ask":
				return m.scenarioAsk(t, d)
			case "chats":
				return m.scenarioChats(t, d)
			case "end":
				for range intArg(d, t, "count", 1) {
					for i := range m.running {
						if m.running[i].Server == server(d) {
							m.end(i)
							break
						}
					}
				}
			case "wait":
				m.wait(time.Duration(intArg(d, t, "ms", 0)) * time.Millisecond)
			case "exchange":
				m.exchange(nil)
			case "report":
				r := Report{Incarnation: uint64(intArg(d, t, "incarnation", 1)), Load: int64(intArg(d, t, "load", 0)), Cold: d.HasArg("cold"), At: m.now, CacheTokens: int64(intArg(d, t, "cache", 0))}
				m.of(server(d)).Report(m.now, server(d), r)
			case "fail":
				m.of(server(d)).Failed(m.now, server(d))
			case "first":
				cold := 0
				for range intArg(d, t, "count", 1) {
					m.wait(100 * time.Millisecond)
					if m.of(server(d)).FirstToken(m.now, server(d), time.Duration(intArg(d, t, "ms", 0))*time.Millisecond) {
						cold++
					}
				}
				return fmt.Sprintf("cold x%d\n", cold)
			case "members":
				m.members(t, d)
			case "fleet":
				f = newTakeoverModel(6, 3)
				if d.HasArg("new") {
					f.forget()
				}
				f.lag = 200 * time.Millisecond
			default:
				return f.scenario(t, d)
			}
			return ""
		})
	})
}

// scenarioChats sends one request of each chat and ends it at once, unless keep
// is given. A chat that was granted before is known with its whole prompt.
func (m *loadModel) scenarioChats(t *testing.T, d *datadriven.TestData) string {
	var vs []string
	cost := int64(0)
	for c := intArg(d, t, "from", 1); c <= intArg(d, t, "to", 1); c++ {
		var name string
		d.ScanArgs(t, "account", &name)
		a := PermitRequest{
			Server: server(d), Chat: fleet.ChatKey(c), Account: fleet.ClientAccountID(name), Weight: float64(intArg(d, t, "weight", 1)),
			Priority: intArg(d, t, "priority", 5), Prompt: intArg(d, t, "prompt", 90), Output: 10, Relaxed: true,
		}
		if used, known := m.chats[a.Chat]; known {
			m.of(a.Server).Estimate(&a, a.Prompt, used)
		} else {
			a.Tokens = Cost(a.Prompt, 0, a.Output)
		}
		v := m.ask(a)
		vs = append(vs, v.String())
		if v == Granted {
			cost += a.Tokens
			m.chats[a.Chat] = m.now
			if !d.HasArg("keep") {
				m.end(len(m.running) - 1)
			}
		}
	}
	return fmt.Sprintf("%s; %d tokens\n", runLengths(vs), cost)
}

// members sets the instances that all see; with lost, no ledger arrives.
func (m *loadModel) members(t *testing.T, d *datadriven.TestData) {
	var ids []int
	for _, a := range d.CmdArgs {
		var i int
		if n, _ := fmt.Sscanf(a.Key, "r%d", &i); n == 1 {
			ids = append(ids, i)
		}
	}
	m.table = NewTable(testView(m.now, ids...), m.x, DefaultAdmitters)
	for _, l := range m.ledgers {
		for _, s := range l.SetRoles(m.now, m.table, false) {
			if !d.HasArg("lost") {
				m.of(s.Server).Import(m.now, s)
			}
		}
	}
}

func (m *loadModel) scenarioAsk(t *testing.T, d *datadriven.TestData) string {
	a := PermitRequest{Server: server(d), Tokens: int64(intArg(d, t, "tokens", 100)), Priority: intArg(d, t, "priority", 5), Relaxed: !d.HasArg("soft")}
	a.Prompt, a.Output = intArg(d, t, "cached", 0), int(a.Tokens)
	if d.HasArg("account") {
		var name string
		d.ScanArgs(t, "account", &name)
		a.Account, a.Weight = fleet.ClientAccountID(name), float64(intArg(d, t, "weight", 1))
	}
	var vs []string
	for range intArg(d, t, "count", 1) {
		vs = append(vs, m.ask(a).String())
	}
	return fmt.Sprintf("%s; load %d, mean %.0f\n", runLengths(vs), m.load[a.Server], m.of(a.Server).Mean(m.now, "p"))
}
