package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const uploadConfig = `{"version":1,"routes":[{"name":"orders","host":"a.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_ms":6000,"target_latency_ms":150,"priority":1,"service":"registro","max_attempts":1,"anonymous":false}],
"services":[{"name":"registro","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]}`

const (
	// uploadBytes is the size of a request, below max_body_bytes.
	uploadBytes = 4_000_000
	// uploadersPerInstance is the number of clients of an ordinary hour.
	uploadersPerInstance = 42
	// uploadWork is how long a runner works on a request, uploadTimeout the time that the
	// client and the route give it.
	uploadWork    = 4 * time.Second
	uploadTimeout = 6 * time.Second
	// memoryLimit is memory_mb of DEPLOY.md, in KB. Bytes that have been received and not
	// yet read count there too; here only the resident memory of the process counts.
	memoryLimit = 284 * 1024
)

// resident returns the resident memory of a process in KB, 0 if it has ended.
func resident(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return n
		}
	}
	return 0
}

// memory plays a burst of clients with long requests.
func memory(dir string) bool {
	s := newStore()
	s.set("op", "config", uploadConfig)
	runs := newRunLog()
	zones := []string{"cordon", "goes", "prado"}
	for i := range 6 {
		r := &runner{id: fmt.Sprintf("i-%08x", i+1), service: "registro", zone: zones[i%3], slots: 64, log: runs, work: uploadWork}
		r.start(s)
	}
	fleet := make([]*instance, len(zones))
	for i, z := range zones {
		fleet[i] = newInstance(fmt.Sprintf("front-%s-%d", z, i+1))
		fleet[i].start(dir, s.addr, z, true)
	}
	for _, in := range fleet {
		in.awaitReady()
	}
	note("%d instances are ready, each with %d KB", len(fleet), memoryLimit)

	// The platform kills a process that exceeds its memory and starts it again.
	var kills atomic.Int64
	link := &links{free: map[string]time.Time{}}
	// beforeKill is the longest wait for a link before the first kill. RULES.md counts a
	// machine at whose link packets wait over half a second as slowed.
	var beforeKill time.Duration
	largest := make([]int, len(fleet))
	over := make(chan struct{})
	var platform sync.WaitGroup
	for i, in := range fleet {
		platform.Add(1)
		go func() {
			defer platform.Done()
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-over:
					return
				case <-tick.C:
				}
				n := resident(in.cmd.Process.Pid)
				largest[i] = max(largest[i], n)
				if n <= memoryLimit {
					continue
				}
				if kills.Add(1) == 1 {
					link.mu.Lock()
					beforeKill = link.longest
					link.mu.Unlock()
				}
				note("%s is killed: %d KB resident", in.name, n)
				_ = in.cmd.Process.Kill()
				<-in.done
				time.Sleep(500 * time.Millisecond)
				if !in.start(dir, s.addr, zones[i], false) {
					return
				}
			}
		}()
	}

	body := strings.Repeat("x", uploadBytes)
	extra := fmt.Sprintf("Content-Length: %d\r\n", uploadBytes)
	var mu sync.Mutex
	var outcomes []*outcome
	var wg sync.WaitGroup
	arrive := func(n int, within, stay time.Duration) {
		until := time.Now().Add(stay)
		for i := range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{host: "a.example", key: "key1", keepFactor: 1, body: body, link: link}
				for k := range fleet {
					c.directories = append(c.directories, fleet[(i+k)%len(fleet)].directory)
				}
				defer c.close()
				time.Sleep(rand.N(within))
				for time.Now().Before(until) {
					c.resolve()
					if o := c.send("POST", "/orders/x", extra, uploadTimeout); o != nil {
						mu.Lock()
						outcomes = append(outcomes, o)
						mu.Unlock()
					}
					time.Sleep(rand.N(200 * time.Millisecond))
				}
			}()
		}
	}
	arrive(uploadersPerInstance*len(fleet), uploadWork, 30*time.Second)
	time.Sleep(12 * time.Second)
	note("%d runs so far, largest memory %v KB, %d processes killed for their memory", runs.count(), largest, kills.Load())
	if trouble {
		n := uploadersPerInstance * len(fleet) * 7 / 10
		note("burst: %.1f times the clients for %v (%d more)", burstFactor, burstTime, n)
		arrive(n, 2*time.Second, burstTime)
	}
	time.Sleep(10 * time.Second)
	wg.Wait()
	close(over)
	platform.Wait()

	noteRequests(outcomes, runs)
	whole, refused, other := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.whole && o.status == 200:
			whole++
		case o.whole && o.status == 503:
			refused++
		case o.whole || !o.kept || len(runs.of(o.id)) == 0:
			other++
		}
	}
	lost, excused, broken := lostOnKept(fleet, outcomes, runs)
	note("%d requests: %d whole answers, %d refused with 503, %d without an answer though a runner ran them, %d excused, %d others", len(outcomes), whole, refused, lost, excused, other)
	note("largest memory %v KB, %d processes killed for their memory", largest, kills.Load())
	note("until the first kill a piece waited for its link %v at most", beforeKill)
	return broken
}
