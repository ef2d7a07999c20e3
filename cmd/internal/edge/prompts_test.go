package edge

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/standins/runner"
)

const (
	restartedInstances = 4
	restartedEngines   = 6
)

// Guards against a fleet that forgets what the engines cache: when all instances restart
// at once, each of them learns the parts of all engines. An engine lists them once, or twice
// if the instance that asked it was not heard in time, because a list delays its work.
func TestCachedPromptsAfterRestart(t *testing.T) {
	var runners []*runner.Runner
	for i := range restartedEngines {
		runners = append(runners, &runner.Runner{ID: fmt.Sprint("e", i), Cached: []string{fmt.Sprintf("%x:5000", 100+i), "7:900"}})
	}
	f := startFleet(t, 0, runners...)
	f.store.Set("op", "config", engineConfig())
	f.startAgain(restartedInstances, 2)
	for i, e := range f.edges {
		f.eventually(fmt.Sprintf("instance %d knows the parts of all engines", i), func() bool {
			known := map[string]bool{}
			for _, c := range e.edge.board.CachedParts(maxPartsPerEngine) {
				for _, p := range c.Parts {
					known[fmt.Sprintf("%s has %x", c.Server, p.ID)] = true
				}
			}
			return maps.Equal(known, wantKnown())
		})
	}
	for _, r := range runners {
		if n := r.Lists(); n < 1 || n > 2 {
			t.Errorf("engine %s listed its parts %d times", r.ID, n)
		}
	}
}

func wantKnown() map[string]bool {
	want := map[string]bool{}
	for i := range restartedEngines {
		want[fmt.Sprintf("e%d has %x", i, 100+i)] = true
		want[fmt.Sprintf("e%d has 7", i)] = true
	}
	return want
}

// engineConfig returns a configuration whose service s has model engines.
func engineConfig() []byte {
	return []byte(`{"version":2,"routes":[{"name":"r","host":"h.example","path_prefix":"/r/","kind":"streaming","timeout_ms":20000,
		"target_latency_ms":500,"service":"s","max_attempts":2}],
		"services":[{"name":"s","max_conns":100,"engine":{"slots":64,"kv_capacity_tokens":300000,"kv_token_bytes":35000,"link_mbps":50000}}],
		"tenants":[{"name":"t","api_keys":["k1"]}]}`)
}

// Guards against engines that no instance asks, or several, after a restart: whichever of
// the listed instances live, each engine is asked by its assigned instance or, if that one
// does not live, by one other.
func TestEachEngineIsAskedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := instanceIDs(rapid.IntRange(1, 40).Draw(t, "listed"))
		var alive []fleet.InstanceID
		for _, id := range listed {
			if rapid.Bool().Draw(t, "lives") {
				alive = append(alive, id)
			}
		}
		alive = append(alive, "new")
		for e := range 20 {
			engine := fleet.ServerID(fmt.Sprint("e", e))
			asked := 0
			for _, self := range alive {
				if self != "new" && isAssigned(engine, self, listed) || takesOver(engine, self, alive, listed) {
					asked++
				}
			}
			if asked != 1 {
				t.Errorf("engine %s is asked by %d instances", engine, asked)
			}
		}
	})
}

func instanceIDs(n int) []fleet.InstanceID {
	ids := make([]fleet.InstanceID, n)
	for i := range ids {
		ids[i] = fleet.InstanceID(fmt.Sprint("i", i))
	}
	return ids
}
