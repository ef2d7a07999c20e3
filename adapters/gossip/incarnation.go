package gossip

import (
	"google.golang.org/protobuf/encoding/protowire"

	"cyclamenhitch/adapters/gossip/gossippb"
)

// Field numbers of the incarnations that are encoded by hand.
const (
	fieldKnownIncarnation protowire.Number = 41
	fieldStart            protowire.Number = 42
)

// encodeIncarnations adds the incarnations to a message as fields that earlier builds ignore.
func encodeIncarnations(m *gossippb.Report, r *Report) {
	b := m.ProtoReflect().GetUnknown()
	if r.KnownIncarnation > 0 {
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldKnownIncarnation, protowire.VarintType), r.KnownIncarnation)
	}
	if r.Start > 0 && r.Start != r.From.Incarnation {
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldStart, protowire.VarintType), r.Start)
	}
	if len(b) > 0 {
		m.ProtoReflect().SetUnknown(b)
	}
}

// decodeIncarnations sets the incarnations of a report.
func decodeIncarnations(m *gossippb.Report, r *Report) {
	for b := []byte(m.ProtoReflect().GetUnknown()); len(b) > 0; {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return
		}
		size := protowire.ConsumeFieldValue(num, kind, b[n:])
		if size < 0 {
			return
		}
		if kind == protowire.VarintType {
			v, _ := protowire.ConsumeVarint(b[n:])
			switch num {
			case fieldKnownIncarnation:
				r.KnownIncarnation = v
			case fieldStart:
				r.Start = v
			}
		}
		b = b[n+size:]
	}
}
