package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a hash that moves keys between nodes that stay: a removed
// instance or engine must move only its own chats, or caches go cold.
func TestBestMovesOnlyKeysOfRemovedNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "nodes")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		key := rapid.Uint64().Draw(t, "key")
		var all, rest []uint64
		for i := range n {
			h := HashID(fmt.Sprintf("node-%d", i))
			all = append(all, h)
			if i != removed {
				rest = append(rest, h)
			}
		}
		before := all[TopRanked(nil, key, all, 1)[0]]
		after := rest[TopRanked(nil, key, rest, 1)[0]]
		if before != all[removed] && before != after {
			t.Fatalf("key %x moved from %x to %x when %x was removed", key, before, after, all[removed])
		}
	})
}

// Guards against a wrong order or a lost node when fewer are asked for than exist.
func TestBestIsOrderedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 30, rapid.ID[uint64]).Draw(t, "nodes")
		key := rapid.Uint64().Draw(t, "key")
		full := TopRanked(nil, key, nodes, len(nodes))
		for i := 1; i < len(full); i++ {
			if Mix(key, nodes[full[i-1]]) < Mix(key, nodes[full[i]]) {
				t.Fatalf("rank %d has a lower score than rank %d", i-1, i)
			}
		}
		k := rapid.IntRange(0, len(nodes)).Draw(t, "k")
		for i, idx := range TopRanked(nil, key, nodes, k) {
			if idx != full[i] {
				t.Fatalf("Best(%d)[%d] = %d, want %d", k, i, idx, full[i])
			}
		}
	})
}

// Guards against skew: an uneven hash would put some engines above the load
// bound with even traffic. 24 engines and 24,000 keys give a mean of 1,000 with
// a standard deviation of 31; 5 deviations are allowed.
func TestScoreSpreadsKeysByWeight(t *testing.T) {
	const nodes, keys = 24, 24000
	weight := func(n int) float64 {
		if n == 0 {
			return 2
		}
		return 1
	}
	counts := make([]int, nodes)
	for k := range keys {
		key := uint64(HashChatKey(fmt.Appendf(nil, "chat-%d", k)))
		best, bestScore := 0, 0.0
		for n := range nodes {
			if s := Score(key, HashID(fmt.Sprintf("engine-%d", n)), weight(n)); s > bestScore {
				best, bestScore = n, s
			}
		}
		counts[best]++
	}
	for n, c := range counts {
		want := weight(n) * keys / (nodes + 1)
		if diff := float64(c) - want; diff > 5*45 || diff < -5*45 {
			t.Errorf("node %d got %d keys, want about %.0f", n, c, want)
		}
	}
}
