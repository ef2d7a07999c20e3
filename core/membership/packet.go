package membership

import "cyclamenhitch/core/fleet"

// MaxPacketBytes limits the size of a datagram with its authentication code; larger UDP
// payloads may be fragmented on paths with tunnels.
const MaxPacketBytes = 1200

// MaxSelfBytes limits the size of an instance's own record, so that every datagram has room
// for updates.
const MaxSelfBytes = 400

// Kind is the type of a datagram.
type Kind uint8

// Datagram kinds.
const (
	// Probe asks for an Ack with the same nonce.
	Probe Kind = 1 + iota
	// Ack answers a Probe. With Target it relays the answer of another instance.
	Ack
	// ProbeRequest asks the receiver to probe Target and relay its answer.
	ProbeRequest
	// Gossip carries updates only.
	Gossip
)

// State is what an update says about an instance. For one incarnation, a
// higher state overrides a lower one.
type State uint8

// Member states.
const (
	Alive State = iota
	Suspect
	Dead
)

// Info holds the addresses and the location of an instance.
type Info struct {
	DataCentre fleet.DataCentreID
	Region     fleet.RegionID
	// Caller, Admin, Peer and Datagram are host:port addresses.
	Caller, Admin, Peer, Datagram string
}

// Update describes the state of one instance at an incarnation.
type Update struct {
	ID          fleet.InstanceID
	Incarnation uint64
	State       State
	Leaving     bool
	// Full is set if Info is present.
	Full bool
	Info Info
}

// Packet is one datagram.
type Packet struct {
	Kind  Kind
	Nonce uint64
	// SentMillis is the sender's wall clock in Unix ms. Receivers drop packets
	// outside MaxPacketAge, which limits replay attacks.
	SentMillis uint64
	// Version is the configuration version in force at the sender.
	Version uint64
	// From is the sender's own record: full and alive.
	From Update
	// Target and TargetAddress are set in a ProbeRequest; Target in a relayed Ack.
	Target        fleet.InstanceID
	TargetAddress string
	Updates       []Update
}

// Sizes in the wire format of adapters/datagram: the fixed fields of a packet with its
// authentication code, and those of an update (flags, incarnation, length of the ID).
const (
	packetFixedBytes = 45
	updateFixedBytes = 10
)

// WireBytes returns the encoded size of the update.
func (u *Update) WireBytes() int {
	n := updateFixedBytes + len(u.ID)
	if u.Full {
		i := &u.Info
		n += 6 + len(i.DataCentre) + len(i.Region) + len(i.Caller) + len(i.Admin) + len(i.Peer) + len(i.Datagram)
	}
	return n
}

// WireBytes returns the encoded size of the packet with its authentication code.
func (p *Packet) WireBytes() int {
	n := packetFixedBytes + p.From.WireBytes() + len(p.Target) + len(p.TargetAddress)
	for i := range p.Updates {
		n += p.Updates[i].WireBytes()
	}
	return n
}
