package soak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

var (
	seeds   = flag.Int("soak.seeds", 1, "number of seeds to run")
	first   = flag.Uint64("soak.first", 20261204, "first seed")
	seconds = flag.Int("soak.seconds", 8, "duration of fault injection, in s")
	// instances is the number of daemon processes.
	instances = flag.Int("soak.instances", 5, "number of instances")
)

// regressionSeeds are seeds that failed before, each with the cause.
var regressionSeeds = []uint64{}

const (
	callerCount = 10
	// rollGap is the time between two stops when all instances are stopped in turn.
	rollGap = 400 * time.Millisecond
	// seriesGap is the time between the stops of a series.
	seriesGap = 250 * time.Millisecond
	// drainNoticeTime is the time after which a draining server must receive no more
	// requests, under any fault: 2 s for instances to learn of the change, plus the longest
	// fault and 3 s to regain contact after it.
	drainNoticeTime  = 2*time.Second + maxFaultDuration + 3*time.Second
	maxFaultDuration = 4500 * time.Millisecond
	// recoveryTime is the time after the last fault by which requests must be served again.
	recoveryTime = 8 * time.Second
	measuredTime = 2 * time.Second
	// minServedShare is the minimum share of calls served after recoveryTime; some calls use
	// connections that an earlier fault stalled.
	minServedShare = 0.95
)

// Guards the guarantees to callers and backend servers under overlapping faults: answers
// are complete and match their requests, also where servers send other bytes in their place, orders run at most once, an order refused with
// 401, 429 or 503 has not run, removed keys run nothing, draining servers receive nothing,
// and requests are served again after the last fault, under the newest configuration.
func TestSoak(t *testing.T) {
	list := slices.Clone(regressionSeeds)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

// foreignBytes is in what servers send in place of answers.
const foreignBytes = "foreign-bytes"

// brokenStream begins a stream whose second chunk is not valid.
const brokenStream = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s0.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"f\r\nid: 1\ndata: 1\n\n\r\n"

// spoiledAnswers answer no request: other versions, no id, no seal, refusals without an id, an
// answer to another request, no header at all, and a field name with a blank. None of it may reach a caller, nor be
// believed. The last ones are streams whose chunks are not valid; no caller may take them for
// complete.
var spoiledAnswers = []string{
	"HTTP/2.0 200 OK\r\nContent-Length: 13\r\n\r\n" + foreignBytes,
	"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + foreignBytes,
	"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
	"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRetry-After: 5\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 421 X\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 404 Not Found\r\nContent-Length: 13\r\n\r\n" + foreignBytes,
	"HTTP/1.1 200 OK\r\nRequest-Id: " + foreignBytes + "\r\nResponse-Seal: s0." + foreignBytes + "\r\nContent-Length: 0\r\n\r\n",
	foreignBytes + "\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s0.{id}\r\nTransfer -Encoding: chunked\r\n\r\n" + "d\r\n" + foreignBytes + "\r\n0\r\n\r\n",
	brokenStream + "0\r\nid: 2\ndata: 2\n\n\r\n0\r\n\r\n",
	brokenStream + "f\r\nid: 2\ndata: 2\n\n\n0\r\n\r\n",
}

func runSeed(t *testing.T, seed uint64) {
	f := startFleet(t, *instances, spoiledAnswers...)
	c := &callers{f: f}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { c.run(ctx, seed, i) })
	}
	f.injectFaults(seed, time.Duration(*seconds)*time.Second)
	time.Sleep(recoveryTime)
	recoveredAt := time.Now()
	time.Sleep(measuredTime)
	stop()
	wg.Wait()
	f.checkConfiguration()
	f.checkCalls(c.calls, recoveredAt)
	f.checkAnnouncements(c.calls)
	f.checkCrashes(c.calls)
	f.checkStop()
	if t.Failed() && os.Getenv("SOAK_KEEP") != "" {
		f.keepLogs(os.Getenv("SOAK_KEEP"))
	}
}

