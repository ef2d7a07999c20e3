package main

import (
	"fmt"
	"syscall"
	"time"
)

// startFleet starts instances and runners of a small deployment: model engines and a plain
// service in three zones. It returns when all instances are ready.
func startFleet(bin, dir string, fronts, engines, apps int, behave func(*runner, *request) behaviour) (*store, []*instance, []*runner) {
	st := newStore()
	zones := []string{"za", "zb", "zc"}
	var runners []*runner
	for i := range engines {
		runners = append(runners, &runner{id: fmt.Sprintf("llm-%d", i), service: "llm", zone: zones[i%3], slots: 64, engine: true, behave: behave})
	}
	for i := range apps {
		runners = append(runners, &runner{id: fmt.Sprintf("app-%d", i), service: "app", zone: zones[i%3], slots: 6, behave: behave})
	}
	for _, r := range runners {
		if err := r.start(); err != nil {
			fatal("%v", err)
		}
		st.set("servers", r.id, r.entry("ready", 0))
	}
	go func() { // heartbeat_ms is 1,200
		for {
			time.Sleep(1200 * time.Millisecond)
			for _, r := range runners {
				st.set("servers", r.id, r.entry("ready", 0))
			}
		}
	}()
	st.set("op", "config", config(1))
	var nodes []*instance
	for i := range fronts {
		n := newInstance(st, dir, bin, fmt.Sprintf("front-%d", i), zones[i%3])
		n.start()
		nodes = append(nodes, n)
	}
	cleanup = append(cleanup, func() {
		for _, n := range nodes {
			n.stop(syscall.SIGKILL, time.Second)
		}
	})
	for _, n := range nodes {
		if !n.awaitReady(10 * time.Second) {
			fatal("%s is not ready", n.name)
		}
	}
	time.Sleep(time.Second)
	return st, nodes, runners
}
