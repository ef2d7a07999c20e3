package engine

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets how long sent data may stay unacknowledged before the connection
// is closed.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}
