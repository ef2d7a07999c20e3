package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
)

const (
	// idleCost and requestCost limit the resident memory in bytes that an idle connection of a
	// caller, and one with a request of shortBody bytes that is being read, may take: the
	// shares of the budget are made for these.
	idleCost    = 24 << 10
	requestCost = 80 << 10
	shortBody   = 18_000
)

// resident returns the resident memory of a process in bytes and its open descriptors.
func resident(t *testing.T, pid int) (size, descriptors int) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := bytes.Cut(status, []byte("VmRSS:"))
	if _, err := fmt.Sscan(string(rest), &size); err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return size << 10, len(open)
}

// Guards against connections that cost more than the budget assumes; logs the slopes of CAPACITY.md.
func TestCostOfConnections(t *testing.T) {
	f := startFleet(t, 0)
	binary, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	n := f.instance(binary, 0, stopTime, keepTime)
	f.instances = append(f.instances, n)
	n.start(t)
	f.eventually("the instance is listed", func() bool { return len(f.resolve(n)) == 1 })
	const head = "POST /%s/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c%s%d\r\nAuthorization: Bearer k1\r\nContent-Length: %d\r\n\r\n%s"
	for _, row := range []struct {
		kind, route string
		body, limit int
	}{{"idle", "none", 0, idleCost}, {"request", "order", shortBody, requestCost}} {
		before, fdsBefore := resident(t, n.process.Pid)
		opened, each := 0, 0
		for _, count := range []int{200, 400, 800} {
			for ; opened < count; opened++ {
				nc, err := net.Dial("tcp", n.caller)
				if err != nil {
					t.Fatal(err)
				}
				defer nc.Close()
				_, _ = fmt.Fprintf(nc, head, row.route, row.kind, opened, row.body, strings.Repeat("x", max(0, row.body-1)))
				if row.body > 0 {
					continue // the last byte is not sent
				}
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			f.eventually("the instance answers", func() bool { return len(f.resolve(n)) == 1 })
			after, fds := resident(t, n.process.Pid)
			each = (after - before) / opened
			t.Logf("%s: %d connections, %d bytes and %.2f descriptors each", row.kind, opened, each, float64(fds-fdsBefore)/float64(opened))
		}
		if each > row.limit {
			t.Errorf("%s: %d bytes each, allowed are %d", row.kind, each, row.limit)
		}
	}
}
