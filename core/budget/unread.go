package budget

const (
	// UnreadBytes is what the kernel may hold for a connection of bytes that the process has
	// not read: ReceiveBuffer and as much for its own structures.
	UnreadBytes = 2 * ReceiveBuffer
	// ReceiveBuffer is the size in bytes to request for the receive buffers of connections.
	// Otherwise the kernel enlarges those that are read fast to several MB.
	ReceiveBuffer = 64 << 10
	// UnsentBytes limits what the kernel takes of a response beyond what it can send. Otherwise
	// it keeps up to 4 MB for a caller that does not read.
	UnsentBytes = 64 << 10
	// unreadCallPercent is the part of the memory beside baseBytes for the unread bytes of
	// connections whose request runs. Nothing is read from them meanwhile.
	unreadCallPercent = 10
	// minUnreadCalls is the least number of calls whose connections may hold UnreadBytes.
	minUnreadCalls = 16
)
