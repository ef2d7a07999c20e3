package routing

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

const (
	// recentEntries bounds the table; at 16 bytes an entry it takes 1 MiB. One
	// instance of 370 serves about 6,000 of 2.2 million chats.
	recentEntries = 65536
	recentWays    = 4
	recentShards  = 64
	// recentTick is the resolution of the time of last use. 16 bits of it span
	// 36 hours.
	recentTick = 2 * time.Second
	// tokenUnit is the resolution of the prefix length, in tokens.
	tokenUnit = 16
	// PrefixTTL is how long an engine is expected to keep the prefix of a chat. An
	// older entry no longer keeps a chat away from its first engine. With 30 min,
	// evicted prefixes were taken for cached ones: the load was underestimated
	// and an engine reached 1.44 times the mean.
	PrefixTTL = 5 * time.Minute
)

// recentEntry is 16 bytes.
type recentEntry struct {
	chat   fleet.ChatKey
	server uint32 // low half of the server's hash
	used   uint16 // in units of recentTick
	tokens uint16 // in units of tokenUnit
}

type recentShard struct {
	mu   sync.Mutex
	sets [recentEntries / recentWays / recentShards][recentWays]recentEntry
}

// RecentChats records the last engine of an instance's recent chats and the prompt
// length it has seen. It keeps a chat on an alternative engine while that is
// warm, and tells how much of a prompt is expected in the cache. It is bounded:
// a new entry replaces the least recently used one of its set.
type RecentChats struct {
	start  time.Time
	shards [recentShards]recentShard
}

// NewRecentChats returns an empty table; start is the zero of its clock.
func NewRecentChats(start time.Time) *RecentChats { return &RecentChats{start: start} }

func (r *RecentChats) tick(now time.Time) uint16 { return uint16(now.Sub(r.start) / recentTick) }

func (r *RecentChats) set(chat fleet.ChatKey) (*recentShard, *[recentWays]recentEntry) {
	h := fleet.Mix(uint64(chat), 0)
	sh := &r.shards[h%recentShards]
	return sh, &sh.sets[h/recentShards%uint64(len(sh.sets))]
}

// Record records that the server holds a prefix of tokens of the chat.
func (r *RecentChats) Record(chat fleet.ChatKey, server fleet.ServerID, tokens int, now time.Time) {
	if chat == 0 {
		return // 0 marks an empty entry
	}
	t := r.tick(now)
	r.put(t, recentEntry{chat, uint32(fleet.HashID(string(server))), t, uint16(min(max(tokens, 0)/tokenUnit, 1<<16-1))})
}

// put stores an entry at tick t, unless what it would replace was used later.
func (r *RecentChats) put(t uint16, e recentEntry) {
	sh, set := r.set(e.chat)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	victim := 0
	for i := range set {
		if set[i].chat == e.chat {
			victim = i
			break
		}
		if set[victim].chat != 0 && (set[i].chat == 0 || t-set[i].used > t-set[victim].used) {
			victim = i
		}
	}
	if v := set[victim]; v.chat == 0 || t-v.used >= t-e.used {
		set[victim] = e
	}
}

// Forget drops the chat, for example when its engine lost its cache.
func (r *RecentChats) Forget(chat fleet.ChatKey) {
	sh, set := r.set(chat)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for i := range set {
		if set[i].chat == chat {
			set[i] = recentEntry{}
		}
	}
}

// CachedTokens returns the prompt tokens of the chat expected in the server's cache.
func (r *RecentChats) CachedTokens(chat fleet.ChatKey, server fleet.ServerID, now time.Time) int {
	tokens, _ := r.LastUse(chat, server, now)
	return tokens
}

// LastUse returns the prompt tokens of the chat that the server's cache may hold,
// and the time of their last use, at most recentTick too early.
func (r *RecentChats) LastUse(chat fleet.ChatKey, server fleet.ServerID, now time.Time) (int, time.Time) {
	e, ok := r.find(chat, now)
	if !ok || e.server != uint32(fleet.HashID(string(server))) {
		return 0, time.Time{}
	}
	age := time.Duration(r.tick(now)-e.used) * recentTick
	return int(e.tokens) * tokenUnit, now.Add(-age)
}

// ForgetServer drops all chats of a server that lost its cache.
func (r *RecentChats) ForgetServer(server fleet.ServerID) {
	low := uint32(fleet.HashID(string(server)))
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for j := range sh.sets {
			for k := range sh.sets[j] {
				if sh.sets[j][k].server == low {
					sh.sets[j][k] = recentEntry{}
				}
			}
		}
		sh.mu.Unlock()
	}
}

func (r *RecentChats) find(chat fleet.ChatKey, now time.Time) (recentEntry, bool) {
	sh, set := r.set(chat)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for i := range set {
		if set[i].chat == chat && time.Duration(r.tick(now)-set[i].used)*recentTick < PrefixTTL {
			return set[i], true
		}
	}
	return recentEntry{}, false
}

// Promote moves the chat's last engine to the front of ranked and returns the
// prompt tokens expected in its cache. An engine that is not eligible any more,
// or is not among all, is not used.
func (r *RecentChats) Promote(v *View, pool fleet.PoolID, chat fleet.ChatKey, now time.Time, ranked []*manifest.Server) ([]*manifest.Server, int) {
	e, ok := r.find(chat, now)
	if !ok || len(ranked) == 0 {
		return ranked, 0
	}
	s := v.byHash(pool, e.server)
	if s == nil {
		return ranked, 0
	}
	pos := len(ranked) - 1
	for i := range ranked {
		if ranked[i] == s {
			pos = i
			break
		}
	}
	copy(ranked[1:pos+1], ranked[:pos])
	ranked[0] = s
	return ranked, int(e.tokens) * tokenUnit
}

// byHash returns the eligible server whose hash ends in low, or nil.
func (v *View) byHash(pool fleet.PoolID, low uint32) *manifest.Server {
	p := v.pools[pool]
	if p == nil {
		return nil
	}
	for i := range p.groups {
		for j, h := range p.groups[i].hashes {
			if uint32(h) == low {
				return p.groups[i].servers[j]
			}
		}
	}
	return nil
}
