package runner

import (
	"net"
	"strings"
	"sync"
	"time"
)

// recordingListener accepts connections that record what is written to them.
type recordingListener struct{ net.Listener }

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c}, nil
}

const (
	// maxRecorded limits the bytes of the latest writes that are kept.
	maxRecorded = 4096
	// maxWaitForWrite limits waitFor: a caller that has left is written nothing.
	maxWaitForWrite = 5 * time.Second
)

// recordingConn keeps the latest bytes written to a connection.
type recordingConn struct {
	net.Conn

	mu     sync.Mutex
	latest string
}

func (c *recordingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest += string(b[:n])
	c.latest = c.latest[max(0, len(c.latest)-maxRecorded):]
	return n, err
}

// waitFor waits until text has been written.
func (c *recordingConn) waitFor(text string) {
	for end := time.Now().Add(maxWaitForWrite); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		written := strings.Contains(c.latest, text)
		c.mu.Unlock()
		if written {
			return
		}
	}
}
