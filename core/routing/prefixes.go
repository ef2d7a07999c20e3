package routing

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Units of the fields of a Prefix.
const (
	PrefixTokenUnit = tokenUnit
	PrefixAgeUnit   = recentTick
)

// PrefixRecord is one record of Recent on its way to another instance, which has its
// own clock.
type PrefixRecord struct {
	Chat   fleet.ChatKey
	Tokens uint16 // in units of PrefixTokens
	Age    uint16 // since the last use, in units of PrefixAge
}

// Prefixes returns the records of some servers that were last used from a time
// of each server on and before until, in one scan of the table. The times are
// rounded down to PrefixAge, so that adjoining intervals neither share nor miss
// a record.
func (r *RecentChats) Prefixes(now, until time.Time, since map[fleet.ServerID]time.Time) map[fleet.ServerID][]PrefixRecord {
	type wanted struct {
		server fleet.ServerID
		oldest int // age in ticks
	}
	t := r.tick(now)
	newest := int(int16(t - r.tick(until)))
	want := make(map[uint32]wanted, len(since))
	for s, from := range since {
		w := wanted{s, int(PrefixTTL/recentTick) - 1}
		if age := now.Sub(from); age < PrefixTTL {
			w.oldest = min(w.oldest, int(t-r.tick(from)))
		}
		want[uint32(fleet.HashID(string(s)))] = w
	}
	out := make(map[fleet.ServerID][]PrefixRecord, len(since))
	for i := range r.shards {
		sh := &r.shards[i]
		sh.mu.Lock()
		for j := range sh.sets {
			for _, e := range sh.sets[j] {
				if e.chat == 0 {
					continue
				}
				w, ok := want[e.server]
				if age := int(t - e.used); ok && age > newest && age <= w.oldest {
					out[w.server] = append(out[w.server], PrefixRecord{e.chat, e.tokens, uint16(age)})
				}
			}
		}
		sh.mu.Unlock()
	}
	return out
}

// Merge takes records of a server from another instance. A record of the same
// chat that was used since is kept.
func (r *RecentChats) Merge(now time.Time, server fleet.ServerID, ps []PrefixRecord) {
	t, low := r.tick(now), uint32(fleet.HashID(string(server)))
	for _, p := range ps {
		if p.Chat == 0 || time.Duration(p.Age)*recentTick >= PrefixTTL {
			continue
		}
		r.put(t, recentEntry{p.Chat, low, t - p.Age, p.Tokens})
	}
}
