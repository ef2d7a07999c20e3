package httpapi

import (
	"net"
	"sync/atomic"
	"time"

	"cyclamenhitch/core/budget"
)

// reading tells whether the request of a connection is counted as one being read. It belongs
// to the goroutine that serves the connection, except that a shutdown may end it.
type reading struct {
	request atomic.Pointer[budget.Incomplete]
	// begun is set from the first byte of a request to the end of its response.
	begun bool
}

// beginReading counts a request whose first bytes were received. Without room it answers
// that the request was not run and reports false.
func (c *callerConn) beginReading() bool {
	if c.begun || c.l.limits.Reading == nil {
		return true
	}
	c.begun = true
	nc := c.Conn
	// A read that has timed out ends the request with an error response.
	if i := c.l.limits.Reading.Begin(time.Now(), func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }); i != nil {
		c.request.Store(i)
		return true
	}
	c.room.refused.Store(true) // what the caller still sends is discarded
	c.l.srv.logNoReading(c.l.limits.Reading)
	writeRefusal(c)
	return false
}

// endReading is called when the request has been read, or is counted by Bodies.
func (c *callerConn) endReading() {
	if i := c.request.Swap(nil); i != nil {
		c.l.limits.Reading.End(i)
	}
}

// writeRefusal writes the response to a request that is not read.
func writeRefusal(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	writeConnectionLimit(c)
}
