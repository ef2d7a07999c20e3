// Package gossip carries the reports that the instances of a fleet send each other, one
// UDP datagram each. It owns the socket.
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

// maxDatagramBytes bounds a received report, in bytes.
const maxDatagramBytes = 64 << 10

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
	Placements   []placement.Placement
	Suspicions   []placement.Suspicion
	// ReadRates are how many prompt tokens a ms the engines of pools read, as the sender's
	// requests show.
	ReadRates map[fleet.PoolID]float64
	// WantsDigest says that the sender takes the receiver as its relay; Holds is which
	// member list of the receiver it holds.
	WantsDigest bool
	HeldList    roster.ListVersion
	// HasOtherLoadSource says that the sender takes loads, placements and suspicions from another
	// relay of the receiver's data centre, so that the receiver need not send them.
	HasOtherLoadSource bool
	// Digest is what the sender tells as a relay; nil when it is none.
	Digest *Digest
}

// Digest is what a relay tells of other instances: of the whole fleet to those of its
// own data centre, of its data centre to other relays.
type Digest struct {
	Members roster.Digest
	// WithoutLoads says that Loads are left out: the receiver takes them from another
	// relay, or the sender does not know them.
	WithoutLoads bool
	// Loads is the work of all instances meant but the receiver.
	Loads map[fleet.ServerID]placement.Load
	// Placements and Suspicions are what instances other than the sender told since the
	// last digest.
	Placements []placement.Placement
	Suspicions []placement.Suspicion
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
func (s *Socket) Receive(handle func(*Report)) {
	buf := make([]byte, maxDatagramBytes)
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
		handle(decode(&m))
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
