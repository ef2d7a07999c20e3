package routing

import (
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// maxPicked bounds the servers that one decision ranks. A request asks for four
// permits and sends at most three times.
const maxPicked = 8

// picked is a server with its score, or with its raw hash before scoring.
type picked struct {
	hash   uint64
	score  float64
	server *manifest.Server
}

// topPicker keeps the servers with the highest hashes of one weight group.
type topPicker struct {
	best [maxPicked]picked
	n, k int
}

// offer keeps the server if it is among the best k.
func (t *topPicker) offer(hash uint64, s *manifest.Server) {
	pos := t.n
	if pos == t.k {
		pos--
		if t.best[pos].hash >= hash {
			return
		}
	} else {
		t.n++
	}
	for pos > 0 && t.best[pos-1].hash < hash {
		t.best[pos] = t.best[pos-1]
		pos--
	}
	t.best[pos] = picked{hash: hash, server: s}
}

// merge inserts the server by score among the best k.
func (t *topPicker) merge(p picked) {
	pos := t.n
	if pos == t.k {
		pos--
		if t.best[pos].score >= p.score {
			return
		}
	} else {
		t.n++
	}
	for pos > 0 && t.best[pos-1].score < p.score {
		t.best[pos] = t.best[pos-1]
		pos--
	}
	t.best[pos] = p
}

// rendezvousScorer gives the weighted rendezvous score of a raw hash. It is
// monotonic in the hash for one weight.
type rendezvousScorer struct{ weight float64 }

func (r rendezvousScorer) score(hash uint64) float64 { return fleet.ScoreOf(hash, r.weight) }

// Rank appends the eligible servers of the pool to dst, by rendezvous score
// for the chat, best first, up to the capacity of dst and at most 8. It does
// not apply the ramp of returning data centres.
func (v *View) Rank(pool fleet.PoolID, chat fleet.ChatKey, dst []*manifest.Server) []*manifest.Server {
	return v.RankAt(pool, chat, time.Time{}, dst)
}

// RankAt is Rank with the ramp of returning data centres as of now. It does not
// allocate.
func (v *View) RankAt(pool fleet.PoolID, chat fleet.ChatKey, now time.Time, dst []*manifest.Server) []*manifest.Server {
	p := v.pools[pool]
	if p == nil {
		return dst
	}
	k := min(cap(dst)-len(dst), maxPicked)
	if k <= 0 {
		return dst
	}
	var top topPicker
	p.pick(&top, chat, now, k)
	if top.n == 0 && p.returning {
		// Every server is in a data centre that just came back: a cold cache
		// is better than no server.
		p.pick(&top, chat, time.Time{}, k)
	}
	for i := range top.n {
		dst = append(dst, top.best[i].server)
	}
	return dst
}

// pick ranks the servers of the pool; a zero now means no ramp.
func (p *poolView) pick(top *topPicker, chat fleet.ChatKey, now time.Time, k int) {
	filter := ReturnFilter{Ramp: p.ramp, Now: now}
	ramped := p.returning && !now.IsZero()
	top.k = k
	if len(p.groups) == 1 {
		p.groups[0].pick(top, chat, ramped, filter)
		return
	}
	for i := range p.groups {
		g := &p.groups[i]
		one := topPicker{k: k}
		g.pick(&one, chat, ramped, filter)
		scorer := rendezvousScorer{g.weight}
		for j := range one.n {
			one.best[j].score = scorer.score(one.best[j].hash)
			top.merge(one.best[j])
		}
	}
}

// rankKey spreads the bits of a chat key, as Fold alone does not.
func rankKey(chat fleet.ChatKey) uint64 { return fleet.Mix(uint64(chat), 1) }

func (g *group) pick(top *topPicker, chat fleet.ChatKey, ramped bool, filter ReturnFilter) {
	floor := uint64(0)
	key := rankKey(chat)
	for i, h := range g.hashes {
		m := fleet.Fold(key, h)
		if m < floor {
			continue
		}
		if ramped && !filter.Keep(chat, g.dcs[i], g.returned[i]) {
			continue
		}
		top.offer(m, g.servers[i])
		if top.n == top.k {
			floor = top.best[top.n-1].hash
		}
	}
}
