package routing

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Guards against a change of routing decisions that the files under testdata
// describe: reuse, data centres and explanations.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var v *View
		now, recent, version := start, NewRecentChats(start), uint64(0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var chat int
			if d.HasArg("chat") {
				d.ScanArgs(t, "chat", &chat)
			}
			switch d.Cmd {
			case "manifest":
				version++
				v = Build(manifest.NewIndex(version, scenarioManifest(t, d)), v, nil, now)
			case "wait":
				var s int
				d.ScanArgs(t, "s", &s)
				now = now.Add(time.Duration(s) * time.Second)
			case "served":
				recent.Record(fleet.ChatKey(chat), fleet.ServerID(d.CmdArgs[0].Key), 1600, now)
			case "rank":
				ranked := v.RankAt("p", fleet.ChatKey(chat), now, make([]*manifest.Server, 0, 3))
				ranked, cached := recent.Promote(v, "p", fleet.ChatKey(chat), now, ranked)
				var names []string
				for _, s := range ranked {
					names = append(names, string(s.Name))
				}
				return fmt.Sprintf("%s; cached %d\n", strings.Join(names, " "), cached)
			case "explain":
				body, err := json.MarshalIndent(v.Explain("p", fleet.ChatKey(chat), now, recent), "", " ")
				if err != nil {
					t.Fatal(err)
				}
				return string(body) + "\n"
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func scenarioManifest(t *testing.T, d *datadriven.TestData) *manifest.Manifest {
	servers := 6
	if d.HasArg("servers") {
		d.ScanArgs(t, "servers", &servers)
	}
	m := testManifest(servers)
	names := func(key string) []string {
		var s string
		if d.HasArg(key) {
			d.ScanArgs(t, key, &s)
		}
		return strings.Split(s, "+")
	}
	for i := range m.DataCentres {
		if slices.Contains(names("out"), string(m.DataCentres[i].Name)) {
			m.DataCentres[i].State = manifest.StateOut
		}
	}
	for i := range m.Servers {
		if slices.Contains(names("leaving"), string(m.Servers[i].Name)) {
			m.Servers[i].State = manifest.StateLeaving
		}
	}
	return m
}
