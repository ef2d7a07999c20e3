package httpcall

import (
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

// Guards against a call that takes a response with status 000 for a success.
func TestStatus000(t *testing.T) {
	f := &runner.Flood{Begin: "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n", Repeat: "x"}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if status, _, err := New(1<<20, time.Second).Get("http://"+f.Address()+"/", time.Second); err == nil && status == 200 {
		t.Errorf("status %d", status)
	}
}
