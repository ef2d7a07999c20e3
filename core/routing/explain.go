package routing

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Rules that determine the chosen server.
const (
	RuleRendezvous = "rendezvous_first"
	RuleRecent     = "recent_engine"
	RuleNone       = "no_eligible_server"
)

// Candidate is one server of a pool in a decision.
type Candidate struct {
	Server     fleet.ServerID     `json:"server"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Score      float64            `json:"score"`
	Eligible   bool               `json:"eligible"`
	// Rule is the filter that excluded the server, or empty.
	Rule string `json:"rule,omitempty"`
}

// Decision explains the ranking of a chat.
type Decision struct {
	Version uint64        `json:"version"`
	Pool    fleet.PoolID  `json:"pool"`
	Chat    fleet.ChatKey `json:"chat"`
	// Candidates holds all servers of the pool, eligible ones first, by descending score.
	Candidates []Candidate `json:"candidates"`
	// Chosen is the first choice, or empty.
	Chosen fleet.ServerID `json:"chosen,omitempty"`
	// Rule is the rule that determined the choice.
	Rule string `json:"rule"`
	// CachedTokens is the number of prompt tokens expected in the cache of Chosen.
	CachedTokens int `json:"cached_tokens"`
}

// Explain returns the decision for a chat with its reasons. recent may be nil.
func (v *View) Explain(pool fleet.PoolID, chat fleet.ChatKey, now time.Time, recent *RecentChats) Decision {
	d := Decision{Version: v.Index.Version, Pool: pool, Chat: chat, Rule: RuleNone}
	p := v.pools[pool]
	if p == nil {
		p = &poolView{}
	}
	filter := ReturnFilter{Ramp: p.ramp, Now: now, chat: chat}
	for _, s := range v.Index.Servers(pool) {
		c := Candidate{Server: s.Name, DataCentre: s.DataCentre, Rule: v.droppedBy(s)}
		c.Score = rendezvousScorer{s.Weight}.score(fleet.FastMix(p.rankKey(chat), fleet.HashID(string(s.Name))))
		if c.Rule == "" && !filter.Keep(fleet.HashID(string(s.DataCentre)), v.returnTimes[s.DataCentre]) {
			c.Rule = filter.Rule()
		}
		c.Eligible = c.Rule == ""
		d.Candidates = append(d.Candidates, c)
	}
	slices.SortStableFunc(d.Candidates, func(a, b Candidate) int {
		if a.Eligible != b.Eligible {
			if a.Eligible {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.Score, a.Score)
	})
	var buf [maxRanked]*manifest.Server
	ranked := v.RankAt(pool, chat, now, buf[:0])
	if len(ranked) == 0 {
		return d
	}
	first := ranked[0]
	d.Rule = RuleRendezvous
	if recent != nil {
		ranked, d.CachedTokens = recent.Promote(v, pool, chat, now, ranked)
		if ranked[0] != first {
			d.Rule = RuleRecent
		}
	}
	d.Chosen = ranked[0].Name
	return d
}
