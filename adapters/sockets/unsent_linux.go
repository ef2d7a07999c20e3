package sockets

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnsent limits the bytes that the kernel takes and cannot send yet.
func limitUnsent(raw syscall.RawConn, bytes int) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	}); cerr != nil {
		return cerr
	}
	return err
}
