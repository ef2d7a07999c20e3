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

// eventLoopTimeout limits the start and the stop of the event loop. gnet binds the
// socket during the start.
const eventLoopTimeout = 5 * time.Second

// socketBufferBytes is the receive buffer, which absorbs bursts while the event loop
// is not scheduled.
const socketBufferBytes = 1 << 20

// KeyProvider supplies the shared signing key and all keys accepted from peers.
type KeyProvider interface {
	Bytes() []byte
	Accepted() [][]byte
}

// Traffic counts the datagrams of one instance and their payload bytes.
type Traffic struct {
	SentBytes, ReceivedBytes, Sent, Received atomic.Int64
	// Refused counts received datagrams with an invalid MAC or format.
	Refused atomic.Int64
}

// Socket is a bound UDP socket. gnet reads it in one event loop. Datagrams are sent
// through a duplicate of its file descriptor, since gnet sends only from callbacks.
type Socket struct {
	key     KeyProvider
	traffic *Traffic
	eng     gnet.Engine
	done    chan error
	conn    *net.UDPConn
}

// eventHandler implements the gnet callbacks.
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

// OnTraffic implements gnet.EventHandler. gnet calls it once per datagram.
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

// Listen binds to addr, an IP address and port; port 0 selects a free port. receive
// is called on the event loop for each valid datagram.
func Listen(addr string, key KeyProvider, traffic *Traffic, log *zap.Logger, receive func(*membership.Packet)) (*Socket, error) {
	// gnet always sets SO_REUSEPORT on UDP sockets, so a second process could bind
	// the same port without an error and receive some of the datagrams.
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
		return nil, result.New(result.SettingsInvalid, "datagram address %s: event loop did not start in time", addr)
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

// Address returns the address that the socket is bound to.
func (s *Socket) Address() string { return s.conn.LocalAddr().String() }

// Send encodes and sends one datagram. The control protocol tolerates loss, so callers
// count failures and do not retry.
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
