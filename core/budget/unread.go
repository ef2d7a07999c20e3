package budget

const (
	// UnreadBytes is what the kernel may hold of bytes that a connection's client has sent and
	// the process has not read: ReceiveBuffer and what it adds for its own structures.
	UnreadBytes = 2 * ReceiveBuffer
	// ReceiveBuffer is the size in bytes to request for the receive buffers of connections of
	// callers and to servers. Without a request the kernel lets them grow to several MB for a client that
	// sends much.
	ReceiveBuffer = 64 << 10
	// unreadCallPercent is the part of the memory beside baseBytes for the unread bytes of
	// connections whose request runs. Nothing is read from them meanwhile.
	unreadCallPercent = 10
	// minUnreadCalls is the least number of calls whose connections may hold UnreadBytes.
	minUnreadCalls = 16
)
