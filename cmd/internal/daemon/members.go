package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/datagram"
	"cyclamenhitch/adapters/platform"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/result"
)

// memberComponent runs the failure detector over the datagram socket.
type memberComponent struct {
	d       *Daemon
	list    platform.MemberList
	socket  *datagram.Socket
	traffic datagram.Traffic

	// mu serialises the machine; received packets and ticks come from two goroutines.
	mu       sync.Mutex
	detector *membership.Detector

	view      atomic.Pointer[membership.View]
	lastAckAt atomic.Int64 // Unix ns of the last answer of a peer
}

func newMemberComponent(d *Daemon) *memberComponent {
	return &memberComponent{d: d, list: platform.MemberList{
		URL: d.set.Platform.Members, Timeout: time.Duration(d.set.Platform.CallTimeoutMillis) * time.Millisecond,
	}}
}

// open binds the datagram socket. The TCP listeners must be open, because the
// instance announces their addresses.
func (c *memberComponent) open() error {
	var err error
	if c.socket, err = datagram.Listen(c.d.set.Listen.Datagram, c.d.peerKey, &c.traffic, c.d.log, c.handlePacket); err != nil {
		return err
	}
	now := time.Now()
	m := membership.New(membership.Member{
		ID: c.d.set.Instance, DataCentre: c.d.set.DataCentre, Region: c.d.set.Region,
		Caller: c.d.CallerAddress(), Admin: c.d.AdminAddress(), Peer: c.d.PeerAddress(), Datagram: c.socket.Address(),
		Incarnation: uint64(now.UnixMilli()),
	}, now, fleet.HashID(string(c.d.set.Instance))^uint64(now.UnixNano()))
	if n := m.SelfBytes(); n > membership.MaxSelfBytes {
		_ = c.socket.Close()
		return result.New(result.SettingsInvalid, "instance, data_centre, region and addresses take %d bytes in a heartbeat, the limit is %d", n, membership.MaxSelfBytes)
	}
	c.mu.Lock()
	c.detector = m
	c.d.claims.observeMembers(m.View())
	c.view.Store(m.View())
	c.mu.Unlock()
	return nil
}

func (c *memberComponent) close() { _ = c.socket.Close() }

// handlePacket takes a datagram on the event loop.
func (c *memberComponent) handlePacket(p *membership.Packet) {
	c.mu.Lock()
	if c.detector == nil {
		c.mu.Unlock()
		return
	}
	c.detector.Receive(time.Now(), p)
	out := c.publishView()
	c.mu.Unlock()
	c.sendPackets(out)
	c.d.config.handleAnnouncement(p.From.ID, p.From.Info.Peer, p.Version)
}

// publishView takes the results of a step; the caller holds mu.
func (c *memberComponent) publishView() []membership.Outgoing {
	if v := c.detector.View(); v != c.view.Load() {
		c.d.claims.observeMembers(v)
		c.view.Store(v)
	}
	if t := c.detector.LastAck(); !t.IsZero() {
		c.lastAckAt.Store(t.UnixNano())
	}
	return c.detector.TakeOutgoing()
}

func (c *memberComponent) sendPackets(out []membership.Outgoing) {
	for i := range out {
		if err := c.socket.Send(out[i].To, &out[i].Packet); err != nil {
			c.d.log.Debug("datagram not sent", zap.String("to", out[i].To), zap.Error(err))
		}
	}
}

// update calls fn with the machine and sends what it decided.
func (c *memberComponent) update(fn func(*membership.Detector)) {
	c.mu.Lock()
	fn(c.detector)
	out := c.publishView()
	c.mu.Unlock()
	c.sendPackets(out)
}

// announceLeaving announces a planned stop: lookups of other instances no longer
// name this one.
func (c *memberComponent) announceLeaving() {
	c.update(func(m *membership.Detector) { m.SetLeaving() })
}

// announceVersion announces the configuration version in force.
func (c *memberComponent) announceVersion(v uint64) {
	c.update(func(m *membership.Detector) { m.SetVersion(v) })
}

func (c *memberComponent) run(ctx context.Context) {
	go c.pollMemberList(ctx)
	tick := time.NewTicker(membership.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.update(func(m *membership.Detector) { m.Tick(time.Now()) })
		}
	}
}

// pollMemberList polls the platform's membership list.
func (c *memberComponent) pollMemberList(ctx context.Context) {
	failing := false
	for {
		ms, err := c.list.Read()
		if err == nil {
			entries := membersFromList(ms)
			c.update(func(m *membership.Detector) { m.ApplyList(time.Now(), entries) })
		} else if !failing {
			c.d.log.Warn("membership list cannot be read", zap.Error(err))
		}
		failing = err != nil
		interval := membership.ListReadInterval(c.list.LastBytes)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval/2 + time.Duration(rand.Int64N(int64(interval)))):
		}
	}
}

func membersFromList(list []platform.Member) []membership.Member {
	out := make([]membership.Member, len(list))
	for i, m := range list {
		out[i] = membership.Member{
			ID: m.Instance, DataCentre: m.DataCentre, Region: m.Region,
			Caller: m.Caller, Admin: m.Admin, Peer: m.Peer, Datagram: m.Datagram, Leaving: m.Leaving,
		}
	}
	return out
}

// View returns the live instances as seen now. It is never nil.
func (c *memberComponent) View() *membership.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &membership.View{}
}

// Addresses implements httpapi.Directory.
func (c *memberComponent) Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string {
	return c.d.admission.admitterAddresses(pool, chat)
}
