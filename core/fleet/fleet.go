// Package fleet defines the identifiers shared by all decision logic, and
// rendezvous hashing over them. It holds no state.
package fleet

import (
	"math"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Identifiers as written in the manifest or the settings.
type (
	InstanceID      string
	ServerID        string // backend server: a model engine or a plain-service server
	DataCentreID    string
	RegionID        string
	ClientAccountID string
	PoolID          string
)

// ChatKey identifies a chat; it is the hash of the chat id or, without one,
// of the first messages of the prompt.
type ChatKey uint64

// HashChatKey hashes s to a ChatKey.
func HashChatKey(s []byte) ChatKey { return ChatKey(xxhash.Sum64(s)) }

// HashID hashes an identifier for use with Score.
func HashID(s string) uint64 { return xxhash.Sum64String(s) }

// Mix combines two hashes into an evenly distributed one.
func Mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	x := hi ^ lo
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}

// FastMix is a cheaper Mix for ranking many nodes for one key. One multiplication
// keeps a ranking of 600 engines under 2 µs.
func FastMix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return hi ^ lo
}

// Score is the rendezvous score of a node for a key; the highest wins.
// A node with weight 0 never wins. Removing a node moves only its own keys.
func Score(key, node uint64, weight float64) float64 {
	return ScoreOf(Mix(key, node), weight)
}

// ScoreOf is Score for a hash from Mix or Fold. For one weight it grows with the hash.
func ScoreOf(hash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	u := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// TopRanked returns the indexes of the k nodes with the highest scores for key,
// best first, appended to dst. Nodes are hashes from HashID, equal weights.
func TopRanked(dst []int, key uint64, nodes []uint64, k int) []int {
	start := len(dst)
	for i, n := range nodes {
		s := Mix(key, n)
		pos := len(dst)
		for pos > start && Mix(key, nodes[dst[pos-1]]) < s {
			pos--
		}
		if pos-start >= k {
			continue
		}
		if len(dst)-start < k {
			dst = append(dst, 0)
		}
		copy(dst[pos+1:], dst[pos:])
		dst[pos] = i
	}
	return dst
}
