package sockets

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"cyclamenhitch/core/budget"
)

// scriptedListener fails the first accepts with given errors.
type scriptedListener struct {
	net.Listener
	mu   sync.Mutex
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		l.mu.Unlock()
		return nil, err
	}
	l.mu.Unlock()
	return l.Listener.Accept()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func dial(t *testing.T, ln net.Listener) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	return nc
}

func accept(t *testing.T, l *Listener) *Conn {
	t.Helper()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return nc.(*Conn)
}

// share returns a share of n descriptors.
func share(t *testing.T, n int) *budget.Share {
	t.Helper()
	s := budget.NewDescriptors(256).Callers
	for int64(n)+s.Used() < s.Limit() {
		s.Take()
	}
	return s
}

// Guards against a shortage of descriptors, or an aborted connection, that ends the listener.
func TestAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			failure := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
			var relieved atomic.Int64
			l := &Listener{
				Listener: &scriptedListener{Listener: listen(t), errs: []error{failure, failure}},
				Relieve:  func() bool { relieved.Add(1); return true },
			}
			dial(t, l)
			accept(t, l)
			if want := errno != syscall.ECONNABORTED; (relieved.Load() == 2) != want {
				t.Errorf("a descriptor was freed %d times", relieved.Load())
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
				t.Errorf("accept on a closed listener: %v", err)
			}
		})
	}
}

// Guards against closing a busy connection, or none, for a new one, and against crossing requests.
func TestOldestIdleIsClosed(t *testing.T) {
	s := share(t, 3)
	l := &Listener{Listener: listen(t), Share: s}
	var conns []*Conn
	var callers []net.Conn
	for range 3 {
		callers = append(callers, dial(t, l))
		conns = append(conns, accept(t, l))
	}
	conns[0].SetIdle(false)
	dial(t, l)
	accept(t, l)
	if _, err := callers[1].Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the longest idle connection: %v", err)
	}
	if conns[1].SetIdle(false) || !conns[0].SetIdle(true) || !conns[2].SetIdle(false) {
		t.Error("wrong connections count as closed")
	}
	if s.Used() != s.Limit() {
		t.Errorf("%d descriptors of %d used", s.Used(), s.Limit())
	}
	// Now the one that was busy is the one that is idle for the shortest time.
	dial(t, l)
	accept(t, l)
	if !conns[0].SetIdle(true) {
		t.Error("a connection that just became idle was closed before the one idle for longest")
	}
}

// Guards against a full share that refuses without an answer, or that is never given back.
func TestFullShare(t *testing.T) {
	s := share(t, 1)
	refused := 0
	l := &Listener{Listener: listen(t), Share: s, Full: func(nc net.Conn) { refused++; _ = nc.Close() }}
	dial(t, l)
	c := accept(t, l)
	c.SetIdle(false)
	dial(t, l)
	next := make(chan *Conn)
	go func() {
		nc, _ := l.Accept()
		next <- nc.(*Conn)
	}()
	for s.Refused() == 0 {
		continue
	}
	_ = c.Close()
	_ = c.Close()
	dial(t, l)
	(<-next).SetIdle(false)
	if refused != 1 || s.Used() != s.Limit() {
		t.Errorf("refused %d, %d of %d used", refused, s.Used(), s.Limit())
	}
}

// Guards against a dial beyond its share, one that is not tried again, and lost descriptors.
func TestDial(t *testing.T) {
	ln := listen(t)
	s := share(t, 1)
	open := func() (net.Conn, error) { return net.Dial("tcp", ln.Addr().String()) }
	first, err := Dial(s, nil, open)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Dial(s, nil, open); !errors.Is(err, ErrNoDescriptor) {
		t.Errorf("dial without a descriptor: %v", err)
	}
	second, err := Dial(s, func() bool { return first.Close() == nil }, open)
	if err != nil {
		t.Fatal(err)
	}
	_ = first.Close()
	_ = second.Close()
	if s.Used() != s.Limit()-1 {
		t.Errorf("%d of %d used", s.Used(), s.Limit())
	}
	failure := os.NewSyscallError("socket", syscall.EMFILE)
	if _, err := Dial(s, nil, func() (net.Conn, error) { return nil, failure }); !errors.Is(err, ErrNoDescriptor) || s.Used() != s.Limit()-1 {
		t.Errorf("dial with EMFILE: %v, %d used", err, s.Used())
	}
}