// injectFaults starts overlapping faults and waits until all have ended.
func (f *fleet) injectFaults(seed uint64, during time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	defer wg.Wait()
	version, busy := 1, map[string]bool{}
	var mu sync.Mutex
	configure := func(step int, second bool) {
		mu.Lock()
		defer mu.Unlock()
		version += step
		f.configure(version, second)
	}
	if *rewinds {
		wg.Go(func() { f.rewindStore(seed, time.Now().Add(during)) })
	}
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Duration(100+rnd.IntN(600)) * time.Millisecond) {
		n, s := f.instances[rnd.IntN(len(f.instances))], f.servers[rnd.IntN(len(f.servers))]
		duration := time.Duration(200+rnd.IntN(int((maxFaultDuration-200*time.Millisecond)/time.Millisecond))) * time.Millisecond
		kind := rnd.IntN(16)
		var key string
		var act func()
		withFault := func(p *proxy, set func(on bool)) func() {
			return func() {
				p.set(func() { set(true) })
				time.Sleep(duration)
				p.set(func() { set(false) })
			}
		}
		switch kind {
		case 0, 1:
			// Several versions in quick succession, with gaps in the numbering.
			for range 1 + rnd.IntN(3) {
				configure(1+rnd.IntN(3), rnd.IntN(2) == 0)
			}
			continue
		case 2:
			key, act = n.name, f.harming(n.caller, func() { n.restart(f.t, syscall.SIGKILL) })
		case 3:
			key, act = n.name, f.harming(n.caller, func() { n.restart(f.t, syscall.SIGTERM) })
		case 14:
			// All instances are stopped in turn; other faults go on meanwhile.
			key, act = "roll", func() {
				var stops sync.WaitGroup
				defer stops.Wait()
				for _, n := range f.instances {
					stops.Go(f.harming(n.caller, func() { n.restart(f.t, syscall.SIGTERM) }))
					time.Sleep(rollGap)
				}
			}
		case 15:
			key, act = "roll", f.seriesOfStops(rnd.Perm(len(f.instances)), rnd.IntN(len(f.instances)), configure)
		case 4:
			// The key is removed while the instance is suspended.
			duration = maxFaultDuration - duration/4
			step := 1 + rnd.IntN(3)
			key, act = n.name, f.harming(n.caller, func() {
				n.signal(syscall.SIGSTOP)
				configure(step, false)
				time.Sleep(duration)
				n.signal(syscall.SIGCONT)
			})
		case 5:
			p := n.toStore
			key, act = n.name+"/store", withFault(p, func(on bool) { p.holdOut = on })
		case 6:
			p := n.toStore
			key, act = n.name+"/store", withFault(p, func(on bool) { p.delay = map[bool]time.Duration{true: 300 * time.Millisecond}[on] })
		case 7:
			key, act = n.name+"/store", func() { n.toStore.stallOpen() }
		case 8:
			p := s.proxy
			key, act = s.ID, f.harming(s.ID, withFault(p, func(on bool) { p.holdIn = on }))
		case 9:
			key, act = s.ID, f.harming(s.ID, func() {
				for range 5 {
					s.proxy.reset()
					time.Sleep(duration / 5)
				}
			})
		case 10:
			key, act = "store", func() {
				f.store.SetDown(true)
				time.Sleep(duration)
				f.store.SetDown(false)
				f.store.DropHistory()
			}
		case 11:
			key, act = s.pool, func() {
				f.register(s, "draining")
				time.Sleep(drainNoticeTime + time.Second)
				f.register(s, "ready")
			}
		case 12:
			key, act = s.pool, func() {
				s.SetLeaving(true)
				time.Sleep(drainNoticeTime + time.Second)
				s.SetLeaving(false)
				s.startAgain()
				f.register(s, "ready")
			}
		case 13:
			key, act = s.pool, func() {
				s.SetPause(pauseSeconds)
				time.Sleep(duration)
				s.SetPause("")
			}
		}
		mu.Lock()
		taken := busy[key]
		busy[key] = true
		mu.Unlock()
		if taken {
			continue
		}
		f.t.Logf("%s: fault %d at %s", time.Now().Format("05.000"), kind, key)
		wg.Go(func() {
			act()
			mu.Lock()
			delete(busy, key)
			mu.Unlock()
		})
	}
}

// seriesOfStops stops all instances in the given order and the first one again, while the
// configuration changes and the stopped instances are told to reload; the one at killed is
// killed in its stop.
func (f *fleet) seriesOfStops(order []int, killed int, configure func(step int, second bool)) func() {
	return func() {
		var stops sync.WaitGroup
		defer stops.Wait()
		for i, at := range append(order, order[0]) {
			n := f.instances[at]
			stops.Go(f.harming(n.caller, func() { n.restart(f.t, syscall.SIGTERM) }))
			configure(1, i%2 == 0)
			time.Sleep(seriesGap)
			if i == killed {
				n.signal(syscall.SIGKILL)
			} else {
				n.signal(syscall.SIGHUP)
			}
		}
	}
}

// harming wraps a fault that disturbs an instance or the way to a server.
func (f *fleet) harming(id string, act func()) func() {
	return func() {
		defer f.harm(id)()
		act()
	}
}

