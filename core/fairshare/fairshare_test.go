package fairshare

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against surges of one account at the expense of others, a lower class served before
// a higher one, and capacity that is left unused or given twice.
func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity, demand := rapid.Float64Range(0, 1000).Draw(t, "capacity"), 0.0
		flows := make([]Flow, rapid.IntRange(0, 30).Draw(t, "flows"))
		for i := range flows {
			flows[i] = Flow{Class: rapid.IntRange(0, 3).Draw(t, "class"), Weight: rapid.Float64Range(0.1, 9).Draw(t, "weight"), Demand: rapid.Float64Range(0, 100).Draw(t, "demand")}
			demand += flows[i].Demand
		}
		Fill(capacity, flows)
		const slack = 1e-6
		sum := 0.0
		for i := range flows {
			f := &flows[i]
			sum += f.Grant
			if f.Grant < 0 || f.Grant > f.Demand+slack {
				t.Fatalf("flow %+v", f)
			}
			for j := range flows {
				g := &flows[j]
				cut := f.Grant < f.Demand-slack
				if cut && g.Class > f.Class && g.Grant > slack {
					t.Fatalf("%+v is cut while %+v of a lower class is served", f, g)
				}
				if cut && g.Class == f.Class && g.Grant/g.Weight > f.Grant/f.Weight+slack {
					t.Fatalf("%+v is cut while %+v has a larger share", f, g)
				}
			}
		}
		if want := min(capacity, demand); sum < want-slack || sum > want+slack {
			t.Fatalf("granted %v, want %v", sum, want)
		}
	})
}
