package hardload

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"cyclamenhitch/core/placement"
)

// mixed returns a fifth of deployment K or a third of P with prompts of 18,000 tokens among
// prompts of 200, at a demand that is a multiple of what the engines can process.
func mixed(name string, seed uint64, shortage float64) EngineWorld {
	w := EngineWorld{
		Seed: seed, Instances: 12, Engines: 18, Slots: 16, TokensPerMs: 112, Accounts: 24, Seconds: 16, Noise: 0.3, SlowestToFastest: 3,
		LagMin: 100 * time.Millisecond, LagMax: 300 * time.Millisecond, CacheTokens: 254_768, Policy: sharesPolicy(), Load: calm,
		Kinds: []Kind{
			{Name: "short", Own: 200, Target: 300 * time.Millisecond, Deadline: 2500 * time.Millisecond, Urgency: 5, Output: 40},
			{Name: "long", Own: 18_000, Target: 400 * time.Millisecond, Deadline: 4 * time.Second, Urgency: 5, Output: 40},
		},
	}
	long := 0.3
	if name == "P" {
		w.Instances, w.Engines, w.Slots, w.TokensPerMs, long = 25, 20, 64, 30.9, 0.1
		w.Kinds[0].Target, w.Kinds[0].Deadline = 800*time.Millisecond, 6*time.Second
		w.Kinds[1].Target = 1200 * time.Millisecond
	}
	meanSpeed := (1 + w.SlowestToFastest) / 2
	// The time that an engine takes for a request, without that for its output.
	engineMs := (200*(1-long)+18_000*long)/(w.TokensPerMs*meanSpeed) + (1-long+long*18_000/chunkTokens)*float64(stepTime.Milliseconds())
	perSecond := shortage * 1000 * float64(w.Engines) / (engineMs * (1 + w.Noise))
	w.Kinds[0].PerSecond, w.Kinds[1].PerSecond = perSecond*(1-long), perSecond*long
	return w
}

func leastLoaded(_ *rand.Rand, known []placement.Load) int {
	best := 0
	for i, l := range known {
		if l.Running < known[best].Running {
			best = i
		}
	}
	return best
}

func randomOfTwo(rnd *rand.Rand, known []placement.Load) int {
	a, b := rnd.IntN(len(known)), rnd.IntN(len(known))
	if known[b].Running < known[a].Running {
		return b
	}
	return a
}

func firstCome(rnd *rand.Rand, known []placement.Load) int { return rnd.IntN(len(known)) }

// BenchmarkPromptIsolation prints the share in time and the times to the first token by kind
// for the decisions with and without prompt_isolation and for three simple rules.
func BenchmarkPromptIsolation(b *testing.B) {
	for _, name := range []string{"K", "P"} {
		for _, shortage := range []float64{0.6, 1.2, 2, 3} {
			for _, v := range []struct {
				name    string
				choose  Chooser
				enabled placement.Mechanisms
			}{
				{"off", nil, 0},
				{"on", nil, placement.Mechanisms(placement.PromptIsolation)},
				{"least loaded", leastLoaded, 0},
				{"random of two", randomOfTwo, 0},
				{"first come", firstCome, 0},
			} {
				if v.choose != nil && os.Getenv("ALL") == "" {
					continue
				}
				for seed := range uint64(3) {
					w := mixed(name, seed+1, shortage)
					w.Choose, w.Policy.Enabled = v.choose, v.enabled|placement.Mechanisms(placement.SendShares)
					fmt.Printf("%s shortage %.1f seed %d %s\n%v", name, shortage, seed+1, v.name, RunEngines(w))
				}
			}
		}
	}
}

func deploymentK(seed uint64) EngineWorld {
	w := deploymentP(seed)
	w.Instances, w.Engines, w.Slots, w.TokensPerMs = 23, 90, 16, 112
	w.Kinds = []Kind{
		{Name: "explanation", Shared: 8620, Own: 580, PerSecond: 299, Target: 400 * time.Millisecond, Deadline: 4 * time.Second, Urgency: 3, Output: 60},
		{Name: "suggestion", Shared: 2041, Own: 360, PerSecond: 338, Target: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, Urgency: 5, Output: 60},
		{Name: "hint", Shared: 603, Own: 110, PerSecond: 63.5, Target: 300 * time.Millisecond, Deadline: 10 * time.Second, Urgency: 7, Output: 60},
	}
	return w
}

// BenchmarkIsolationTables prints the same for the kinds of requests of deployments K and P,
// in calm and in a surge, at the speeds 1 to 3.
func BenchmarkIsolationTables(b *testing.B) {
	for name, world := range map[string]func(uint64) EngineWorld{"K": deploymentK, "P": deploymentP} {
		for load, f := range map[string]func(time.Duration) float64{"calm": calm, "surge": surge} {
			if only := os.Getenv("ONLY"); only != "" && only != name+" "+load {
				continue
			}
			for seed := range uint64(3) {
				for _, enabled := range []placement.Mechanisms{0, placement.Mechanisms(placement.PromptIsolation)} {
					w := world(seed + 1)
					w.Load, w.Policy.Enabled, w.SlowestToFastest, w.Seconds = f, enabled|placement.Mechanisms(placement.SendShares), 3, 30
					if load == "surge" {
						w.HotAccounts = 2
					}
					fmt.Printf("%s %s seed %d isolation %v\n%v", name, load, seed+1, enabled != 0, RunEngines(w))
				}
			}
		}
	}
}
