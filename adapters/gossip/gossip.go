// Package gossip exchanges reports between the instances of a fleet, each in one UDP
// datagram. It owns the socket.
package gossip

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/gossip/gossippb"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/pacing"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/rollout"
	"cyclamenhitch/core/roster"
)

//go:generate protoc --go_out=gossippb --go_opt=paths=source_relative -I gossippb gossip.proto

// MaxReportBytes is the size of the largest report that fits into a UDP datagram over IPv4.
const MaxReportBytes = 65_507

// maxDatagramBytes is the receive buffer size, which fits any UDP datagram.
const maxDatagramBytes = 64 << 10

// Report is the state that an instance sends to its peers.
type Report struct {
	From roster.Peer
	// Start is the incarnation at the start of the sender's process, which identifies its
	// counters; 0 if it is that in From.
	Start uint64
	// KnownIncarnation is the incarnation of the receiver that the sender knows if it ignores the
	// receiver's reports because theirs is lower, or else 0.
	KnownIncarnation uint64
	// Sent is the sender's time since boot. Echo is the newest Sent value that the sender
	// has received from the receiver; 0 means none.
	Sent, Echo time.Duration
	// Confirmed reports whether the configuration version in force was read from the
	// store. ConfirmedAge is the time since the start of that read.
	Confirmed    bool
	ConfirmedAge time.Duration
	Loads        map[fleet.ServerID]placement.Load
	Placements   []placement.Placement
	Suspicions   []placement.Suspicion
	// ReadRates holds the prompt processing rate of each pool's engines, in tokens per ms,
	// as estimated from the sender's requests.
	ReadRates map[fleet.PoolID]float64
	// StoreEra is the newest era of the store that the sender knows.
	StoreEra uint64
	// Evidence is what the sender knows about prompt parts that crash engines.
	Evidence []quarantine.Evidence
	// Rollouts are the roll-outs of the pools, with the counters of the sender.
	Rollouts []rollout.Report
	// Brittle are the pools whose servers are known to be brittle.
	Brittle []placement.BrittlePool
	// Demand is what the sender measured at pools of plain servers that are short of capacity.
	Demand map[fleet.PoolID]pacing.Report
	// WantsDigest reports whether the sender uses the receiver as a relay. HeldList is the
	// version of the receiver's member list that the sender holds.
	WantsDigest bool
	HeldList    roster.ListVersion
	// HasOtherLoadSource reports whether the sender gets loads, placements and suspicions
	// from another relay of the receiver's data centre, so that the receiver can omit them.
	HasOtherLoadSource bool
	// Digest is the state that the sender relays; nil if it is not a relay for the receiver.
	Digest *Digest
}

// Digest is the state of other instances that a relay passes on. Instances of the
// relay's data centre receive that of the whole fleet, relays of other data centres
// that of the relay's data centre.
type Digest struct {
	Members roster.Digest
	// WithoutLoads reports whether Loads is omitted, because the receiver gets loads from
	// another relay or the sender does not know them.
	WithoutLoads bool
	// Loads is the total load of the covered instances, without the receiver's.
	Loads map[fleet.ServerID]placement.Load
	// Placements and Suspicions were reported by instances other than the sender since
	// the last digest.
	Placements []placement.Placement
	Suspicions []placement.Suspicion
	// Rollouts are the roll-outs of the pools, with the sums of data centres.
	Rollouts []rollout.Report
	// Demand is what the covered instances measured, without the receiver.
	Demand map[fleet.PoolID]pacing.Report
}

// Socket sends and receives reports.
type Socket struct {
	conn *net.UDPConn
	// Sent, Received and Refused count datagrams. Refused ones could not be decoded.
	Sent, Received, Refused atomic.Int64
}

// Listen binds to an IP address and port.
func Listen(addr string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %q is not an IP address and port", addr)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %s cannot be used", addr)
	}
	return &Socket{conn: conn}, nil
}

// Address returns the address that the socket is bound to.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Close closes the socket and ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }

// Send sends a report. The protocol tolerates loss, so callers need not retry.
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

// Receive calls handle for each received report until the socket is closed.
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
		if err := proto.Unmarshal(buf[:n], &m); err != nil || m.Instance == "" || m.Incarnation > roster.MaxIncarnation {
			s.Refused.Add(1)
			continue
		}
		s.Received.Add(1)
		handle(decode(&m))
	}
}

// Size returns the encoded size of a report, in bytes.
func Size(r *Report) int { return proto.Size(encode(r)) }

// PlacementSize returns the number of bytes that a placement adds to a report.
func PlacementSize(p *placement.Placement) int {
	tokens := 0
	for _, part := range p.Parts {
		tokens += protowire.SizeVarint(uint64(part.Tokens))
	}
	// Each of the fields, and the placement itself, has a tag of one byte.
	n := 1 + protowire.SizeBytes(len(p.Server)) + 1 + protowire.SizeBytes(8*len(p.Parts)) + 1 + protowire.SizeBytes(tokens)
	return 1 + protowire.SizeBytes(n)
}

// Marshal encodes a report, for a peer that requested it.
func Marshal(r *Report) ([]byte, error) { return proto.Marshal(encode(r)) }

// Unmarshal decodes a report.
func Unmarshal(b []byte) (*Report, error) {
	var m gossippb.Report
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	return decode(&m), nil
}
