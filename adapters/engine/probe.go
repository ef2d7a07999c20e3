package engine

import (
	"context"
	"io"
	"regexp"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// probeTimeout limits one probe. One lost SYN delays a connect by 1 s.
	probeTimeout = 2 * time.Second
	// probeResultTTL is how long connections to one address share a probe result.
	probeResultTTL = time.Second
	// maxProbesPerSecond limits the probes of the instance. A probe takes about 700
	// bytes on the wire, so probes use 3.5 KB/s of the control traffic budget of
	// 22 KB/s.
	maxProbesPerSecond = 5
)

// Probe checks over a new connection whether the server responds. known is false if
// the probe budget is used up. It may be called concurrently.
func (c *Client) Probe(server fleet.ServerID, addr string) (known, alive bool) {
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
	alive = c.isResponsive(server, addr)
	c.budgetMu.Lock()
	c.budget.Record(time.Now(), addr, alive)
	c.budgetMu.Unlock()
	return true, alive
}

// isResponsive reports whether a server responds to HTTP on a new connection.
func (c *Client) isResponsive(server fleet.ServerID, addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, _, err := c.Connect(ctx, server, addr, probeTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(probeTimeout)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, "GET "+c.dialect().ProbePath+" HTTP/1.1\r\nHost: "+addr+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	var head [len("HTTP/1.1 200")]byte
	_, err = io.ReadFull(conn, head[:])
	return err == nil && statusLine.Match(head[:])
}

// statusLine matches the beginning of a response that a server may send, with any status.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]$`)
