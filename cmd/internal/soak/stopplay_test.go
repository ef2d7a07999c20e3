package soak

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/standins/userstore"
)

var (
	stopSeeds = flag.Int("soak.stopseeds", 1, "number of seeds to run of each play of stops")
	stopPlays = flag.String("soak.stopplays", "", "names of plays of stops, separated by commas, or \"all\"; a short list at half of the times if empty")
	daemon    = flag.String("soak.daemon", "", "daemon binary to test; empty builds the current one")
)

// Kinds of requests, which are the names of their routes.
const (
	kindOnce  = "once"  // a stream that must not be resumed
	kindGoOn  = "go-on" // a stream that may be resumed
	kindOrder = "order" // may run once
	kindRead  = "read"  // may be repeated
)

const (
	// grace is the time from a SIGTERM to the SIGKILL, and stop_ms of the instances.
	grace = 8 * time.Second
	// killAllowance is added to grace before a process is killed.
	killAllowance = 200 * time.Millisecond
	// excusedSend is the time after a SIGTERM until which requests are excused whose server
	// is still at work in the last sixth of grace.
	excusedSend = 3 * time.Second
	// streamDeadline is the deadline of callers and the timeout of the routes.
	streamDeadline = 15 * time.Second
	// addressAge is how long callers use an answer of the directory.
	addressAge = 6 * time.Second
	// stopWarmUp is the time with requests before the first stop.
	stopWarmUp = 8 * time.Second
	// restartDelay is the time between the end of a stopped process and its next start.
	restartDelay = 500 * time.Millisecond
)

// stopPlay is a play of planned stops under load.
type stopPlay struct {
	name  string
	kinds []string
	// length draws the time that a server takes for a request.
	length func(rnd *rand.Rand) time.Duration
	// interval is the time between two events of eventBytes bytes each.
	interval   time.Duration
	eventBytes int
	// tokens makes callers send the number of output tokens, prefix the parts of a prompt too.
	tokens, prefix bool
	// callers is the number of callers that stay with each instance; as many in all follow
	// the directory.
	callers int
	// slow is the share of callers that read slowBytes bytes per second or, if that is 0, stop
	// reading once for slowPause.
	slow      float64
	slowBytes int
	slowPause time.Duration
	// pieces is the share of callers that send bodies in pieces.
	pieces float64
	// eager makes callers send the next request at once, on connections that they use as long
	// as these stand.
	eager bool
	// stopped is the number of instances that are stopped, gap the time between two stops.
	stopped int
	gap     time.Duration
	// again, unless 0, is the time after its restart at which an instance is stopped again.
	again time.Duration
	// moreTerms are the times after a SIGTERM at which another one follows.
	moreTerms []time.Duration
	// slowness is how slow servers become at the first stop, in percent.
	slowness int64
	// during disturb the fleet from the first stop on.
	during []disturbance
	// warmUp is the time with requests before the first stop; 0 selects stopWarmUp.
	warmUp time.Duration
	// percent is the share of all times and of grace that the play takes; 0 selects 100.
	percent int64
}

// scaled returns the time that the play takes for d.
func (p *stopPlay) scaled(d time.Duration) time.Duration {
	return d * time.Duration(cmp.Or(p.percent, 100)) / 100
}

// stopFleet is a fleet whose instances are stopped while callers use it.
type stopFleet struct {
	*fleet
	play     stopPlay
	slowness atomic.Int64
	streams  []*streamServer

	mu    sync.Mutex
	sends []*stopCall
	// stops holds the stops of each instance, by caller address.
	stops map[string][]*stopRecord
}

func (f *stopFleet) configure(version int) {
	route := func(name, kind, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":500,"service":%q,"max_attempts":1%s}`,
			name, name, kind, f.play.scaled(streamDeadline).Milliseconds(), poolOf(name), extra)
	}
	f.store.Set("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s,%s],"services":[{"name":"chat","max_conns":2000,"engine":{"slots":64,"kv_capacity_tokens":300000}},{"name":"orders","max_conns":2000}],"tenants":[{"name":"t1","api_keys":["k1"]}]}`,
		version, route(kindOnce, "streaming", `,"gap_aim_ms":400`), route(kindGoOn, "streaming", `,"can_resume":true,"gap_aim_ms":400`),
		route(kindOrder, "non_idempotent", ""), route(kindRead, "idempotent", ""),
		route(fmt.Sprint("v", version), "idempotent", "")))
}

func isStream(kind string) bool { return kind == kindOnce || kind == kindGoOn }

func poolOf(kind string) string {
	if isStream(kind) {
		return "chat"
	}
	return "orders"
}

func startStopFleet(t *testing.T, p stopPlay, instances int) *stopFleet {
	t.Helper()
	binary, err := *daemon, error(nil)
	if binary == "" {
		binary, err = buildDaemon()
	}
	if err != nil {
		t.Fatal(err)
	}
	store, err := userstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	f := &stopFleet{fleet: &fleet{t: t, store: store, harmed: map[string][]interval{}}, play: p, stops: map[string][]*stopRecord{}}
	f.slowness.Store(100)
	t.Cleanup(f.end)
	f.configure(1)
	for i := range 8 {
		s, err := startStreamServer(store, fmt.Sprint("s", i), []string{"chat", "orders"}[i%2], &f.slowness)
		if err != nil {
			t.Fatal(err)
		}
		f.streams = append(f.streams, s)
	}
	for i := range instances {
		f.instances = append(f.instances, f.instance(binary, i, p.scaled(grace), p.scaled(time.Second)))
	}
	for _, n := range f.instances {
		n.start(t)
	}
	f.eventually("the directory lists all instances", func() bool { return len(f.resolve(f.instances[0])) == instances })
	return f
}

