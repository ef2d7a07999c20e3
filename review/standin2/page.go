package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["page"] = pageCase }

const (
	// One in spoiledEvery answers (0.0294) of the faulty runners is bytes that are no response.
	spoiledEvery = 34
	faulty       = 2 // of 4 runners
	pageTime     = 80 * time.Second
	// pageRate is the rate of the plain requests of the small deployment, a second.
	pageRate    = 16.6
	pageClients = 10
)

// notResponse is what a faulty runner sends in place of its answer: a status line of another
// protocol version and five bytes, without the request's id and a seal.
const notResponse = "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"

// pageCase looks whether such bytes reach clients as successes.
func pageCase(bin, dir string) int {
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(7, 7))
	spoiled, answers := map[string]string{}, 0
	_, nodes, _ := startFleet(bin, dir, 9, 0, 4, func(r *runner, q *request) behaviour {
		mu.Lock()
		defer mu.Unlock()
		b := behaviour{status: 200, size: 800, work: time.Duration(10+rnd.IntN(40)) * time.Millisecond}
		if !trouble() || r.id >= fmt.Sprintf("app-%d", faulty) || !inEpisode() {
			return b
		}
		if answers++; answers%spoiledEvery == 0 {
			b.junk = notResponse
			spoiled[q.id] = b.junk
			note("%s sends bytes that are no response for %s: %q", r.id, q.id, b.junk)
		}
		return b
	})
	var calls []*call
	var wg sync.WaitGroup
	end := time.Now().Add(pageTime)
	for c := range pageClients {
		wg.Go(func() {
			rc := rand.New(rand.NewPCG(uint64(c), 1))
			for i := 0; time.Now().Before(end); i++ {
				n := nodes[rc.IntN(len(nodes))]
				k := &call{id: fmt.Sprintf("c%d-%d", c, i), method: "POST", target: "/u/x", key: "k1", body: "order", deadline: 2500 * time.Millisecond}
				if rc.IntN(2) == 0 {
					k.method, k.target, k.body = "GET", "/i/x", ""
				}
				once(n, k)
				mu.Lock()
				calls = append(calls, k)
				mu.Unlock()
				time.Sleep(time.Duration(2 * rc.Float64() * pageClients / pageRate * float64(time.Second)))
			}
		})
	}
	wg.Wait()
	bad := 0
	for _, k := range calls {
		note("%s %s at %s: status %d seal %q", k.method, k.id, k.at, k.status, k.h["response-seal"])
		if k.status >= 200 && k.status < 300 && k.h["response-seal"] == "" {
			bad++
			note("BROKEN MIXED: %s %s got a success without Response-Seal, body %q; the runner had sent %q", k.method, k.id, k.got, spoiled[k.id])
		}
	}
	note("%d calls, %d answers spoiled, %d successes without a seal", len(calls), len(spoiled), bad)
	return min(bad, 1)
}
