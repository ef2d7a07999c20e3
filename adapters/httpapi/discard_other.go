//go:build !linux

package httpapi

import (
	"io"
	"net"
)

// discard reads and drops up to limit bytes until the end of the input, an error or the read
// deadline.
func discard(nc net.Conn, limit int64) { _, _ = io.Copy(io.Discard, io.LimitReader(nc, limit)) }
