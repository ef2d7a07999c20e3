package routing

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// Units of the fields of PrefixRecord.
const (
	PrefixTokenUnit = tokenUnit
	PrefixAgeUnit   = recentTick
)

// PrefixRecord is a record of RecentChats in transit to another instance. It carries
// an age instead of a time because each instance has its own clock.
type PrefixRecord struct {
	Chat   fleet.ChatKey
	Tokens uint16 // in units of PrefixTokenUnit
	Age    uint16 // since the last use, in units of PrefixAgeUnit
}

// Prefixes returns, in one scan of the table, the records of the given servers whose
// last use is in the interval from the server's time in since, inclusive, to until,
// exclusive. Times are rounded down to PrefixAgeUnit, so that adjacent intervals
// neither share nor miss a record.
func (r *RecentChats) Prefixes(now, until time.Time, since map[fleet.ServerID]time.Time) map[fleet.ServerID][]PrefixRecord {
	type wanted struct {
		server fleet.ServerID
		oldest int // in ticks
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

// Merge adds the records of a server that another instance sent. It keeps a record of
// the same chat that was used more recently.
func (r *RecentChats) Merge(now time.Time, server fleet.ServerID, ps []PrefixRecord) {
	t, hashLow := r.tick(now), uint32(fleet.HashID(string(server)))
	for _, p := range ps {
		if p.Chat == 0 || time.Duration(p.Age)*recentTick >= PrefixTTL {
			continue
		}
		r.put(t, recentEntry{p.Chat, hashLow, t - p.Age, p.Tokens})
	}
}
