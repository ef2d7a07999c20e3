package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhitch/platform"
	"cyclamenhitch/standins/runner"
)

// entry returns the row of a runner with a sequence number.
func entry(r *runner.Runner, zone, state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":%q,"zone":%q,"slots":8,"state":%q,"cold_left_ms":0,"sequence":%d,"born":1}`, r.Address(), zone, state, sequence)
}

// rewindPlay is the state of a fleet whose store loses everything written after mark.
type rewindPlay struct {
	*testFleet
	gone, drains, evacuated, stays *runner.Runner
	mark                           time.Time
}

// startRewindPlay starts a fleet and then makes the changes that the store is to lose: a
// server leaves, one drains, a data centre is evacuated, a key is revoked.
func startRewindPlay(t *testing.T, instances int) *rewindPlay {
	p := &rewindPlay{gone: &runner.Runner{ID: "gone"}, drains: &runner.Runner{ID: "drains"}, evacuated: &runner.Runner{ID: "evacuated"}, stays: &runner.Runner{ID: "stays"}}
	p.testFleet = startFleet(t, instances, p.gone, p.drains, p.evacuated, p.stays)
	p.store.Set("servers", "evacuated", entry(p.evacuated, "away", "ready", 1))
	time.Sleep(instancesPollWait / 100)
	p.mark = time.Now()
	p.store.Remove("servers", "gone")
	p.store.Set("servers", "drains", entry(p.drains, "z", "draining", 2))
	p.store.Set("op", "evacuate/away", []byte("{}"))
	p.store.Set("op", "config", config(2, `"k2"`))
	p.eventually("the changes are in force", func() bool { return p.holds(len(p.edges)) })
	return p
}

// holds reports whether the first instances serve k2 by the remaining server only, and
// refuse k1.
func (p *rewindPlay) holds(instances int) bool {
	for i := range instances {
		for range 8 {
			if s, _, body := p.call(i, "/order/1", "k2"); s != 200 || body != "answer of stays" {
				return false
			}
		}
		if s, _, _ := p.call(i, "/order/1", "k1"); s != 401 {
			return false
		}
	}
	return true
}

// check calls the instances for a time and fails if one accepts the revoked key or sends
// to a server that must get nothing. Refusals with 503 are allowed.
func (p *rewindPlay) check(d time.Duration, when string) {
	p.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		for i := range p.edges {
			if s, _, body := p.call(i, "/order/1", "k2"); s == 200 && body != "answer of stays" {
				p.t.Fatalf("%s: instance %d: %q", when, i, body)
			}
			if s, _, _ := p.call(i, "/order/1", "k1"); s == 200 {
				p.t.Fatalf("%s: instance %d accepts the revoked key", when, i)
			}
		}
	}
}

// rewind returns the store to the copy of the mark.
func (p *rewindPlay) rewind() { p.store.Rewind(time.Since(p.mark)) }

// After the store returned as an older copy, twice in a row, no instance may act on what it
// has lost: neither one that runs on nor one that starts right afterwards. The lost rows
// of instances must be written again.
func TestStoreReturnsOlder(t *testing.T) {
	p := startRewindPlay(t, 3)
	p.start("late", "z9") // its row is lost
	p.eventually("the late instance is listed", func() bool { return p.store.Value(platform.InstanceTable, "late") != nil })
	p.rewind()
	p.check(500*time.Millisecond, "first rewind")
	p.rewind()
	p.start("restarted", "z9")
	p.check(time.Second, "second rewind")
	p.eventually("lost rows of instances are written again", func() bool {
		return p.store.Value(platform.InstanceTable, "late") != nil && p.store.Value(platform.InstanceTable, "restarted") != nil
	})
	p.eventually("all instances serve", func() bool { return p.holds(len(p.edges)) })
	// The operator and the servers write again.
	p.store.Set("op", "config", config(3, `"k3"`))
	p.store.Remove("op", "evacuate/away")
	p.store.Set("servers", "gone", entry(p.gone, "z", "ready", 3))
	p.store.Set("servers", "stays", entry(p.stays, "z", "draining", 3))
	p.eventually("new writes take effect at once", func() bool {
		for i := range p.edges {
			seen := map[string]bool{}
			for range 20 {
				s, _, body := p.call(i, "/order/1", "k3")
				if s != 200 {
					return false
				}
				seen[body] = true
			}
			if len(seen) != 2 || !seen["answer of gone"] || !seen["answer of evacuated"] {
				return false
			}
		}
		return true
	})
}

// callWithID sends an order with a request id and returns its status.
func (f *testFleet) callWithID(i int, path, key, id string) int {
	req, err := http.NewRequest("POST", "http://"+f.edges[i].set.Listen.Caller+path, strings.NewReader("body"))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Deadline-Remaining", "15000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Orders during rewinds of the store must run at most once and be answered or refused
// truthfully.
func TestOrdersRunOnceOverRewinds(t *testing.T) {
	a, b := &runner.Runner{ID: "a"}, &runner.Runner{ID: "b"}
	f := startFleet(t, 3, a, b)
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	refused := map[string]bool{}
	for i := range f.edges {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("once-%d-%d", i, n)
				if s := f.callWithID(i, "/order/1", "k1", id); s == 503 {
					mu.Lock()
					refused[id] = true
					mu.Unlock()
				}
			}
		}()
	}
	for range 3 {
		f.store.Set("servers", "b", entry(b, "z", "ready", 2))
		f.store.Rewind(200 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	ran := map[string]int{}
	for _, r := range append(a.Runs(), b.Runs()...) {
		if ran[r.ID]++; ran[r.ID] > 1 || refused[r.ID] {
			t.Fatalf("order %s ran %d times, refused %v", r.ID, ran[r.ID], refused[r.ID])
		}
	}
	if len(ran) == 0 {
		t.Fatal("no order ran")
	}
}