// checkCalls compares the callers' results with the requests that the servers ran.
func (f *fleet) checkCalls(calls []*call, recoveredAt time.Time) {
	f.t.Helper()
	ran := map[string][]runner.Run{}
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			ran[r.ID] = append(ran[r.ID], r)
			s.mu.Lock()
			for _, d := range s.drains {
				if r.StartedAt.Sub(d.begin) > drainNoticeTime && (d.end.IsZero() || r.StartedAt.Before(d.end)) {
					f.t.Errorf("request %s reached %s %v after it was set to draining", r.ID, s.ID, r.StartedAt.Sub(d.begin))
				}
			}
			s.mu.Unlock()
		}
	}
	asked, served, counts := 0, 0, map[int]int{}
	for _, k := range calls {
		counts[k.status]++
		runs := ran[k.id]
		delete(ran, k.id)
		if k.violation != "" {
			f.t.Errorf("request %s (%s) at %s: %s", k.id, k.kind, k.instance, k.violation)
		}
		if k.kind == "order" && len(runs) > 1 {
			f.t.Errorf("order %s ran %d times", k.id, len(runs))
		}
		refused := k.status == http.StatusTooManyRequests || k.status == http.StatusServiceUnavailable || k.status == http.StatusUnauthorized
		if k.kind == "order" && refused && len(runs) > 0 {
			f.t.Errorf("order %s was answered %d and ran", k.id, k.status)
		}
		for _, r := range runs {
			if want := map[string]string{"k1": "t1", "k2": "t2"}[k.key]; r.Tenant != want {
				f.t.Errorf("request %s with key %s ran for %q", k.id, k.key, r.Tenant)
			}
		}
		if k.key == "k2" && len(runs) > 0 && !f.allowed(k.sent) {
			f.t.Errorf("request %s ran although its key had been removed %v before it was sent", k.id, revokeTime)
		}
		if k.cut && len(runs) > 0 && f.onlyStopped(k, runs) {
			f.t.Errorf("request %s (%s) ran and its connection ended without an answer in a planned stop of %s", k.id, k.kind, k.instance)
		}
		if k.deadly && k.status == http.StatusServiceUnavailable && len(runs) > 0 {
			f.t.Errorf("request %s was refused and ran", k.id)
		}
		if k.sent.After(recoveredAt) && k.key == "k1" && !k.deadly {
			asked++
			if k.status == http.StatusOK && k.complete {
				served++
			}
		}
	}
	for id := range ran {
		if strings.HasPrefix(id, "config-") {
			continue // sent by checkConfiguration
		}
		f.t.Errorf("a server ran request %s, which no caller sent", id)
	}
	f.t.Logf("calls by status: %v; at the end %d of %d served", counts, served, asked)
	if float64(served) < minServedShare*float64(asked) || asked == 0 {
		f.t.Errorf("%v after the last fault %d of %d calls are served", recoveryTime, served, asked)
	}
}

// allowed reports whether any version that an instance may have had in force between the
// time sent and the call's deadline allows the second key.
func (f *fleet) allowed(sent time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.configs {
		replaced := time.Now()
		if i+1 < len(f.configs) {
			replaced = f.configs[i+1].at
		}
		if c.second && replaced.Add(revokeTime).After(sent) && c.at.Before(sent.Add(callDeadline)) {
			return true
		}
	}
	return false
}

// checkConfiguration checks that all instances have the newest version in force.
func (f *fleet) checkConfiguration() {
	f.t.Helper()
	version := f.configs[len(f.configs)-1].version
	client := http.Client{Timeout: callDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range f.instances {
		for v, want := range map[int]int{version: http.StatusOK, version - 1: http.StatusNotFound} {
			req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v%d/x", n.caller, v), nil)
			if err != nil {
				f.t.Fatal(err)
			}
			req.Host = "h.example"
			id := fmt.Sprintf("config-%s-%d", n.name, v)
			req.Header.Set("Request-Id", id)
			req.Header.Set("Authorization", "Bearer k1")
			resp, err := client.Do(req)
			if err != nil {
				f.t.Errorf("%s does not answer: %v", n.name, err)
				continue
			}
			body, _ := io.ReadAll(resp.Body) // only for the error message
			resp.Body.Close()
			if resp.StatusCode != want {
				f.t.Errorf("%s answers %d on a route of version %d, want %d: %s", n.name, resp.StatusCode, v, want, strings.TrimSpace(string(body)))
			}
		}
	}
}

// checkStop checks that every instance exits with code 0 after SIGTERM.
func (f *fleet) checkStop() {
	f.t.Helper()
	for _, n := range f.instances {
		n.signal(syscall.SIGTERM)
	}
	for _, n := range f.instances {
		select {
		case <-n.exited:
			if n.code != 0 {
				f.t.Errorf("%s stops with exit code %d", n.name, n.code)
			}
		case <-time.After(waitTimeout):
			f.t.Errorf("%s does not stop", n.name)
		}
	}
}

// keepLogs copies the instances' logs into a directory.
func (f *fleet) keepLogs(dir string) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		f.t.Log(err)
		return
	}
	for _, n := range f.instances {
		b, err := os.ReadFile(n.log)
		if err == nil {
			err = os.WriteFile(fmt.Sprintf("%s/%s.log", dir, n.name), b, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
}
