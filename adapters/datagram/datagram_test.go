package datagram

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

type testKey []byte

func (k testKey) Bytes() []byte { return k }

func (k testKey) Accepted() [][]byte { return [][]byte{k} }

var key = testKey(strings.Repeat("k", 32))

func randomUpdate(t *rapid.T, full bool) membership.Update {
	s := rapid.StringN(0, 20, 20)
	u := membership.Update{
		ID:          fleet.InstanceID(rapid.StringN(1, 20, 20).Draw(t, "id")),
		Incarnation: rapid.Uint64Max(maxIncarnation).Draw(t, "incarnation"),
		Leaving:     rapid.Bool().Draw(t, "leaving"), Full: full,
	}
	if full {
		u.Info = membership.Info{
			DataCentre: fleet.DataCentreID(s.Draw(t, "dc")), Region: fleet.RegionID(s.Draw(t, "region")),
			Caller: s.Draw(t, "caller"), Admin: s.Draw(t, "admin"), Peer: s.Draw(t, "peer"), Datagram: s.Draw(t, "datagram"),
		}
	}
	return u
}

func randomPacket(t *rapid.T) *membership.Packet {
	p := &membership.Packet{
		Kind: membership.Kind(rapid.IntRange(1, 4).Draw(t, "kind")), Nonce: rapid.Uint64().Draw(t, "nonce"),
		SentMillis: rapid.Uint64().Draw(t, "sent"), Version: rapid.Uint64().Draw(t, "version"),
		From: randomUpdate(t, true), Target: "r1", TargetAddress: "10.0.0.1:1",
	}
	for range rapid.IntRange(0, 5).Draw(t, "updates") {
		u := randomUpdate(t, rapid.Bool().Draw(t, "full"))
		u.State = membership.State(rapid.IntRange(0, 2).Draw(t, "state"))
		p.Updates = append(p.Updates, u)
	}
	return p
}

// Guards against a field that is lost on the way, against a size estimate that
// lets a datagram exceed the bound, and against a changed bit that is accepted.
func TestCodec(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := randomPacket(t)
		b, err := Encode(nil, key, p)
		if err != nil || len(b) != p.WireBytes() {
			t.Fatalf("encode: %d bytes, estimate %d, %v", len(b), p.WireBytes(), err)
		}
		got, err := Decode([][]byte{[]byte("another key"), key}, b)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Encode(nil, key, got)
		if err != nil || !bytes.Equal(again, b) {
			t.Fatalf("decoded packet differs: %+v, %v", got, err)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, err := Decode(key.Accepted(), b); err == nil {
			t.Fatal("a changed datagram was accepted")
		}
	})
}

// Guards against a decoder that reads out of range, keeps unknown bytes or
// accepts two forms of one packet. It starts behind the code check, since a
// fuzzer cannot guess codes.
func FuzzDecodeBody(f *testing.F) {
	p := &membership.Packet{Kind: membership.Probe, From: membership.Update{ID: "r1", Full: true}}
	p.Updates = []membership.Update{{ID: "r2", State: membership.Dead}}
	b, err := Encode(nil, key, p)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b[:len(b)-macBytes])
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := decodeBody(body)
		if err != nil {
			return
		}
		again, err := Encode(nil, key, p)
		if err == nil && !bytes.Equal(again[:len(again)-macBytes], body) {
			t.Fatalf("%x decodes and encodes to %x", body, again)
		}
	})
}

// Guards against a socket that is not bound to the port it reports, and
// against accepting datagrams under another key.
func TestSocket(t *testing.T) {
	got := make(chan *membership.Packet, 1)
	var traffic, other Traffic
	a, err := Listen("127.0.0.1:0", key, &traffic, zap.NewNop(), func(p *membership.Packet) { got <- p })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := Listen("127.0.0.1:0", testKey(strings.Repeat("x", 32)), &other, zap.NewNop(), func(*membership.Packet) {})
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	p := &membership.Packet{Kind: membership.Probe, From: membership.Update{ID: "r1", Full: true}}
	if err := b.Send(a.Address(), p); err != nil {
		t.Fatal(err)
	}
	for range 250 {
		if traffic.Refused.Load() == 1 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := a.Send(a.Address(), p); err != nil {
		t.Fatal(err)
	}
	select {
	case q := <-got:
		if q.From.ID != "r1" || traffic.Refused.Load() != 1 || traffic.Received.Load() != 1 {
			t.Fatalf("received %+v, refused %d", q, traffic.Refused.Load())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no datagram arrived")
	}
	if _, err := Listen(a.Address(), key, &traffic, zap.NewNop(), nil); err == nil {
		t.Fatal("an address in use was accepted")
	}
}
