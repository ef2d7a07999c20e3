package servicetime

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// maxPeerCount limits each count that a peer sends, so that sums do not overflow.
const maxPeerCount = 1 << 20

// KindCounts are the times of one kind that an instance recorded, for other instances.
type KindCounts struct {
	Pool fleet.PoolID `json:"pool"`
	Name string       `json:"name"`
	// Whole counts times of whole requests, First those until the first part of the
	// response, Tokens those after it for 1,000 of the largest number of output tokens.
	Whole  Counts `json:"whole"`
	First  Counts `json:"first,omitempty"`
	Tokens Counts `json:"tokens,omitempty"`
	// Cut counts times of requests that ended before their response was whole, CutFirst those
	// of them before its first part.
	Cut      Counts `json:"cut,omitempty"`
	CutFirst Counts `json:"cut_first,omitempty"`
	// Recent counts the latest whole requests by the seconds since they began, Running those
	// under way; the last number includes all older ones.
	Recent  [recentSeconds]uint32 `json:"recent"`
	Running [recentSeconds]uint32 `json:"running"`
}

// Export returns the times that this instance recorded itself.
func (t *Tracker) Export(now time.Time) []KindCounts {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]KindCounts, 0, len(t.kinds))
	for k, r := range t.kinds {
		c := KindCounts{Pool: k.Pool, Name: k.Name, Whole: Counts{}, First: Counts{}, Tokens: Counts{}, Cut: Counts{}, CutFirst: Counts{}}
		r.mu.Lock()
		for _, g := range []*generation{&r.current, &r.previous} {
			g.whole.mergeInto(c.Whole)
			g.first.mergeInto(c.First)
			g.tokens.mergeInto(c.Tokens)
			g.cut.mergeInto(c.Cut)
			g.cutFirst.mergeInto(c.CutFirst)
		}
		c.Recent = r.recent.byAge(now)
		for run := range r.running {
			age := min(recentSeconds-1, max(0, int(now.Sub(run.began)/time.Second)))
			c.Running[age]++
		}
		r.mu.Unlock()
		out = append(out, c)
	}
	return out
}

// AddPeer adds the times that another instance recorded to the estimates of Risk. Kinds beyond
// the limit of kinds are left out.
func (t *Tracker) AddPeer(now time.Time, kinds []KindCounts) {
	for _, c := range kinds[:min(len(kinds), maxKinds)] {
		k := Kind{c.Pool, c.Name}
		if t.lookup(k) == nil && t.isFull() {
			continue
		}
		r := t.record(now, k)
		r.mu.Lock()
		for to, counts := range map[*histogram]Counts{
			&r.peers.whole: c.Whole, &r.peers.first: c.First, &r.peers.tokens: c.Tokens, &r.peers.cut: c.Cut, &r.peers.cutFirst: c.CutFirst,
		} {
			for bucket, n := range counts {
				to.add(bucket, min(n, maxPeerCount))
			}
		}
		for age, n := range c.Recent {
			r.recent.peers[age] += min(n, maxPeerCount)
			r.recent.peersRunning[age] += min(c.Running[age], maxPeerCount)
		}
		r.mu.Unlock()
	}
}

func (t *Tracker) isFull() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.kinds) >= maxKinds
}
