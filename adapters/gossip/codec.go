package gossip

import (
	"math"
	"time"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/roster"
)

func encode(r *Report) *gossippb.Report {
	m := &gossippb.Report{
		Instance: string(r.From.ID), Incarnation: r.From.Incarnation, DataCentre: string(r.From.DataCentre),
		CallerAddress: r.From.Caller, PeerAddress: r.From.Peer, Serving: r.From.Serving, Leaving: r.From.Leaving,
		ConfigVersion: r.From.Version, ReadsStore: r.From.ReadsStore, LinkMbps: uint32(max(0, r.From.LinkMbps)), Sent: int64(r.Sent), Echo: int64(r.Echo),
		Confirmed: r.Confirmed, ConfirmedAgeMs: uint32((r.ConfirmedAge + time.Millisecond - 1) / time.Millisecond),
		Loads: encodeLoads(r.Loads), Suspicions: encodeSuspicions(r.Suspicions), Placed: encodePlacements(r.Placements),
		WantsDigest: r.WantsDigest, HoldsIncarnation: r.HeldList.Incarnation, HoldsVersion: r.HeldList.Version, Spare: r.HasOtherLoadSource, StoreEra: r.StoreEra,
		Rollouts: encodeRollouts(r.Rollouts),
	}
	for i := range r.Evidence {
		m.Evidence = append(m.Evidence, encodeEvidence(&r.Evidence[i]))
	}
	for pool, rate := range r.ReadRates {
		m.Paces = append(m.Paces, &gossippb.Pace{Pool: string(pool), TokensPerMilli: float32(rate)})
	}
	m.Demand = encodeDemand(r.Demand)
	encodeBrittle(m, r.Brittle)
	encodeIncarnations(m, r)
	if r.Digest != nil {
		m.Digest = encodeDigest(r.Digest)
	}
	return m
}

func encodeDigest(d *Digest) *gossippb.Digest {
	m := &gossippb.Digest{
		Base: d.Members.Base, Version: d.Members.Version, Partial: d.Members.LoadsUnknown, WithoutLoads: d.WithoutLoads,
		Loads: encodeLoads(d.Loads), Suspicions: encodeSuspicions(d.Suspicions), Placed: encodePlacements(d.Placements),
		Rollouts: encodeRollouts(d.Rollouts),
	}
	m.Demand = encodeDemand(d.Demand)
	for _, p := range d.Members.Members {
		m.Members = append(m.Members, &gossippb.Member{
			Instance: string(p.ID), Incarnation: p.Incarnation, DataCentre: string(p.DataCentre), CallerAddress: p.Caller,
			PeerAddress: p.Peer, Serving: p.Serving, Leaving: p.Leaving, ReadsStore: p.ReadsStore, LinkMbps: uint32(max(0, p.LinkMbps)),
		})
	}
	for _, id := range d.Members.Removed {
		m.Gone = append(m.Gone, string(id))
	}
	return m
}

func encodeLoads(loads map[fleet.ServerID]placement.Load) []*gossippb.ServerLoad {
	out := make([]*gossippb.ServerLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, &gossippb.ServerLoad{Server: string(id), Running: uint32(max(0, l.Running)), Unread: uint32(max(0, l.Unread))})
	}
	return out
}

func encodeSuspicions(list []placement.Suspicion) []*gossippb.Suspicion {
	out := make([]*gossippb.Suspicion, 0, len(list))
	for _, x := range list {
		out = append(out, &gossippb.Suspicion{Server: string(x.Server), RestMs: uint32(x.Remaining.Milliseconds())})
	}
	return out
}

func encodePlacements(list []placement.Placement) []*gossippb.Placed {
	out := make([]*gossippb.Placed, 0, len(list))
	for _, p := range list {
		w := &gossippb.Placed{Server: string(p.Server)}
		for _, part := range p.Parts {
			w.Part = append(w.Part, part.ID)
			w.Tokens = append(w.Tokens, uint32(part.Tokens))
		}
		out = append(out, w)
	}
	return out
}

