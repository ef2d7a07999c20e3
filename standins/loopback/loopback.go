// Package loopback finds loopback addresses for test servers. It keeps the ports that it
// has returned, for the whole process.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports lie below the ephemeral port range: otherwise an outgoing connection could take a
// port before its server listens, or while it restarts.
const (
	lowestPort  = 10_000
	highestPort = 30_000
	maxTries    = 1000
)

var errNoPort = errors.New("no port is free")

// returned holds the ports already returned; their servers may not listen yet.
var returned sync.Map

// FreeAddress returns an unused host:port address; it never returns the same one twice.
func FreeAddress() (string, error) {
	for range maxTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if _, before := returned.LoadOrStore(port, true); before {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			_ = ln.Close()
			return addr, nil
		}
	}
	return "", errNoPort
}
