package httpapi

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receivedBytes returns how many bytes the kernel has received on a connection that were not read.
func receivedBytes(nc net.Conn) int {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0 // a closed connection
	}
	return n
}
