package routing

import (
	"math"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// maxRanked limits the servers that one decision ranks. A request asks for admission
// at up to six servers and is sent at most three times.
const maxRanked = 9

// rankedServer identifies a server by its index in its group. It holds no pointer, so
// moving it needs no write barrier.
type rankedServer struct {
	hash  uint64
	index int32
	group int32
}

// topK keeps the k servers with the highest hashes.
type topK struct {
	best [maxRanked]rankedServer
	n, k int
}

// offer keeps the server if it is among the best k. It returns the hash that the next
// server must exceed.
func (t *topK) offer(p rankedServer) uint64 {
	pos := t.n
	if pos == t.k {
		pos--
		if t.best[pos].hash >= p.hash {
			return t.best[pos].hash
		}
	} else {
		t.n++
	}
	for pos > 0 && t.best[pos-1].hash < p.hash {
		t.best[pos] = t.best[pos-1]
		pos--
	}
	t.best[pos] = p
	if t.n < t.k {
		return 0
	}
	return t.best[t.k-1].hash
}

// rendezvousScorer computes the weighted rendezvous score of a raw hash. For one
// weight the score is monotonic in the hash.
type rendezvousScorer struct{ weight float64 }

func (r rendezvousScorer) score(hash uint64) float64 { return fleet.ScoreOf(hash, r.weight) }

// Rank appends the eligible servers of the pool to dst, by descending rendezvous
// score for the chat, up to the capacity of dst and at most maxRanked. It ignores the
// ramp of returning data centres.
func (v *View) Rank(pool fleet.PoolID, chat fleet.ChatKey, dst []*manifest.Server) []*manifest.Server {
	return v.RankAt(pool, chat, time.Time{}, dst)
}

// RankAt is Rank with the ramp of returning data centres applied as of now. It does
// not allocate.
func (v *View) RankAt(pool fleet.PoolID, chat fleet.ChatKey, now time.Time, dst []*manifest.Server) []*manifest.Server {
	p := v.pools[pool]
	if p == nil {
		return dst
	}
	var keep *ReturnFilter
	if p.hasReturned && !now.IsZero() {
		keep = &ReturnFilter{Ramp: p.ramp, Now: now, chat: chat}
	}
	start := len(dst)
	if dst = p.rank(chat, keep, dst); len(dst) == start && keep != nil {
		// All servers are in data centres that just returned: a cold cache is better than no
		// server.
		dst = p.rank(chat, nil, dst)
	}
	return dst
}

func (p *poolView) rank(chat fleet.ChatKey, keep *ReturnFilter, dst []*manifest.Server) []*manifest.Server {
	k := min(cap(dst)-len(dst), maxRanked)
	if k <= 0 {
		return dst
	}
	if p.table != nil {
		for _, r := range p.table.bucket(chat)[:k] {
			if g := &p.groups[r.group]; keep.keep(g, int(r.index)) {
				dst = append(dst, g.servers[r.index])
			}
		}
		return dst
	}
	top := topK{k: k}
	p.scan(&top, p.rankKey(chat), keep)
	for _, b := range top.best[:top.n] {
		dst = append(dst, p.groups[b.group].servers[b.index])
	}
	return dst
}

// scan ranks the servers of the pool. Servers of different weights are compared by
// the bits of their scores: scores are positive, so the bits have the same order.
func (p *poolView) scan(top *topK, key uint64, keep *ReturnFilter) {
	for i := range p.groups {
		g := &p.groups[i]
		if len(p.groups) == 1 {
			g.scan(top, key, keep)
			return
		}
		one := topK{k: top.k}
		g.scan(&one, key, keep)
		scorer := rendezvousScorer{g.weight}
		for _, b := range one.best[:one.n] {
			b.hash, b.group = math.Float64bits(scorer.score(b.hash)), int32(i)
			top.offer(b)
		}
	}
}

func (g *weightGroup) scan(top *topK, key uint64, keep *ReturnFilter) {
	floor := uint64(0)
	for i, h := range g.hashes {
		if m := fleet.FastMix(key, h); m > floor && keep.keep(g, i) {
			floor = top.offer(rankedServer{hash: m, index: int32(i)})
		}
	}
}

// keep reports whether the chat may use the server; a nil filter keeps all.
func (f *ReturnFilter) keep(g *weightGroup, number int) bool {
	return f == nil || f.Keep(g.dcHashes[number], g.returnedAt[number])
}
