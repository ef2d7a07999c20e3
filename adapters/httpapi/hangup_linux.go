package httpapi

import (
	"os"
	"sync"
	"syscall"
)

// disconnectWatcher reports callers that close their connection while a request runs. The
// HTTP server does not read from a connection then, and a goroutine for each
// running request would cost more than one registration for each connection.
// The poll descriptor itself is waited for by the runtime's network poller.
type disconnectWatcher struct {
	file *os.File
	fd   int

	mu    sync.Mutex
	next  uint64
	conns map[uint64]*callerConn
}

// Edge-triggered: one event when the caller closes its side or resets.
const (
	epollRdHup       = 0x2000
	epollEdge        = 1 << 31
	disconnectEvents = epollRdHup | epollEdge
)

func newDisconnectWatcher() (*disconnectWatcher, error) {
	fd, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return nil, err
	}
	if err := syscall.SetNonblock(fd, true); err != nil {
		_ = syscall.Close(fd)
		return nil, err
	}
	h := &disconnectWatcher{file: os.NewFile(uintptr(fd), "epoll"), fd: fd, conns: map[uint64]*callerConn{}}
	rc, err := h.file.SyscallConn()
	if err != nil {
		_ = h.file.Close()
		return nil, err
	}
	go h.run(rc)
	return h, nil
}

func (h *disconnectWatcher) stop() { _ = h.file.Close() }

func (h *disconnectWatcher) run(rc syscall.RawConn) {
	events := make([]syscall.EpollEvent, 64)
	for {
		n := 0
		err := rc.Read(func(fd uintptr) bool {
			n, _ = syscall.EpollWait(int(fd), events, 0)
			return n > 0
		})
		if err != nil {
			return
		}
		for _, ev := range events[:n] {
			h.mu.Lock()
			c := h.conns[uint64(uint32(ev.Fd))|uint64(uint32(ev.Pad))<<32]
			h.mu.Unlock()
			if c != nil {
				c.handleDisconnect()
			}
		}
	}
}

// add watches c. A connection that cannot be watched is served all the same;
// its caller is then noticed at the next write.
func (h *disconnectWatcher) add(c *callerConn) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	h.mu.Lock()
	h.next++
	c.id = h.next
	h.conns[c.id] = c
	h.mu.Unlock()
	_ = rc.Control(func(fd uintptr) {
		ev := syscall.EpollEvent{Events: disconnectEvents, Fd: int32(uint32(c.id)), Pad: int32(uint32(c.id >> 32))}
		_ = syscall.EpollCtl(h.fd, syscall.EPOLL_CTL_ADD, int(fd), &ev)
	})
}

// remove forgets c; closing its descriptor ends the registration.
func (h *disconnectWatcher) remove(c *callerConn) {
	h.mu.Lock()
	delete(h.conns, c.id)
	h.mu.Unlock()
}
