package httpapi

import (
	"net"

	"cyclamenhitch/core/budget"
)

// minReceiveBuffer is the receive buffer in bytes of a connection whose request runs when the
// budget of unread bytes is used up. A caller that waits for its response needs none.
const minReceiveBuffer = 4 << 10

// unread bounds what the kernel holds of bytes that a caller sends while its request runs,
// since nothing is read from its connection then. callerConn.mu guards begin and end.
type unread struct {
	hold budget.Hold
	// small is set while the receive buffer is minReceiveBuffer.
	small bool
	// overfull is set if the caller had sent more than that when the budget was used up. It
	// belongs to the goroutine that serves the connection.
	overfull bool
}

// begin takes the bytes of a call that begins.
func (u *unread) begin(nc net.Conn) {
	u.overfull = false
	if u.hold.Resize(budget.UnreadBytes) {
		return
	}
	u.overfull = receivedBytes(nc) > minReceiveBuffer
	if b, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok {
		u.small = b.SetReadBuffer(minReceiveBuffer) == nil
	}
}

// end gives them back. It may be called more than once.
func (u *unread) end(nc net.Conn) {
	u.hold.Release()
	if !u.small {
		return
	}
	u.small = false
	if b, ok := nc.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = b.SetReadBuffer(budget.ReceiveBuffer) // fails for a closed connection only
	}
}
