package sockets

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits on what a living host leaves unanswered. A retransmission and a probe may be lost.
const (
	maxRetransmits = 3
	maxProbes      = 2
	// tcpEstablished is the state of a connection that neither side has ended.
	tcpEstablished = 1
)

// SetUserTimeout sets how long sent data may stay unacknowledged before the connection is
// closed. The kernel counts the time for which the other side has no room as well.
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	return control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// Unacknowledged returns the number of written bytes that the other side has not acknowledged.
func Unacknowledged(raw syscall.RawConn) (n int, err error) {
	err = control(raw, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

// OtherSide reports whether the other side of a connection has ended it, or is lost: it does not
// acknowledge what is sent. Unlike SetUserTimeout it lets the other side have no room for any time.
func OtherSide(raw syscall.RawConn) (ended, lost bool) {
	var info *unix.TCPInfo
	err := control(raw, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err != nil {
		return true, false // closed
	}
	return info.State != tcpEstablished, info.Retransmits >= maxRetransmits || info.Probes >= maxProbes
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); cerr != nil {
		return cerr
	}
	return err
}
