package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Flood is a faulty backend server: it answers each request with Begin and then with Repeat
// until the connection closes. "{id}" in Begin stands for the id of the request. Set the
// exported fields before Start.
type Flood struct {
	ID, Begin, Repeat string
	// Pause, unless 0, is the time after each Repeat, which is then written alone.
	Pause time.Duration

	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	requests atomic.Int64
	sent     atomic.Int64
}

// floodPieceBytes is the least number of bytes written at once.
const floodPieceBytes = 32 << 10

// Start listens on a free loopback port.
func (f *Flood) Start() (err error) {
	f.conns = map[net.Conn]bool{}
	if f.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			c, err := f.ln.Accept()
			if err != nil {
				return // closed
			}
			f.mu.Lock()
			f.conns[c] = true
			f.mu.Unlock()
			go f.serve(c)
		}
	}()
	return nil
}

func (f *Flood) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.conns, c)
	}()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	f.requests.Add(1)
	if _, err := io.WriteString(c, strings.ReplaceAll(f.Begin, "{id}", req.Header.Get("Request-Id"))); err != nil {
		return
	}
	piece := []byte(strings.Repeat(f.Repeat, 1+floodPieceBytes/len(f.Repeat)))
	if f.Pause > 0 {
		piece = []byte(f.Repeat)
	}
	for err == nil {
		var n int
		n, err = c.Write(piece)
		f.sent.Add(int64(n))
		time.Sleep(f.Pause)
	}
}

// Sent returns the number of bytes of Repeat that were written to all connections.
func (f *Flood) Sent() int64 { return f.sent.Load() }

// Open returns the number of open connections.
func (f *Flood) Open() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Address returns the host:port that the server listens on.
func (f *Flood) Address() string { return f.ln.Addr().String() }

// Requests returns the number of requests received.
func (f *Flood) Requests() int { return int(f.requests.Load()) }

// Close closes the listener and all connections.
func (f *Flood) Close() {
	_ = f.ln.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		_ = c.Close()
	}
}

// RegistryEntry returns the JSON entry that registers the server in the store.
func (f *Flood) RegistryEntry(service, zone, state string) []byte {
	return registryEntry(service, f.Address(), zone, state, entryStart)
}

// entryStart is the first start that entries state, in Unix ms.
const entryStart = 1

func registryEntry(service, address, zone, state string, start int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"slots":8,"state":%q,"cold_left_ms":0,"sequence":1,"born":%d}`, service, address, zone, state, start)
}
