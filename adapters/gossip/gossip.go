// Package gossip carries the reports that the instances of a small fleet send each
// other, one UDP datagram each. It owns the socket.
package gossip

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/roster"
)

//go:generate protoc --go_out=gossippb --go_opt=paths=source_relative -I gossippb gossip.proto

// maxDatagram bounds a received report, in bytes.
const maxDatagram = 64 << 10

// Report is what an instance tells its peers.
type Report struct {
	From roster.Peer
	// Sent is the sender's time since boot; Echo is the newest such time that it has
	// received from the receiver, 0 for none.
	Sent, Echo time.Duration
	// Confirmed says that the version in force was read from the store; ConfirmedAge
	// is how long ago that read began.
	Confirmed    bool
	ConfirmedAge time.Duration
	Loads        map[fleet.ServerID]placement.Load
	Placed       []placement.Placed
	Suspicions   []placement.Suspicion
}

// Socket sends and receives reports.
type Socket struct {
	conn *net.UDPConn
	// Sent, Received and Refused count datagrams; Refused ones could not be read.
	Sent, Received, Refused atomic.Int64
}

// Listen binds to a host:port address.
func Listen(addr string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %q", addr)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %s cannot be used", addr)
	}
	return &Socket{conn: conn}, nil
}

// Address is the address that the socket is bound to.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Close closes the socket and ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a report. Loss is not an error of the protocol.
func (s *Socket) Send(to string, r *Report) error {
	ap, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	b, err := proto.Marshal(encode(r))
	if err != nil {
		return err
	}
	s.Sent.Add(1)
	_, err = s.conn.WriteToUDPAddrPort(b, ap)
	return err
}

// Receive calls take for each report until the socket is closed.
func (s *Socket) Receive(take func(*Report)) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var m gossippb.Report
		if err := proto.Unmarshal(buf[:n], &m); err != nil || m.Instance == "" {
			s.Refused.Add(1)
			continue
		}
		s.Received.Add(1)
		take(decode(&m))
	}
}

// Marshal returns the bytes of a report, for a peer that asked for it.
func Marshal(r *Report) ([]byte, error) { return proto.Marshal(encode(r)) }

// Unmarshal reads the bytes of a report.
func Unmarshal(b []byte) (*Report, error) {
	var m gossippb.Report
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return decode(&m), nil
}

func encode(r *Report) *gossippb.Report {
	m := &gossippb.Report{
		Instance: string(r.From.ID), Incarnation: r.From.Incarnation, DataCentre: string(r.From.DataCentre),
		CallerAddress: r.From.Caller, PeerAddress: r.From.Peer, Serving: r.From.Serving, Leaving: r.From.Leaving,
		ConfigVersion: r.From.Version, ReadsStore: r.From.Reads, LinkMbps: uint32(max(0, r.From.LinkMbps)), Sent: int64(r.Sent), Echo: int64(r.Echo),
		Confirmed: r.Confirmed, ConfirmedAgeMs: uint32((r.ConfirmedAge + time.Millisecond - 1) / time.Millisecond),
	}
	for id, l := range r.Loads {
		m.Loads = append(m.Loads, &gossippb.ServerLoad{Server: string(id), Running: uint32(max(0, l.Running)), Unread: uint32(max(0, l.Unread))})
	}
	for _, x := range r.Suspicions {
		m.Suspicions = append(m.Suspicions, &gossippb.Suspicion{Server: string(x.Server), RestMs: uint32(x.Rest.Milliseconds())})
	}
	for _, p := range r.Placed {
		w := &gossippb.Placed{Server: string(p.Server)}
		for _, part := range p.Parts {
			w.Part = append(w.Part, part.ID)
			w.Tokens = append(w.Tokens, uint32(part.Tokens))
		}
		m.Placed = append(m.Placed, w)
	}
	return m
}

func decode(m *gossippb.Report) *Report {
	r := &Report{
		From: roster.Peer{
			ID: fleet.InstanceID(m.Instance), Incarnation: m.Incarnation, DataCentre: fleet.DataCentreID(m.DataCentre),
			Caller: m.CallerAddress, Peer: m.PeerAddress, Serving: m.Serving, Leaving: m.Leaving, Version: m.ConfigVersion, Reads: m.ReadsStore,
			LinkMbps: int(m.LinkMbps),
		},
		Sent: time.Duration(m.Sent), Echo: time.Duration(m.Echo),
		Confirmed: m.Confirmed, ConfirmedAge: time.Duration(m.ConfirmedAgeMs) * time.Millisecond,
		Loads: make(map[fleet.ServerID]placement.Load, len(m.Loads)),
	}
	for _, l := range m.Loads {
		r.Loads[fleet.ServerID(l.Server)] = placement.Load{Running: int(l.Running), Unread: int(l.Unread)}
	}
	for _, x := range m.Suspicions {
		r.Suspicions = append(r.Suspicions, placement.Suspicion{Server: fleet.ServerID(x.Server), Rest: time.Duration(x.RestMs) * time.Millisecond})
	}
	for _, p := range m.Placed {
		if len(p.Part) != len(p.Tokens) {
			continue
		}
		placed := placement.Placed{Server: fleet.ServerID(p.Server)}
		for i := range p.Part {
			placed.Parts = append(placed.Parts, placement.Part{ID: p.Part[i], Tokens: int(p.Tokens[i])})
		}
		r.Placed = append(r.Placed, placed)
	}
	return r
}
