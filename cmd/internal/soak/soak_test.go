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
	seeds   = flag.Int("soak.seeds", 1, "number of seeds to play")
	first   = flag.Uint64("soak.first", 20261204, "first seed")
	seconds = flag.Int("soak.seconds", 8, "time with faults, in s")
)

// failedOnce are seeds that ever failed, with the cause.
var failedOnce = []uint64{}

const (
	instances   = 5
	callerCount = 10
	// drainTime is after how long a leaving server gets nothing more, whatever happens
	// to the instances: they are told within 2 s, and no fault lasts longer than
	// longestFault and the contact time of 3 s after it.
	drainTime    = 2*time.Second + longestFault + 3*time.Second
	longestFault = 4500 * time.Millisecond
	// recoveryTime is after how long without faults everything is served again.
	recoveryTime = 8 * time.Second
	judgedTime   = 2 * time.Second
	// servedShare is the share of calls that are then served; some calls meet
	// connections that were silenced before.
	servedShare = 0.95
)

// Guards the promises towards callers and backend servers while faults overlap: answers
// are whole and their own, orders run at most once, refusals that say not run are true,
// keys that were taken away run nothing, leaving servers get nothing, and everything is
// served again after the last fault, with the newest configuration.
func TestSoak(t *testing.T) {
	list := slices.Clone(failedOnce)
	for i := range *seeds {
		list = append(list, *first+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

func play(t *testing.T, seed uint64) {
	f := startFleet(t, instances)
	c := &callers{f: f}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { c.run(ctx, seed, i) })
	}
	f.disturb(seed, time.Duration(*seconds)*time.Second)
	time.Sleep(recoveryTime)
	calm := time.Now()
	time.Sleep(judgedTime)
	stop()
	wg.Wait()
	f.judgeConfiguration()
	f.judge(c.calls, calm)
	f.judgeStop()
	if t.Failed() && os.Getenv("SOAK_KEEP") != "" {
		f.keepLogs(os.Getenv("SOAK_KEEP"))
	}
}

// disturb starts faults that overlap and waits until all have ended.
func (f *fleet) disturb(seed uint64, during time.Duration) {
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
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Duration(100+rnd.IntN(600)) * time.Millisecond) {
		n, s := f.instances[rnd.IntN(len(f.instances))], f.servers[rnd.IntN(len(f.servers))]
		long := time.Duration(200+rnd.IntN(int((longestFault-200*time.Millisecond)/time.Millisecond))) * time.Millisecond
		kind := rnd.IntN(12)
		var key string
		var act func()
		link := func(p *proxy, set func(on bool)) func() {
			return func() {
				p.set(func() { set(true) })
				time.Sleep(long)
				p.set(func() { set(false) })
			}
		}
		switch kind {
		case 0, 1:
			// Versions grow in uneven steps and come in series.
			for range 1 + rnd.IntN(3) {
				configure(1+rnd.IntN(3), rnd.IntN(2) == 0)
			}
			continue
		case 2:
			key, act = n.name, func() { n.restart(f.t, syscall.SIGKILL) }
		case 3:
			key, act = n.name, func() { n.restart(f.t, syscall.SIGTERM) }
		case 4:
			// A key is taken away right after the instance is suspended.
			long = longestFault - long/4
			step := 1 + rnd.IntN(3)
			key, act = n.name, func() {
				n.signal(syscall.SIGSTOP)
				configure(step, false)
				time.Sleep(long)
				n.signal(syscall.SIGCONT)
			}
		case 5:
			p := n.toStore
			key, act = n.name+"/store", link(p, func(on bool) { p.holdOut = on })
		case 6:
			p := n.toStore
			key, act = n.name+"/store", link(p, func(on bool) { p.delay = map[bool]time.Duration{true: 300 * time.Millisecond}[on] })
		case 7:
			key, act = n.name+"/store", func() { n.toStore.silence() }
		case 8:
			p := s.proxy
			key, act = s.ID, link(p, func(on bool) { p.holdIn = on })
		case 9:
			key, act = s.ID, func() {
				for range 5 {
					s.proxy.reset()
					time.Sleep(long / 5)
				}
			}
		case 10:
			key, act = "store", func() {
				f.store.SetDown(true)
				time.Sleep(long)
				f.store.SetDown(false)
				f.store.DropHistory()
			}
		case 11:
			key, act = s.pool, func() {
				f.register(s, "draining")
				time.Sleep(drainTime + time.Second)
				f.register(s, "ready")
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

// judge checks what callers saw against what the servers ran.
func (f *fleet) judge(calls []*call, calm time.Time) {
	f.t.Helper()
	ran := map[string][]runner.Run{}
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			ran[r.ID] = append(ran[r.ID], r)
			s.mu.Lock()
			for _, d := range s.drains {
				if r.StartedAt.Sub(d.begin) > drainTime && (d.end.IsZero() || r.StartedAt.Before(d.end)) {
					f.t.Errorf("request %s reached %s %v after it was said to leave", r.ID, s.ID, r.StartedAt.Sub(d.begin))
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
		if k.wrong != "" {
			f.t.Errorf("request %s (%s) at %s: %s", k.id, k.kind, k.instance, k.wrong)
		}
		if k.kind == "order" && len(runs) > 1 {
			f.t.Errorf("order %s ran %d times", k.id, len(runs))
		}
		promised := k.status == http.StatusTooManyRequests || k.status == http.StatusServiceUnavailable || k.status == http.StatusUnauthorized
		if k.kind == "order" && promised && len(runs) > 0 {
			f.t.Errorf("order %s was answered %d and ran", k.id, k.status)
		}
		for _, r := range runs {
			if want := map[string]string{"k1": "t1", "k2": "t2"}[k.key]; r.Tenant != want {
				f.t.Errorf("request %s with key %s ran for %q", k.id, k.key, r.Tenant)
			}
		}
		if k.key == "k2" && len(runs) > 0 && !f.allowed(k.sent) {
			f.t.Errorf("request %s ran though its key had been taken away %v before it was sent", k.id, revokeTime)
		}
		if k.sent.After(calm) && k.key == "k1" {
			asked++
			if k.status == http.StatusOK && k.whole {
				served++
			}
		}
	}
	for id := range ran {
		if strings.HasPrefix(id, "config-") {
			continue // of judgeConfiguration
		}
		f.t.Errorf("a server ran request %s, which no caller sent", id)
	}
	f.t.Logf("calls by status: %v; at the end %d of %d served", counts, served, asked)
	if float64(served) < servedShare*float64(asked) || asked == 0 {
		f.t.Errorf("%v after the last fault %d of %d calls are served", recoveryTime, served, asked)
	}
}

// allowed reports whether some version that may have been in force at an instance from
// sent on allows the second key.
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

// judgeConfiguration checks that all instances have the newest version in force.
func (f *fleet) judgeConfiguration() {
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
			body, _ := io.ReadAll(resp.Body) // shown only
			resp.Body.Close()
			if resp.StatusCode != want {
				f.t.Errorf("%s answers %d on a route of version %d, want %d: %s", n.name, resp.StatusCode, v, want, strings.TrimSpace(string(body)))
			}
		}
	}
}

// judgeStop checks that a planned stop ends in time and well.
func (f *fleet) judgeStop() {
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
		case <-time.After(patience):
			f.t.Errorf("%s does not stop", n.name)
		}
	}
}

// keepLogs copies the instances' logs into a folder.
func (f *fleet) keepLogs(dir string) {
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