func decode(m *gossippb.Report) *Report {
	r := &Report{
		From: roster.Peer{
			ID: fleet.InstanceID(m.Instance), Incarnation: m.Incarnation, DataCentre: fleet.DataCentreID(m.DataCentre),
			Caller: m.CallerAddress, Peer: m.PeerAddress, Serving: m.Serving, Leaving: m.Leaving, Version: m.ConfigVersion, ReadsStore: m.ReadsStore,
			LinkMbps: int(m.LinkMbps),
		},
		Sent: time.Duration(m.Sent), Echo: time.Duration(m.Echo),
		Confirmed: m.Confirmed, ConfirmedAge: time.Duration(m.ConfirmedAgeMs) * time.Millisecond,
		Loads: decodeLoads(m.Loads), Suspicions: decodeSuspicions(m.Suspicions), Placements: decodePlacements(m.Placed),
		WantsDigest: m.WantsDigest, HeldList: roster.ListVersion{Incarnation: m.HoldsIncarnation, Version: m.HoldsVersion}, HasOtherLoadSource: m.Spare, StoreEra: m.StoreEra,
		Rollouts: decodeRollouts(m.Rollouts),
	}
	if len(m.Paces) > 0 {
		r.ReadRates = make(map[fleet.PoolID]float64, len(m.Paces))
	}
	for _, x := range m.Evidence {
		if len(x.Crash) == len(x.Account) && len(x.Crash) == len(x.AgeMs) {
			r.Evidence = append(r.Evidence, decodeEvidence(x))
		}
	}
	for _, x := range m.Paces {
		r.ReadRates[fleet.PoolID(x.Pool)] = float64(x.TokensPerMilli)
	}
	r.Demand = decodeDemand(m.Demand)
	r.Brittle = decodeBrittle(m)
	decodeIncarnations(m, r)
	if m.Digest != nil {
		r.Digest = decodeDigest(m.Digest)
	}
	return r
}

func encodeEvidence(e *quarantine.Evidence) *gossippb.Evidence {
	m := &gossippb.Evidence{
		Part: e.Part.ID, Pool: e.Part.Pool, Depth: uint32(max(0, e.Depth)), Proven: e.Proven, Contrasted: e.Contrasted, StoredLevel: uint32(max(0, e.StoredLevel)), Cleared: e.Cleared, ClearedAgeMs: encodeAge(e.ClearedAge),
	}
	for _, s := range e.Strikes {
		m.Crash = append(m.Crash, uint64(s.Crash))
		m.Account = append(m.Account, s.Account)
		m.AgeMs = append(m.AgeMs, encodeAge(s.Age))
	}
	return m
}

func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}

func decodeEvidence(m *gossippb.Evidence) quarantine.Evidence {
	e := quarantine.Evidence{
		Part: quarantine.PartKey{Pool: m.Pool, ID: m.Part}, Depth: int(m.Depth), Proven: m.Proven, Contrasted: m.Contrasted, StoredLevel: int(m.StoredLevel),
		Cleared: m.Cleared, ClearedAge: time.Duration(m.ClearedAgeMs) * time.Millisecond,
	}
	for i := range m.Crash {
		e.Strikes = append(e.Strikes, quarantine.Strike{Crash: quarantine.Crash(m.Crash[i]), Account: m.Account[i], Age: time.Duration(m.AgeMs[i]) * time.Millisecond})
	}
	return e
}

func decodeDigest(m *gossippb.Digest) *Digest {
	d := &Digest{
		Members:      roster.Digest{Base: m.Base, Version: m.Version, LoadsUnknown: m.Partial},
		WithoutLoads: m.WithoutLoads,
		Loads:        decodeLoads(m.Loads), Suspicions: decodeSuspicions(m.Suspicions), Placements: decodePlacements(m.Placed),
		Rollouts: decodeRollouts(m.Rollouts),
	}
	d.Demand = decodeDemand(m.Demand)
	for _, p := range m.Members {
		if p.Incarnation > roster.MaxIncarnation {
			continue
		}
		d.Members.Members = append(d.Members.Members, roster.Peer{
			ID: fleet.InstanceID(p.Instance), Incarnation: p.Incarnation, DataCentre: fleet.DataCentreID(p.DataCentre), Caller: p.CallerAddress,
			Peer: p.PeerAddress, Serving: p.Serving, Leaving: p.Leaving, ReadsStore: p.ReadsStore, LinkMbps: int(p.LinkMbps),
		})
	}
	for _, id := range m.Gone {
		d.Members.Removed = append(d.Members.Removed, fleet.InstanceID(id))
	}
	return d
}

func decodeLoads(list []*gossippb.ServerLoad) map[fleet.ServerID]placement.Load {
	out := make(map[fleet.ServerID]placement.Load, len(list))
	for _, l := range list {
		out[fleet.ServerID(l.Server)] = placement.Load{Running: int(l.Running), Unread: int(l.Unread)}
	}
	return out
}

func decodeSuspicions(list []*gossippb.Suspicion) []placement.Suspicion {
	out := make([]placement.Suspicion, 0, len(list))
	for _, x := range list {
		out = append(out, placement.Suspicion{Server: fleet.ServerID(x.Server), Remaining: time.Duration(x.RestMs) * time.Millisecond})
	}
	return out
}

func decodePlacements(list []*gossippb.Placed) []placement.Placement {
	out := make([]placement.Placement, 0, len(list))
	for _, p := range list {
		if len(p.Part) != len(p.Tokens) {
			continue
		}
		placed := placement.Placement{Server: fleet.ServerID(p.Server)}
		for i := range p.Part {
			placed.Parts = append(placed.Parts, placement.Part{ID: p.Part[i], Tokens: int(p.Tokens[i])})
		}
		out = append(out, placed)
	}
	return out
}
