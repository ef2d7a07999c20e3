package placement

import (
	"slices"

	"cyclamenhitch/core/fleet"
)

// Loads of peers are some 100 ms old in large fleets. If all instances compared all
// engines, everything that arrives in that time would go to the few engines that were
// idle in the last report. Each request therefore compares a few engines only, and
// different requests different ones.
const (
	// shortlistFrom is the number of engines from which a request compares a few.
	shortlistFrom = 32
	// keepersListed is how many engines are compared of those that keep most of the
	// prompt, othersListed how many of the rest. The first maxRanks engines in the order
	// of the prompt's hash are always compared.
	keepersListed = 4
	othersListed  = 2
	// shortlistPatience is the share of the objective that the wait may take at the best
	// of the listed engines. Beyond it all are compared.
	shortlistPatience = 0.5
)

// lowest keeps the indexes with the lowest scores.
type lowest struct {
	most   int
	at     []int
	scores []uint64
}

func (l *lowest) offer(i int, score uint64) {
	pos := len(l.at)
	for pos > 0 && score < l.scores[pos-1] {
		pos--
	}
	if pos == l.most {
		return
	}
	if len(l.at) < l.most {
		l.at, l.scores = append(l.at, 0), append(l.scores, 0)
	}
	copy(l.at[pos+1:], l.at[pos:])
	copy(l.scores[pos+1:], l.scores[pos:])
	l.at[pos], l.scores[pos] = i, score
}

// shortlist returns the indexes of the engines that the request compares, nil for all.
func shortlist(servers []*state, order []int, ask *Ask) []int {
	if len(servers) < shortlistFrom || !servers[0].Engine {
		return nil
	}
	list := make([]int, 0, maxRanks+keepersListed+othersListed)
	keepers, others := lowest{most: keepersListed}, lowest{most: othersListed}
	most := 0
	for i, s := range servers {
		if order[i] < maxRanks {
			list = append(list, i)
			continue
		}
		score := fleet.Mix(ask.Key, s.hash)
		others.offer(i, score)
		n := s.cache.cached(ask.Parts)
		if n > most {
			most = n
			keepers.at, keepers.scores = keepers.at[:0], keepers.scores[:0]
		}
		if n > 0 && n == most {
			keepers.offer(i, score)
		}
	}
	list = append(list, keepers.at...)
	for _, i := range others.at {
		if !slices.Contains(keepers.at, i) {
			list = append(list, i)
		}
	}
	return list
}
