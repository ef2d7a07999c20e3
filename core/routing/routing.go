// Package routing ranks the backend servers of a pool for a chat. It reads an
// immutable view and keeps no state.
package routing

import (
	"slices"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// View is the set of servers that may receive work, for one configuration
// version. It is immutable; a change builds a new View.
type View struct {
	Index *manifest.Index
	pools map[fleet.PoolID][]node
}

type node struct {
	hash   uint64
	server *manifest.Server
}

// NewView returns the view of all eligible servers of the index.
func NewView(x *manifest.Index) *View {
	v := &View{Index: x, pools: map[fleet.PoolID][]node{}}
	for i := range x.Manifest.Servers {
		s := &x.Manifest.Servers[i]
		if x.MayReceive(s) {
			v.pools[s.Pool] = append(v.pools[s.Pool], node{fleet.HashID(string(s.Name)), s})
		}
	}
	return v
}

// Rank appends the eligible servers of the pool to dst, by rendezvous score
// for the chat, best first, up to the capacity of dst.
func (v *View) Rank(pool fleet.PoolID, chat fleet.ChatKey, dst []*manifest.Server) []*manifest.Server {
	type scored struct {
		score float64
		s     *manifest.Server
	}
	all := make([]scored, 0, len(v.pools[pool]))
	for _, n := range v.pools[pool] {
		all = append(all, scored{fleet.Score(uint64(chat), n.hash, n.server.Weight), n.server})
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	for _, a := range all {
		if len(dst) == cap(dst) {
			break
		}
		dst = append(dst, a.s)
	}
	return dst
}
