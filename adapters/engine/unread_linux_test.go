package engine

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cyclamenhitch/core/budget"
)

// Guards against a response that its caller reads too slowly and of which the kernel keeps more
// than the budget allows: after fast reads the receive buffer of a connection grows.
func TestUnreadBytesOfResponse(t *testing.T) {
	const size, fast = 96 << 20, 32 << 20
	server := serveRaw(t, false, func(c net.Conn, _ int, id string) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(opaqueHead, "{id}", id)+"Transfer-Encoding: chunked\r\n\r\n")
		part := chunk(strings.Repeat("x", 256<<10))
		for sent := 0; sent < size; sent += 256 << 10 {
			if _, err := io.WriteString(c, part); err != nil {
				return false
			}
		}
		return false
	})
	client := opaqueClient()
	client.MaxAnswerBytes, client.Memory = 2*size, budget.NewBytes(1<<20)
	req := testRequest("order", 3600)
	req.ID = "r-1"
	resp, err := client.Open(context.Background(), server, req, "r-1")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	for read := 0; read < fast; {
		part, err := resp.Next()
		if err != nil {
			t.Fatal(err)
		}
		read += len(part)
	}
	raw := resp.(*partialResponse).conn.raw
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		n := 0
		_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
		if err != nil || n > budget.UnreadBytes {
			t.Fatalf("%d bytes are unread, %v", n, err)
		}
	}
}
