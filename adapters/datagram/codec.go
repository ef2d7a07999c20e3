// Package datagram carries the control datagrams between instances: a strict
// binary format with a keyed code, over a gnet UDP socket. It owns the socket.
package datagram

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

// formatVersion is the first byte of each datagram; another value is refused.
const formatVersion = 1

// macBytes is the length of the truncated HMAC-SHA256.
const macBytes = 16

// Flags of an update; the two lowest bits are the state.
const (
	flagState   = 3
	flagLeaving = 4
	flagFull    = 8
)

// maxIncarnation keeps room to refute; process start times in ms are far below.
const maxIncarnation = 1 << 62

var (
	errTooLong   = errors.New("a field or the datagram is too long")
	errMalformed = errors.New("malformed datagram")
	errBadMAC    = errors.New("the code of the datagram does not match the shared key")
)

// Encode appends the datagram for p with its code to dst, which must be empty.
func Encode(dst, key []byte, p *membership.Packet) ([]byte, error) {
	if p.WireBytes() > membership.MaxPacketBytes || len(p.Updates) > 255 {
		return nil, errTooLong
	}
	dst = append(dst, formatVersion, byte(p.Kind))
	dst = binary.BigEndian.AppendUint64(dst, p.Nonce)
	dst = binary.BigEndian.AppendUint64(dst, p.SentMillis)
	dst = binary.BigEndian.AppendUint64(dst, p.Version)
	ok := true
	dst = appendUpdate(dst, &p.From, &ok)
	dst = appendString(dst, string(p.Target), &ok)
	dst = appendString(dst, p.TargetAddress, &ok)
	dst = append(dst, byte(len(p.Updates)))
	for i := range p.Updates {
		dst = appendUpdate(dst, &p.Updates[i], &ok)
	}
	if !ok {
		return nil, errTooLong
	}
	return append(dst, datagramMAC(key, dst)...), nil
}

func datagramMAC(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}

func appendString(dst []byte, s string, ok *bool) []byte {
	if len(s) > 255 {
		*ok = false
		return dst
	}
	return append(append(dst, byte(len(s))), s...)
}

func appendUpdate(dst []byte, u *membership.Update, ok *bool) []byte {
	flags := byte(u.State)
	if u.Leaving {
		flags |= flagLeaving
	}
	if u.Full {
		flags |= flagFull
	}
	dst = append(dst, flags)
	dst = binary.BigEndian.AppendUint64(dst, u.Incarnation)
	dst = appendString(dst, string(u.ID), ok)
	if u.Full {
		i := &u.Info
		for _, s := range [...]string{string(i.DataCentre), string(i.Region), i.Caller, i.Admin, i.Peer, i.Datagram} {
			dst = appendString(dst, s, ok)
		}
	}
	return dst
}

// Decode checks the code and the format of a datagram, which must be signed with
// one of the keys. Every byte must belong to a field; nothing of src is kept.
func Decode(keys [][]byte, src []byte) (*membership.Packet, error) {
	if len(src) > membership.MaxPacketBytes {
		return nil, errTooLong
	}
	if len(src) < macBytes+2 {
		return nil, errMalformed
	}
	body, sum := src[:len(src)-macBytes], src[len(src)-macBytes:]
	for _, key := range keys {
		if hmac.Equal(datagramMAC(key, body), sum) {
			return decodeBody(body)
		}
	}
	return nil, errBadMAC
}

func decodeBody(body []byte) (*membership.Packet, error) {
	r := &reader{b: body}
	if r.byte() != formatVersion {
		return nil, errMalformed
	}
	p := &membership.Packet{Kind: membership.Kind(r.byte())}
	p.Nonce, p.SentMillis, p.Version = r.uint64(), r.uint64(), r.uint64()
	p.From = r.update()
	p.Target, p.TargetAddress = fleet.InstanceID(r.string()), r.string()
	if n := int(r.byte()); n > 0 && !r.invalid {
		p.Updates = make([]membership.Update, 0, n)
		for range n {
			p.Updates = append(p.Updates, r.update())
		}
	}
	known := p.Kind >= membership.Probe && p.Kind <= membership.Gossip
	if r.invalid || len(r.b) > 0 || !known || !p.From.Full || p.From.State != membership.Alive {
		return nil, errMalformed
	}
	return p, nil
}

// reader takes fields from b and sets bad when there are too few bytes.
type reader struct {
	b       []byte
	invalid bool
}

func (r *reader) take(n int) []byte {
	if r.invalid || len(r.b) < n {
		r.invalid = true
		return nil
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) string() string { return string(r.take(int(r.byte()))) }

func (r *reader) update() membership.Update {
	flags := r.byte()
	u := membership.Update{
		State:   membership.State(flags & flagState),
		Leaving: flags&flagLeaving != 0, Full: flags&flagFull != 0,
	}
	u.Incarnation = r.uint64()
	u.ID = fleet.InstanceID(r.string())
	if u.Full {
		i := &u.Info
		i.DataCentre, i.Region = fleet.DataCentreID(r.string()), fleet.RegionID(r.string())
		i.Caller, i.Admin, i.Peer, i.Datagram = r.string(), r.string(), r.string(), r.string()
	}
	if flags >= 16 || u.State > membership.Dead || u.ID == "" || u.Incarnation > maxIncarnation {
		r.invalid = true
	}
	return u
}
