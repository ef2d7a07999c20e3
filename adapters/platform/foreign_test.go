package platform

import (
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

// Guards against a page of another program, or of another protocol version, that is taken for a
// list without members.
func TestForeignPagesAreNotTheMemberList(t *testing.T) {
	for begin, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]":   true,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n[]":   true,
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n[]":   false,
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnull": false,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}":   false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":     false,
	} {
		f := &runner.Flood{Begin: begin, Repeat: "x"}
		if err := f.Start(); err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		l := &MemberList{URL: "http://" + f.Address() + "/", Timeout: time.Second}
		if members, err := l.Read(); (err == nil) != want {
			t.Errorf("%q: %v, %v", begin, members, err)
		}
	}
}
