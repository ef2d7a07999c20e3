package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// routedConfig is the configuration with the route on the given service.
func routedConfig(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"guia","host":"a.example","path_prefix":"/guia/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":2,"service":%q,"max_attempts":1,"anonymous":false,"sticky":true,"can_resume":false,"gap_aim_ms":400}],
"services":[{"name":"taller","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0},{"name":"taller-2","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key1"],"priority":1}]}`, version, service)
}

const (
	idUsers = 30
	// tokensPerEvent is the number of tokens in an event of a stream, as SYSTEM.md says.
	tokensPerEvent = 3
	configApply    = 2 * time.Second
	// moveBackAfter is the time between the two configurations.
	moveBackAfter = 2500 * time.Millisecond
)

// ids plays a configuration that moves a route to another service and one that moves it
// back. The runners of the other service number the events of a stream by the tokens made so
// far, so that the ids increase by more than one.
func ids(dir string) bool {
	s := newStore()
	s.set("op", "config", routedConfig(1, "taller"))
	runs := newRunLog()
	zones := []string{"cordon", "goes", "prado"}
	for i := range 6 {
		r := &runner{id: fmt.Sprintf("i-1%07x", i+1), service: "taller", zone: zones[i%3], slots: 64, log: runs, work: 100 * time.Millisecond, events: 10, every: 40 * time.Millisecond}
		if i >= 3 {
			r.id, r.service, r.step = fmt.Sprintf("i-2%07x", i+1), "taller-2", tokensPerEvent
		}
		r.start(s)
	}
	var fleet []*instance
	for i, z := range zones {
		in := newInstance(fmt.Sprintf("front-%s-%d", z, i+1))
		in.start(dir, s.addr, z, true)
		fleet = append(fleet, in)
	}
	for _, in := range fleet {
		in.awaitReady()
	}
	day := time.Now()
	var mu sync.Mutex
	var outcomes []*outcome
	var wg sync.WaitGroup
	for i := range idUsers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{host: "a.example", key: "key1", keepFactor: 1}
			for k := range fleet {
				c.directories = append(c.directories, fleet[(i+k)%len(fleet)].directory)
			}
			defer c.close()
			for time.Since(day) < 25*time.Second {
				c.resolve()
				if o := c.send("POST", "/guia/x", "Content-Length: 0\r\n", 15*time.Second); o != nil {
					mu.Lock()
					outcomes = append(outcomes, o)
					mu.Unlock()
				}
				time.Sleep(rand.N(time.Second))
			}
		}()
	}
	time.Sleep(8 * time.Second)
	note("%d runs so far", runs.count())
	sent := time.Now()
	end := sent
	if trouble {
		s.set("op", "config", routedConfig(2, "taller-2"))
		note("configuration 2 moves the route to taller-2")
		time.Sleep(moveBackAfter)
		s.set("op", "config", routedConfig(5, "taller"))
		note("configuration 5 moves it back")
		end = time.Now().Add(configApply + time.Second)
	}
	wg.Wait()

	noteRequests(outcomes, runs)
	whole, refused, other := 0, 0, 0
	// Requests that ended and those cut off at each instance, at other times (0) and near a
	// configuration (1).
	type rate struct{ ended, cut [2]int }
	byCaller := map[string]*rate{}
	for _, in := range fleet {
		byCaller[in.caller] = &rate{}
	}
	for _, o := range outcomes {
		at := 0
		if o.ended.After(sent) && o.ended.Before(end) {
			at = 1
		}
		r := byCaller[o.instance]
		r.ended[at]++
		switch ran := runs.of(o.id); {
		case o.whole && o.status == 200:
			whole++
		case o.whole && o.status == 503:
			refused++
		case len(ran) > 0 && o.ended.Sub(o.sent) < o.deadline*7/10:
			r.cut[at]++
			note("cut: request %s to %s ran at %s, the connection ended inside the answer (status %d) %.3f s after it was sent: %v",
				o.id, o.instance, ran[0].runner, o.status, o.ended.Sub(o.sent).Seconds(), o.err)
		default:
			other++
		}
	}
	note("%d requests: %d whole answers, %d refused with 503, %d others", len(outcomes), whole, refused, other)
	broken := false
	var all rate
	for _, in := range fleet {
		r := byCaller[in.caller]
		for at := range all.cut {
			all.ended[at], all.cut[at] = all.ended[at]+r.ended[at], all.cut[at]+r.cut[at]
		}
		note("%s: near the configurations %d of %d were cut off, at other times %d of %d", in.name, r.cut[1], r.ended[1], r.cut[0], r.ended[0])
		// Over three times as often as at other times, as the rule asks for each machine.
		broken = broken || r.cut[1] > 0 && r.cut[1]*r.ended[0] > 3*r.cut[0]*r.ended[1]
	}
	note("all: near the configurations %d of %d were cut off, at other times %d of %d", all.cut[1], all.ended[1], all.cut[0], all.ended[0])
	return broken
}
