package permitpb

import (
	"math"
	"time"

	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/routing"
)

// EncodeCopies returns copies as they are sent.
func EncodeCopies(ks []admission.Copy) []*Copy {
	out := make([]*Copy, 0, len(ks))
	for _, k := range ks {
		c := &Copy{Server: string(k.Server), Incarnation: k.Incarnation}
		if k.ColdAge >= 0 {
			c.ColdAgeMs = max(k.ColdAge.Milliseconds(), 1)
		}
		for _, p := range k.Prefixes {
			c.Chats = append(c.Chats, uint64(p.Chat))
			c.Tokens = append(c.Tokens, uint32(p.Tokens))
			c.Ages = append(c.Ages, uint32(p.Age))
		}
		out = append(out, c)
	}
	return out
}

// DecodeCopies returns received copies; incomplete records are left out.
func DecodeCopies(cs []*Copy) []admission.Copy {
	out := make([]admission.Copy, 0, len(cs))
	for _, c := range cs {
		k := admission.Copy{Server: fleet.ServerID(c.Server), Incarnation: c.Incarnation, ColdAge: -1}
		if c.ColdAgeMs > 0 {
			k.ColdAge = time.Duration(c.ColdAgeMs) * time.Millisecond
		}
		for i := range min(len(c.Chats), len(c.Tokens), len(c.Ages)) {
			k.Prefixes = append(k.Prefixes, routing.PrefixRecord{Chat: fleet.ChatKey(c.Chats[i]), Tokens: clampUint16(c.Tokens[i]), Age: clampUint16(c.Ages[i])})
		}
		out = append(out, k)
	}
	return out
}

func clampUint16(v uint32) uint16 { return uint16(min(v, math.MaxUint16)) }
