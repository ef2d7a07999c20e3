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
	// delayed is how long the request waited to be read, which counts towards the caller's
	// deadline.
	delayed time.Duration
}

// readingPollInterval is the interval at which a request that waits to be read tries again.
const readingPollInterval = 20 * time.Millisecond

// beginReading counts a request whose first bytes were received. Without room it waits for up
// to budget.ReadingWait, then answers that the request was not run and reports false.
func (c *callerConn) beginReading() bool {
	if c.begun || c.l.limits.Reading == nil {
		return true
	}
	c.begun, c.delayed = true, 0
	nc, r := c.Conn, c.l.limits.Reading
	// A read that has timed out ends the request with an error response.
	end := func() { _ = nc.SetReadDeadline(time.Unix(1, 0)) }
	began := time.Now()
	i := r.Begin(began, end)
	if i == nil && r.Wait() {
		for i == nil && time.Since(began) < budget.ReadingWait {
			time.Sleep(readingPollInterval)
			i = r.Begin(time.Now(), end)
		}
		r.Waited()
		c.delayed = time.Since(began)
	}
	if i != nil {
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
