package hardload

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// warmUpWindows is the number of windows of 5 s in which the caches of the engines fill.
const warmUpWindows = 2

// EngineResult is what became of the requests of a run.
type EngineResult struct {
	Kinds []KindResult
	// WorstAccount is the lowest share of an account's requests in time.
	WorstAccount float64
	// WorstWindow is the highest share of sends over the load bound in 5 s with 20 sends.
	WorstWindow float64
	// Windows holds that share of each 5 s.
	Windows []float64
}

// KindResult is what became of the requests of one kind.
type KindResult struct {
	Name             string
	Requests         int
	InTime, Refused  float64 // shares of the requests
	Half, NinetyNine time.Duration
}

func (r *engineRun) result() *EngineResult {
	out := &EngineResult{WorstAccount: 1}
	accounts := make([][2]float64, r.Accounts)
	for k, kind := range r.Kinds {
		res := KindResult{Name: kind.Name}
		var times []time.Duration
		for _, j := range r.jobs {
			if j.kind != k {
				continue
			}
			res.Requests++
			accounts[j.account][0]++
			if j.refused {
				res.Refused++
			}
			if !j.opened {
				continue
			}
			times = append(times, j.first)
			if j.first <= kind.Target {
				res.InTime++
				accounts[j.account][1]++
			}
		}
		n := max(1, float64(res.Requests))
		res.InTime, res.Refused = res.InTime/n, res.Refused/n
		if slices.Sort(times); len(times) > 0 {
			res.Half, res.NinetyNine = times[len(times)/2], times[len(times)*99/100]
		}
		out.Kinds = append(out.Kinds, res)
	}
	for _, a := range accounts {
		if a[0] >= 20 {
			out.WorstAccount = min(out.WorstAccount, a[1]/a[0])
		}
	}
	for i := range len(r.windows) {
		w := r.windows[i]
		out.Windows = append(out.Windows, float64(w[1])/float64(max(1, w[0])))
		if i >= warmUpWindows && w[0] >= 20 {
			out.WorstWindow = max(out.WorstWindow, float64(w[1])/float64(w[0]))
		}
	}
	return out
}

// String returns one line for each kind.
func (e *EngineResult) String() string {
	var s strings.Builder
	for _, k := range e.Kinds {
		fmt.Fprintf(&s, "%-12s n=%-6d in time %.3f refused %.3f p50 %-6v p99 %v\n", k.Name, k.Requests, k.InTime, k.Refused, k.Half.Round(time.Millisecond), k.NinetyNine.Round(time.Millisecond))
	}
	fmt.Fprintf(&s, "worst account %.3f, sends over the bound %.4f %.3f\n", e.WorstAccount, e.WorstWindow, e.Windows)
	return s.String()
}
