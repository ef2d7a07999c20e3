// Package fairshare divides a capacity among the demands of accounts: strictly by class, and
// within a class by weighted max-min fairness (water-filling). It addresses loads in which
// some accounts ask for many times their share. It has no state.
package fairshare

import "slices"

// Flow is the demand of one account in one class.
type Flow struct {
	// Class is the priority of the flow; 0 is served first.
	Class int
	// Account identifies the account to the caller of Fill.
	Account uint32
	// Weight is the account's share relative to others of the class; values of 0 and less
	// count as 1.
	Weight float64
	// Demand is what the flow asks for, in the unit of the capacity.
	Demand float64
	// Grant is what the flow may use. Fill sets it.
	Grant float64
}

// Fill sets the grants. It orders flows by class and by demand relative to weight. No flow
// gets more than its demand, and the sum of the grants is at most the capacity.
func Fill(capacity float64, flows []Flow) {
	slices.SortStableFunc(flows, func(a, b Flow) int {
		if a.Class != b.Class {
			return a.Class - b.Class
		}
		return compare(a.Demand/a.weight(), b.Demand/b.weight())
	})
	for begin := 0; begin < len(flows); {
		end := begin
		for end < len(flows) && flows[end].Class == flows[begin].Class {
			end++
		}
		capacity -= fillClass(max(0, capacity), flows[begin:end])
		begin = end
	}
}

// fillClass divides the capacity among flows ordered by relative demand and returns the sum
// of the grants.
func fillClass(capacity float64, flows []Flow) float64 {
	weights := 0.0
	for i := range flows {
		weights += flows[i].weight()
	}
	used := 0.0
	for i := range flows {
		f := &flows[i]
		f.Grant = min(max(0, f.Demand), max(0, capacity-used)*f.weight()/weights)
		used += f.Grant
		weights -= f.weight()
	}
	return used
}

func (f *Flow) weight() float64 {
	if f.Weight <= 0 {
		return 1
	}
	return f.Weight
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
