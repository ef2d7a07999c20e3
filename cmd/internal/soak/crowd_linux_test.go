package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// crowdMemory and crowdDescriptors are memory_mb and descriptors of the instance.
	crowdMemory, crowdDescriptors = 112, 400
	// crowdClients is the number of clients that send at once.
	crowdClients = 120
	// crowdBody is the size of a client's body in bytes; its last bytes are never sent.
	crowdBody = 4_000_000
	// crowdRounds is how often a client connects that comes again when it was answered or
	// its connection was closed.
	crowdRounds = 3
)

// crowd describes clients outside the limits.
type crowd struct {
	// chunk is the size of a chunk in bytes; 0 sends the body with a length.
	chunk int
	// unknown makes each connection use a key of its own that no configuration contains.
	unknown bool
	again   bool
	// directory sends to the listener of the directory instead of that of callers.
	directory bool
}

var crowds = map[string]crowd{
	"chunks of 64 KB":                      {chunk: 64 << 10},
	"chunks of 64 KB, come again":          {chunk: 64 << 10, again: true},
	"chunks of 1 MB, unknown keys":         {chunk: 1 << 20, unknown: true},
	"chunks of 64 KB, unknown, come again": {chunk: 64 << 10, unknown: true, again: true},
	"chunks of 64 bytes":                   {chunk: 64},
	"length, unknown keys":                 {unknown: true},
	"length, to the directory":             {directory: true},
}

// play sends one body but for its last bytes on a connection, and returns once the
// connection has ended or, with hold set, once all of that was sent.
func (k crowd) play(t *testing.T, n *instance, id string, hold bool) {
	to := n.caller
	if k.directory {
		to = n.directory
	}
	c, err := net.Dial("tcp", to)
	if err != nil {
		return // refused for want of descriptors
	}
	t.Cleanup(func() { _ = c.Close() })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	}()
	key := "k1"
	if k.unknown {
		key = "unknown-" + id
	}
	head := fmt.Sprintf("POST /order/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nAuthorization: Bearer %s\r\nDeadline-Remaining: 30000\r\n", id, key)
	w := bufio.NewWriter(c)
	if k.chunk == 0 {
		_, err = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, crowdBody, strings.Repeat("x", crowdBody-100))
	} else {
		_, _ = io.WriteString(w, head+"Transfer-Encoding: chunked\r\n\r\n")
		piece := fmt.Sprintf("%x\r\n%s\r\n", k.chunk, strings.Repeat("x", k.chunk))
		for sent := 0; sent+k.chunk <= crowdBody && err == nil; sent += k.chunk {
			_, err = io.WriteString(w, piece)
		}
	}
	if err == nil {
		err = w.Flush()
	}
	if hold && err == nil {
		return
	}
	if err != nil {
		_ = c.Close()
	}
	<-ended
	_ = c.Close()
}

func descriptorsOf(t *testing.T, pid int) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// startForCrowd starts a fleet of one instance with memory_mb and descriptors.
func startForCrowd(t *testing.T, memory, descriptors int) (*fleet, *instance) {
	t.Helper()
	f := startFleet(t, 0)
	binary, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	n := f.instance(binary, 0, stopTime, keepTime)
	text, err := os.ReadFile(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(n.settings, fmt.Appendf(text, "memory_mb = %d\ndescriptors = %d\n", memory, descriptors), 0o600); err != nil {
		t.Fatal(err)
	}
	f.instances = append(f.instances, n)
	n.start(t)
	f.eventually("the instance is listed", func() bool { return len(f.resolve(n)) == 1 })
	return f, n
}

// Guards against clients outside the limits that make a process exceed its memory or its
// descriptors, end, or stop serving: they send bodies but for the last bytes and stay.
func TestCrowdsStayWithinMemory(t *testing.T) {
	for name, k := range crowds {
		t.Run(name, func(t *testing.T) {
			f, n := startForCrowd(t, crowdMemory, crowdDescriptors)
			var clients sync.WaitGroup
			for i := range crowdClients {
				clients.Go(func() {
					rounds := 1
					if k.again {
						rounds = crowdRounds
					}
					for round := range rounds {
						k.play(t, n, fmt.Sprintf("c%d-%d", i, round), round == rounds-1)
					}
				})
			}
			var over atomic.Bool
			go func() { clients.Wait(); over.Store(true) }()
			descriptors := 0
			for !over.Load() {
				descriptors = max(descriptors, descriptorsOf(t, n.process.Pid))
				time.Sleep(pollInterval)
			}
			f.eventually("an ordinary request is answered", func() bool {
				status, _, err := sendBody(n, fmt.Sprint("o", time.Now().UnixNano()), 1000, false)
				return err == nil && status == http.StatusOK
			})
			peak := peakMemory(t, n.process.Pid)
			t.Logf("%d MB and %d descriptors at most", peak, descriptors)
			if peak > crowdMemory || descriptors > crowdDescriptors {
				t.Errorf("the process used %d MB and %d descriptors, allowed are %d and %d", peak, descriptors, crowdMemory, crowdDescriptors)
			}
		})
	}
}

// Guards against requests that are never complete, each within the size that is read without
// room: together they exceed the memory, and ordinary callers must still be served.
func TestIncompleteRequestsStayWithinMemory(t *testing.T) {
	const (
		clients     = 3000
		descriptors = 8192
	)
	for name, request := range map[string]string{
		"header":      "X-A: " + strings.Repeat("a", 15_000),
		"small body":  "Content-Length: 16000\r\n\r\n" + strings.Repeat("x", 15_900),
		"small chunk": "Transfer-Encoding: chunked\r\n\r\n1f00\r\n" + strings.Repeat("x", 7800),
	} {
		t.Run(name, func(t *testing.T) {
			f, n := startForCrowd(t, 96, descriptors)
			for i := range clients {
				c, err := net.Dial("tcp", n.caller)
				if err != nil {
					continue // refused
				}
				defer c.Close()
				_, _ = fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c%d\r\nAuthorization: Bearer k1\r\n%s", i, request)
			}
			count := descriptorsOf(t, n.process.Pid)
			f.eventually("an ordinary request is answered", func() bool {
				status, _, err := sendBody(n, fmt.Sprint("o", time.Now().UnixNano()), 1000, false)
				return err == nil && status == http.StatusOK
			})
			peak := peakMemory(t, n.process.Pid)
			t.Logf("%d MB and %d descriptors at most", peak, count)
			if peak > 96 || count > descriptors {
				t.Errorf("the process used %d MB and %d descriptors, allowed are 96 and %d", peak, count, descriptors)
			}
		})
	}
}

// Guards against limits that refuse a single request of the largest size on a calm instance
// of the smallest deployed size.
func TestLargestBodyOnSmallInstance(t *testing.T) {
	_, n := startForCrowd(t, 184, 4100)
	for _, chunked := range []bool{false, true} {
		if status, _, err := sendBody(n, fmt.Sprint("b", chunked), 4<<20, chunked); err != nil || status != http.StatusOK {
			t.Errorf("chunked %v: status %d, %v", chunked, status, err)
		}
	}
}