// stop stops an instance as a platform does and starts it again.
func (f *stopFleet) stop(n *instance) {
	record := &stopRecord{term: time.Now()}
	f.mu.Lock()
	f.stops[n.caller] = append(f.stops[n.caller], record)
	f.mu.Unlock()
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	more := make([]*time.Timer, 0, len(f.play.moreTerms))
	for _, d := range f.play.moreTerms {
		more = append(more, time.AfterFunc(f.play.scaled(d), func() { n.signal(syscall.SIGTERM) }))
	}
	select {
	case <-exited:
		f.t.Logf("%s ended %.2f s after its SIGTERM", n.name, time.Since(record.term).Seconds())
	case <-time.After(f.play.scaled(grace) + killAllowance):
		f.t.Errorf("%s runs %v after its SIGTERM", n.name, f.play.scaled(grace))
		n.signal(syscall.SIGKILL)
		<-exited
	}
	for _, t := range more {
		t.Stop()
	}
	n.mu.Lock()
	record.exit, record.code = time.Now(), n.code
	n.mu.Unlock()
	time.Sleep(restartDelay)
	n.start(f.t)
}

// stopAndAgain stops an instance as often as the play says.
func (f *stopFleet) stopAndAgain(n *instance) {
	f.stop(n)
	if f.play.again > 0 {
		time.Sleep(f.play.scaled(f.play.again))
		f.stop(n)
	}
}

// run plays the stops and returns when all callers have ended.
func (f *stopFleet) run(seed uint64) {
	p := f.play
	warmUp := p.scaled(cmp.Or(p.warmUp, stopWarmUp))
	stopped := time.Now().Add(warmUp + p.scaled(time.Duration(p.stopped)*p.gap+grace))
	if p.again > 0 {
		stopped = stopped.Add(restartDelay + p.scaled(p.again+grace))
	}
	ends := stopped.Add(p.scaled(3 * time.Second))
	var wg sync.WaitGroup
	number := uint64(0)
	caller := func(n *instance) {
		number++
		rnd := rand.New(rand.NewPCG(seed, number))
		wg.Go(func() { f.caller(rnd, n, ends) })
	}
	for _, n := range f.instances {
		for range p.callers {
			caller(n)
		}
	}
	for range p.callers {
		caller(nil)
	}
	time.Sleep(warmUp)
	if p.slowness > 0 {
		f.slowness.Store(p.slowness)
	}
	for _, act := range p.during {
		wg.Go(func() { act(f, stopped) })
	}
	for _, n := range f.instances[:p.stopped] {
		wg.Go(func() { f.stopAndAgain(n) })
		time.Sleep(p.scaled(p.gap))
	}
	wg.Wait()
}

// slots bounds the number of plays that run at the same time.
var slots = make(chan struct{}, 3)

const (
	shortPercent   = 50
	shortInstances = 3
	stopInstances  = 6
)

// Plays that run without a flag, with shortInstances. excusedSend does not scale, so that
// only plays at their full times show requests that are sent late in a stop.
var (
	// halfStopPlays run at shortPercent of their times.
	halfStopPlays = []string{
		"slow-large-answers", "mixed-kinds", "slower-servers", "eager-pieces", "together", "everything", "terms-and-hups",
	}
	lateStopPlays = []string{"rare-fresh", "rare-few", "pausing-large"}
)

// stopPlaysNamed returns the plays with the given names, or all.
func stopPlaysNamed(names []string, percent int64, instances int) []stopPlay {
	var out []stopPlay
	for _, p := range stopPlayList {
		if slices.Contains(names, p.name) || slices.Contains(names, "all") {
			p.percent, p.stopped = percent, min(p.stopped, instances)
			out = append(out, p)
		}
	}
	return out
}

// Guards against a planned stop that cuts accepted requests or outlasts its grace.
func TestStopPlays(t *testing.T) {
	if *stopPlays != "" {
		runStopPlays(t, stopPlaysNamed(strings.Split(*stopPlays, ","), 100, stopInstances), stopInstances, false)
		return
	}
	runStopPlays(t, stopPlaysNamed(halfStopPlays, shortPercent, shortInstances), shortInstances, true)
}

// A request that is accepted late in a stop must end, and be delivered, before the process.
func TestLateRequestsInStops(t *testing.T) {
	runStopPlays(t, stopPlaysNamed(lateStopPlays, 100, shortInstances), shortInstances, true)
}

// A SIGHUP must not end a process that starts.
func TestReloadAtStart(t *testing.T) {
	runStopPlays(t, stopPlaysNamed([]string{"hups-at-start"}, shortPercent, shortInstances), shortInstances, true)
}

func runStopPlays(t *testing.T, list []stopPlay, instances int, parallel bool) {
	if len(list) == 0 {
		t.Fatalf("no play is named %q", *stopPlays)
	}
	for _, p := range list {
		for seed := range *stopSeeds {
			t.Run(fmt.Sprint(p.name, "/", *first+uint64(seed)), func(t *testing.T) {
				if parallel {
					t.Parallel()
					slots <- struct{}{}
					defer func() { <-slots }()
				}
				f := startStopFleet(t, p, instances)
				f.run(*first + uint64(seed))
				f.check()
				if dir := os.Getenv("SOAK_KEEP"); t.Failed() && dir != "" {
					f.keepLogs(filepath.Join(dir, t.Name()))
				}
			})
		}
	}
}
