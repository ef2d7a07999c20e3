package main

import (
	"fmt"
	"time"
)

func init() { cases["head"] = headCase }

const (
	// heads is the number of HEAD requests, one every headGap, in two episodes of 6 s: 25 a second
	// are 7.5 times 3.3, a tenth of the model requests of the small deployment.
	heads     = 300
	headGap   = 40 * time.Millisecond
	headPause = 3 * time.Second
	// rounds is how often each kind is asked for at each instance after them, once a second.
	rounds = 20
)

// headCase sends HEAD requests on a streaming route at one instance and looks whether streams
// are served at all instances afterwards, when no request runs any more.
func headCase(bin, dir string) int {
	_, nodes, runners := startFleet(bin, dir, 3, 3, 3, func(r *runner, q *request) behaviour {
		if r.engine {
			return behaviour{status: 200, events: 5, gap: 5 * time.Millisecond, noBody: q.method == "HEAD"}
		}
		return behaviour{status: 200, size: 100, work: 5 * time.Millisecond}
	})
	served, asked := map[string]int{}, map[string]int{}
	ask := func(phase string, i int) {
		for _, n := range nodes {
			for _, kind := range []string{"r", "s", "i", "u"} {
				k := &call{id: fmt.Sprintf("%s-%s-%s-%d", phase, n.name, kind, i), method: "POST", target: "/" + kind + "/x", key: "k2", deadline: 2500 * time.Millisecond}
				if kind == "r" || kind == "s" {
					k.deadline, k.prefix = 4*time.Second, fmt.Sprintf("ab:800,%x:100", i)
					k.headers = []string{"Model: m", "Token-Count: 900,80", "Prefix-Hash: " + k.prefix}
				}
				once(n, k)
				asked[phase+" "+kind]++
				if k.complete && k.status == 200 {
					served[phase+" "+kind]++
				}
				note("%s: status %d %s %.100q", k.id, k.status, k.err, k.got)
			}
		}
	}
	for i := range 5 {
		ask("before", i)
	}
	for i := range heads {
		k := &call{id: fmt.Sprintf("head-%d", i), method: "POST", target: "/r/x", key: "k1", deadline: 4 * time.Second, prefix: fmt.Sprintf("ab:800,%x:100", 5000+i)}
		if trouble() {
			k.method = "HEAD"
		}
		k.headers = []string{"Model: m", "Token-Count: 900,80", "Prefix-Hash: " + k.prefix}
		once(nodes[0], k)
		note("%s %s at %s: status %d", k.method, k.id, nodes[0].name, k.status)
		time.Sleep(headGap)
		if i == heads/2-1 {
			time.Sleep(headPause)
		}
	}
	time.Sleep(5 * time.Second)
	for i := range rounds {
		ask("after", i)
		time.Sleep(time.Second)
	}
	idle := true
	for _, r := range runners {
		note("%s: %d requests at work", r.id, r.running.Load())
		idle = idle && r.running.Load() == 0
	}
	all, allAsked := 0, 0
	for _, kind := range []string{"r", "s", "i", "u"} {
		all, allAsked = all+served["after "+kind], allAsked+asked["after "+kind]
	}
	bad := 0
	for _, kind := range []string{"r", "s"} {
		// Served less than a quarter as often as all requests, at idle runners.
		a, b := served["after "+kind], asked["after "+kind]
		note("kind %s: %d of %d served; all kinds: %d of %d", kind, a, b, all, allAsked)
		if idle && all > 0 && 4*a*allAsked < all*b {
			note("BROKEN Starved: kind %s", kind)
			bad = 1
		}
	}
	for _, n := range nodes {
		note("%s says ready: %v", n.name, n.isReady())
	}
	return bad
}
