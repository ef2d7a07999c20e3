package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["parts"] = partsCase }

const (
	memoryLimit = 284 << 20
	// partsRate is the number of requests a second at each of two instances: the 88.3 a second of
	// the site's model requests.
	partsRate = 44
	partsTime = 107 * time.Second
	// promptTokens is the size of each prompt; with the trouble it is stated in parts of
	// partTokens, without it in three.
	promptTokens = 3100
	partTokens   = 2
	partsClients = 16
	restartDelay = 500 * time.Millisecond
)

// rss returns the resident memory of a process in bytes, 0 if it has ended.
func rss(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := bytes.Fields(b)
	if err != nil || len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(string(f[1]), 10, 64)
	return n * int64(os.Getpagesize())
}

// partsCase sends chats whose prompts consist of many short parts, and ends processes that
// exceed their memory as the platform does.
func partsCase(bin, dir string) int {
	kvTokens = 689040 // that of ccdca-spoil
	_, nodes, _ := startFleet(bin, dir, 2, 9, 3, func(r *runner, q *request) behaviour {
		if r.engine {
			return behaviour{status: 200, events: 2, work: 10 * time.Millisecond}
		}
		return behaviour{status: 200, size: 100}
	})
	end := time.Now().Add(partsTime)
	var mu sync.Mutex
	ends, highest, status := map[string]int{}, map[string]int64{}, map[int]int{}
	lost := 0
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(func() { // the platform
			for time.Now().Before(end) {
				time.Sleep(50 * time.Millisecond)
				m := rss(n.cmd.Process.Pid)
				mu.Lock()
				highest[n.name] = max(highest[n.name], m)
				mu.Unlock()
				if m <= memoryLimit {
					continue
				}
				note("%s uses %d MB, its limit is 284: the platform kills it", n.name, m>>20)
				n.stop(syscall.SIGKILL, time.Second)
				mu.Lock()
				ends[n.name]++
				mu.Unlock()
				time.Sleep(restartDelay)
				n.start()
				n.awaitReady(5 * time.Second)
			}
		})
		for c := range partsClients {
			wg.Go(func() {
				rc := rand.New(rand.NewPCG(uint64(c), 3))
				next := time.Now()
				for i := 0; time.Now().Before(end); i++ {
					next = next.Add(time.Second * partsClients / partsRate)
					time.Sleep(time.Until(next))
					k := &call{id: fmt.Sprintf("%s-%d-%d", n.name, c, i), method: "POST", target: "/r/x", key: "k1", deadline: 4 * time.Second}
					var b strings.Builder
					if trouble() {
						for p := range promptTokens / partTokens {
							if p > 0 {
								b.WriteByte(',')
							}
							fmt.Fprintf(&b, "%x:%d", rc.Uint32()>>4, partTokens)
						}
					} else {
						fmt.Fprintf(&b, "%x:2000,%x:800,%x:300", rc.Uint32(), rc.Uint32(), rc.Uint32())
					}
					k.prefix = b.String()
					k.headers = []string{"Model: m", fmt.Sprintf("Token-Count: %d,80", promptTokens), "Prefix-Hash: " + k.prefix}
					once(n, k)
					mu.Lock()
					status[k.status]++
					if k.status == 0 {
						lost++
					}
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	often := 0
	for _, n := range nodes {
		note("%s: highest memory %d MB, ended %d times for it", n.name, highest[n.name]>>20, ends[n.name])
		if ends[n.name] >= 3 {
			often++
		}
	}
	note("answers by status %v, %d without an answer", status, lost)
	if often >= 2 {
		note("BROKEN Fault: the processes of %d of %d machines ended three times", often, len(nodes))
		return 1
	}
	return 0
}
