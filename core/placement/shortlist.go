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
	// shortlistMinServers is the number of engines from which a request compares a few.
	shortlistMinServers = 32
	// shortlistCached is how many engines are compared of those that keep most of the
	// prompt, othersListed how many of the rest. The first maxRanks engines in the order
	// of the prompt's hash are always compared.
	shortlistCached   = 4
	shortlistUncached = 2
	// shortlistWaitFraction is the share of the objective that the wait may take at the best
	// of the listed engines. Beyond it all are compared.
	shortlistWaitFraction = 0.5
)

// lowestScores keeps the indexes with the lowest scores.
type lowestScores struct {
	most    int
	indexes []int
	scores  []uint64
}

func (l *lowestScores) offer(i int, score uint64) {
	pos := len(l.indexes)
	for pos > 0 && score < l.scores[pos-1] {
		pos--
	}
	if pos == l.most {
		return
	}
	if len(l.indexes) < l.most {
		l.indexes, l.scores = append(l.indexes, 0), append(l.scores, 0)
	}
	copy(l.indexes[pos+1:], l.indexes[pos:])
	copy(l.scores[pos+1:], l.scores[pos:])
	l.indexes[pos], l.scores[pos] = i, score
}

// shortlist returns the indexes of the engines that the request compares, nil for all.
func shortlist(servers []*serverState, order []int, ask *Request) []int {
	if len(servers) < shortlistMinServers || !servers[0].Engine {
		return nil
	}
	list := make([]int, 0, maxRanks+shortlistCached+shortlistUncached)
	keepers, others := lowestScores{most: shortlistCached}, lowestScores{most: shortlistUncached}
	most := 0
	for i, s := range servers {
		if order[i] < maxRanks {
			list = append(list, i)
			continue
		}
		score := fleet.Mix(ask.Key, s.hash)
		others.offer(i, score)
		n := s.cache.cachedTokens(ask.Parts)
		if n > most {
			most = n
			keepers.indexes, keepers.scores = keepers.indexes[:0], keepers.scores[:0]
		}
		if n > 0 && n == most {
			keepers.offer(i, score)
		}
	}
	list = append(list, keepers.indexes...)
	for _, i := range others.indexes {
		if !slices.Contains(keepers.indexes, i) {
			list = append(list, i)
		}
	}
	return list
}
