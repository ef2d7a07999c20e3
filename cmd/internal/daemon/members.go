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
	mu      sync.Mutex
	machine *membership.Detector

	last       atomic.Pointer[membership.View]
	lastAnswer atomic.Int64 // Unix ns of the last answer of a peer
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
	if c.socket, err = datagram.Listen(c.d.set.Listen.Datagram, c.d.peerKey, &c.traffic, c.d.log, c.receive); err != nil {
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
	c.machine = m
	c.d.claims.observeMembers(m.View())
	c.last.Store(m.View())
	c.mu.Unlock()
	return nil
}

func (c *memberComponent) close() { _ = c.socket.Close() }

// receive takes a datagram on the event loop.
func (c *memberComponent) receive(p *membership.Packet) {
	c.mu.Lock()
	if c.machine == nil {
		c.mu.Unlock()
		return
	}
	c.machine.Receive(time.Now(), p)
	out := c.publish()
	c.mu.Unlock()
	c.send(out)
	c.d.config.heard(p.From.ID, p.From.Info.Peer, p.Version)
}

// publish takes the results of a step; the caller holds mu.
func (c *memberComponent) publish() []membership.Outgoing {
	if v := c.machine.View(); v != c.last.Load() {
		c.d.claims.observeMembers(v)
		c.last.Store(v)
	}
	if t := c.machine.LastAck(); !t.IsZero() {
		c.lastAnswer.Store(t.UnixNano())
	}
	return c.machine.TakeOutgoing()
}

func (c *memberComponent) send(out []membership.Outgoing) {
	for i := range out {
		if err := c.socket.Send(out[i].To, &out[i].Packet); err != nil {
			c.d.log.Debug("datagram not sent", zap.String("to", out[i].To), zap.Error(err))
		}
	}
}

// step calls fn with the machine and sends what it decided.
func (c *memberComponent) step(fn func(*membership.Detector)) {
	c.mu.Lock()
	fn(c.machine)
	out := c.publish()
	c.mu.Unlock()
	c.send(out)
}

// setLeaving announces a planned stop: lookups of other instances no longer
// name this one.
func (c *memberComponent) setLeaving() {
	c.step(func(m *membership.Detector) { m.SetLeaving() })
}

// setVersion announces the configuration version in force.
func (c *memberComponent) setVersion(v uint64) {
	c.step(func(m *membership.Detector) { m.SetVersion(v) })
}

func (c *memberComponent) run(ctx context.Context) {
	go c.readList(ctx)
	tick := time.NewTicker(membership.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.step(func(m *membership.Detector) { m.Tick(time.Now()) })
		}
	}
}

// readList polls the platform's membership list.
func (c *memberComponent) readList(ctx context.Context) {
	failing := false
	for {
		ms, err := c.list.Read()
		if err == nil {
			entries := entriesOf(ms)
			c.step(func(m *membership.Detector) { m.ApplyList(time.Now(), entries) })
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

func entriesOf(list []platform.Member) []membership.Member {
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
	if v := c.last.Load(); v != nil {
		return v
	}
	return &membership.View{}
}

// Addresses implements httpapi.Directory.
func (c *memberComponent) Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string {
	return c.d.admission.admitterAddresses(pool, chat)
}
