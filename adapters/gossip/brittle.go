package gossip

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// Field numbers of the brittle pools, which are encoded by hand: the report has a repeated
// message with the pool, the refusals per second, and the remaining time in ms.
const (
	fieldBrittle          protowire.Number = 40
	fieldBrittlePool      protowire.Number = 1
	fieldBrittleLimit     protowire.Number = 2
	fieldBrittleRemaining protowire.Number = 3
)

// maxBrittlePools limits the brittle pools in a report.
const maxBrittlePools = 64

// encodeBrittle adds the brittle pools to a message as a field that earlier builds ignore.
func encodeBrittle(m *gossippb.Report, list []placement.BrittlePool) {
	var out []byte
	for _, p := range list[:min(len(list), maxBrittlePools)] {
		var b []byte
		b = protowire.AppendString(protowire.AppendTag(b, fieldBrittlePool, protowire.BytesType), string(p.Pool))
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldBrittleLimit, protowire.VarintType), uint64(max(0, p.Limit)))
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldBrittleRemaining, protowire.VarintType), uint64(max(0, p.Remaining.Milliseconds())))
		out = protowire.AppendBytes(protowire.AppendTag(out, fieldBrittle, protowire.BytesType), b)
	}
	if len(out) > 0 {
		m.ProtoReflect().SetUnknown(out)
	}
}

// decodeBrittle returns the brittle pools of a message.
func decodeBrittle(m *gossippb.Report) []placement.BrittlePool {
	var out []placement.BrittlePool
	for b := []byte(m.ProtoReflect().GetUnknown()); len(b) > 0; {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return out
		}
		size := protowire.ConsumeFieldValue(num, kind, b[n:])
		if size < 0 {
			return out
		}
		if num == fieldBrittle && kind == protowire.BytesType && len(out) < maxBrittlePools {
			value, _ := protowire.ConsumeBytes(b[n:])
			if p, ok := decodeBrittlePool(value); ok {
				out = append(out, p)
			}
		}
		b = b[n+size:]
	}
	return out
}

func decodeBrittlePool(b []byte) (placement.BrittlePool, bool) {
	var p placement.BrittlePool
	for len(b) > 0 {
		num, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return p, false
		}
		size := protowire.ConsumeFieldValue(num, kind, b[n:])
		if size < 0 {
			return p, false
		}
		value := b[n : n+size]
		switch {
		case num == fieldBrittlePool && kind == protowire.BytesType:
			s, _ := protowire.ConsumeString(value)
			p.Pool = fleet.PoolID(s)
		case kind == protowire.VarintType:
			v, _ := protowire.ConsumeVarint(value)
			v = min(v, 1<<31-1)
			switch num {
			case fieldBrittleLimit:
				p.Limit = int(v)
			case fieldBrittleRemaining:
				p.Remaining = time.Duration(v) * time.Millisecond
			}
		}
		b = b[n+size:]
	}
	return p, p.Pool != "" && p.Limit > 0
}
