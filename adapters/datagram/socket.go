package datagram

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/result"
)

// eventLoopTimeout bounds the start of the event loop, in which gnet binds.
const eventLoopTimeout = 5 * time.Second

// socketBufferBytes holds bursts while the event loop waits for a processor.
const socketBufferBytes = 1 << 20

// KeyProvider gives the shared key that signs and the keys that are accepted.
type KeyProvider interface {
	Bytes() []byte
	Accepted() [][]byte
}

// Traffic counts payload bytes and datagrams of one instance.
type Traffic struct {
	SentBytes, ReceivedBytes, Sent, Received atomic.Int64
	// Refused counts datagrams with a wrong code or format.
	Refused atomic.Int64
}

// Socket is a bound UDP socket. gnet reads it in one event loop; a duplicate of
// the same socket sends, since gnet sends only inside its callbacks.
type Socket struct {
	key     KeyProvider
	traffic *Traffic
	eng     gnet.Engine
	done    chan error
	conn    *net.UDPConn
}

// eventHandler are the callbacks of gnet.
type eventHandler struct {
	gnet.BuiltinEventEngine
	booted  chan gnet.Engine
	key     KeyProvider
	traffic *Traffic
	receive func(*membership.Packet)
}

// OnBoot implements gnet.EventHandler.
func (e *eventHandler) OnBoot(eng gnet.Engine) gnet.Action {
	e.booted <- eng
	return gnet.None
}

// OnTraffic implements gnet.EventHandler for one datagram.
func (e *eventHandler) OnTraffic(c gnet.Conn) gnet.Action {
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	p, err := Decode(e.key.Accepted(), b)
	if err != nil {
		e.traffic.Refused.Add(1)
		return gnet.None
	}
	e.traffic.Received.Add(1)
	e.traffic.ReceivedBytes.Add(int64(len(b)))
	e.receive(p)
	return gnet.None
}

// Listen binds to addr, an IP address and a port; port 0 picks one. receive is
// called on the event loop for each valid datagram.
func Listen(addr string, key KeyProvider, traffic *Traffic, log *zap.Logger, receive func(*membership.Packet)) (*Socket, error) {
	// gnet always sets SO_REUSEPORT on UDP sockets, so that a second process
	// could share the port unseen and take part of the datagrams.
	check, err := net.ListenPacket("udp", addr)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %s cannot be used", addr)
	}
	_ = check.Close()
	s := &Socket{key: key, traffic: traffic, done: make(chan error, 1)}
	ev := &eventHandler{booted: make(chan gnet.Engine, 1), key: key, traffic: traffic, receive: receive}
	go func() {
		s.done <- gnet.Run(
			ev, "udp://"+addr, gnet.WithNumEventLoop(1), gnet.WithLogger(log.Sugar()),
			gnet.WithSocketRecvBuffer(socketBufferBytes),
		)
	}()
	select {
	case s.eng = <-ev.booted:
	case err := <-s.done:
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %s cannot be used", addr)
	case <-time.After(eventLoopTimeout):
		return nil, result.New(result.SettingsInvalid, "datagram address %s: the event loop does not start", addr)
	}
	if err := s.openSender(); err != nil {
		_ = s.Close()
		return nil, result.Wrap(result.SettingsInvalid, err, "datagram address %s cannot be used", addr)
	}
	return s, nil
}

func (s *Socket) openSender() error {
	fd, err := s.eng.Dup()
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "datagram")
	defer f.Close()
	pc, err := net.FilePacketConn(f)
	if err != nil {
		return err
	}
	s.conn = pc.(*net.UDPConn)
	return nil
}

// Address is the address that the socket is bound to.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send encodes and sends one datagram. Loss is not an error of the control
// protocol, so callers count failures and go on.
func (s *Socket) Send(to string, p *membership.Packet) error {
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return err
	}
	b, err := Encode(make([]byte, 0, membership.MaxPacketBytes), s.key.Bytes(), p)
	if err != nil {
		return err
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, addr); err != nil {
		return err
	}
	s.traffic.Sent.Add(1)
	s.traffic.SentBytes.Add(int64(len(b)))
	return nil
}

// Close stops the event loop and closes the socket.
func (s *Socket) Close() error {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventLoopTimeout)
	defer cancel()
	return s.eng.Stop(ctx)
}
