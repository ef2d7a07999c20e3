package httpapi

import (
	"net"
	"syscall"
)

// discardBuffer is passed to reads that discard. The kernel writes nothing to it, so that all
// connections share it.
var discardBuffer [256 << 10]byte

// discard reads and drops up to limit bytes until the end of the input, an error or the read
// deadline. It holds no memory: many refused connections may be read at once.
func discard(nc net.Conn, limit int64) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		for limit > 0 {
			n, _, err := syscall.Recvfrom(int(fd), discardBuffer[:], syscall.MSG_TRUNC|syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EAGAIN:
				return false // until there is more
			case err == syscall.EINTR:
			case err != nil || n <= 0:
				return true
			}
			limit -= int64(max(n, 0))
		}
		return true
	})
}
