package httpcall

import (
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

// Guards against a response of another program at a peer's address that counts as the peer's,
// above all an empty one, which says that nothing has changed.
func TestForeignResponses(t *testing.T) {
	const (
		length = "Content-Length: 0\r\n\r\n"
		mark   = "Content-Type: " + PeerContentType + "\r\n"
	)
	for name, row := range map[string]struct {
		begin           string
		anyone, forPeer bool
	}{
		"peer":                {"HTTP/1.1 200 OK\r\n" + mark + length, true, true},
		"peer, gone":          {"HTTP/1.1 410 Gone\r\n" + mark + length, true, true},
		"empty page":          {"HTTP/1.1 200 OK\r\n" + length, true, false},
		"text":                {"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n" + length, true, false},
		"gone":                {"HTTP/1.1 410 Gone\r\n" + length, true, false},
		"HTTP/2.0":            {"HTTP/2.0 200 OK\r\n" + mark + length, false, false},
		"HTTP/1.0":            {"HTTP/1.0 200 OK\r\n" + mark + length, false, false},
		"mark in the content": {"HTTP/1.1 200 OK\r\nContent-Type: text/plain; a=" + PeerContentType + "\r\n" + length, true, false},
	} {
		f := &runner.Flood{Begin: row.begin, Repeat: "x"}
		if err := f.Start(); err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		for _, c := range []struct {
			client *Client
			want   bool
		}{{New(100, time.Second), row.anyone}, {NewForPeers(100, time.Second), row.forPeer}} {
			status, body, err := c.client.Get("http://"+f.Address()+"/", time.Second)
			if (err == nil) != c.want {
				t.Errorf("%s: status %d, %q, %v; valid %v", name, status, body, err, c.want)
			}
		}
	}
}
