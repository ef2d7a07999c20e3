package engine

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent bytes may stay unacknowledged.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
