package engine

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its output.
const tcpCloseWait = 8

// peerHasEnded reports whether the peer has ended its output.
func peerHasEnded(raw syscall.RawConn) bool {
	var info *unix.TCPInfo
	var err error
	if cerr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); cerr != nil || err != nil {
		return false // a closed socket: the next read or write tells
	}
	return info.State == tcpCloseWait
}
