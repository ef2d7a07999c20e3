package engine

import (
	"bytes"
	"io"
	"net"
	"time"
)

const (
	// probeTimeout bounds one probe. A lost packet delays a connect by 1 s.
	probeTimeout = 2 * time.Second
	// probeResultTTL is how long connections to one address share a probe's result.
	probeResultTTL = time.Second
	// maxProbesPerSecond bounds the probes of the instance, in probes a second. A probe
	// takes about 700 bytes on the wire, so this is 3.5 KB/s of the 22 KB/s.
	maxProbesPerSecond = 5
)

// probe asks over a new connection whether the server answers. known is false
// when the budget does not allow a probe now.
func (c *Client) probe(addr string) (known, alive bool) {
	c.budgetMu.Lock()
	if c.budget.Rate == 0 {
		c.budget.Rate, c.budget.ResultTTL = maxProbesPerSecond, probeResultTTL
	}
	send, known, alive := c.budget.Acquire(time.Now(), addr)
	c.budgetMu.Unlock()
	if !send {
		return known, alive
	}
	c.Probes.Add(1)
	alive = isResponsive(addr)
	c.budgetMu.Lock()
	c.budget.Record(time.Now(), addr, alive)
	c.budgetMu.Unlock()
	return true, alive
}

// isResponsive says whether a server speaks HTTP on a new connection.
func isResponsive(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: "+addr+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	var head [7]byte
	_, err = io.ReadFull(conn, head[:])
	return err == nil && bytes.Equal(head[:], []byte("HTTP/1."))
}
