package soak

import (
	"bufio"
	"cmp"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
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
	stopPlays = flag.String("soak.stopplays", "", "names of plays of stops, separated by commas; all if empty")
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
	// tokens makes callers send the number of output tokens.
	tokens bool
	// callers is the number of callers that stay with each instance; as many in all follow
	// the directory.
	callers int
	// slow is the share of callers that read slowBytes bytes per second.
	slow      float64
	slowBytes int
	// stopped is the number of instances that are stopped, gap the time between two stops.
	stopped int
	gap     time.Duration
	// again, unless 0, is the time after its restart at which an instance is stopped again.
	again time.Duration
	// slowness is how slow servers become at the first stop, in percent.
	slowness int64
	// during, unless nil, disturbs the fleet from the first stop on.
	during func(f *stopFleet)
	// warmUp is the time with requests before the first stop; 0 selects stopWarmUp.
	warmUp time.Duration
}

func fixed(d time.Duration) func(*rand.Rand) time.Duration {
	return func(*rand.Rand) time.Duration { return d }
}

// logNormal draws times with the given median.
func logNormal(median time.Duration, sigma float64, most time.Duration) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		return min(most, time.Duration(float64(median)*math.Exp(sigma*rnd.NormFloat64())))
	}
}

// withRare draws a time factor times as long as usual with the given probability.
func withRare(usual time.Duration, probability, factor float64) func(*rand.Rand) time.Duration {
	return func(rnd *rand.Rand) time.Duration {
		if rnd.Float64() < probability {
			return time.Duration(factor * float64(usual))
		}
		return usual
	}
}

// stopFleet is a fleet whose instances are stopped while callers use it.
type stopFleet struct {
	*fleet
	play     stopPlay
	slowness atomic.Int64
	streams  []*streamServer
	begin    time.Time

	mu    sync.Mutex
	sends []*stopCall
	// terms holds the SIGTERMs of each instance, by caller address.
	terms map[string][]time.Time
}

// stopCall is a request as its caller saw it.
type stopCall struct {
	id, kind, instance string
	sent, ended        time.Time
	status             int
	whole              bool
	err                error
	slow               bool
}

func (f *stopFleet) configure(version int) {
	route := func(name, kind, extra string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h.example","path_prefix":"/%s/","kind":%q,"timeout_ms":%d,"target_latency_ms":500,"service":%q,"max_attempts":1%s}`,
			name, name, kind, streamDeadline.Milliseconds(), poolOf(name), extra)
	}
	f.store.Set("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s,%s,%s],"services":[{"name":"chat","max_conns":2000,"engine":{"slots":64,"kv_capacity_tokens":300000}},{"name":"orders","max_conns":2000}],"tenants":[{"name":"t1","api_keys":["k1"]}]}`,
		version, route(kindOnce, "streaming", `,"gap_aim_ms":400`), route(kindGoOn, "streaming", `,"can_resume":true,"gap_aim_ms":400`),
		route(kindOrder, "non_idempotent", ""), route(kindRead, "idempotent", "")))
}

func poolOf(kind string) string {
	if kind == kindOnce || kind == kindGoOn {
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
	f := &stopFleet{fleet: &fleet{t: t, store: store, harmed: map[string][]interval{}}, play: p, terms: map[string][]time.Time{}}
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
		f.instances = append(f.instances, f.instance(binary, i, grace, time.Second))
	}
	for _, n := range f.instances {
		n.start(t)
	}
	f.eventually("the directory lists all instances", func() bool { return len(f.resolve(f.instances[0])) == instances })
	return f
}

// stop stops an instance as a platform does and starts it again.
func (f *stopFleet) stop(n *instance) {
	f.mu.Lock()
	f.terms[n.caller] = append(f.terms[n.caller], time.Now())
	f.mu.Unlock()
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	term := time.Now()
	n.signal(syscall.SIGTERM)
	select {
	case <-exited:
		f.t.Logf("%s ended %.2f s after its SIGTERM", n.name, time.Since(term).Seconds())
	case <-time.After(grace + killAllowance):
		f.t.Errorf("%s runs %v after its SIGTERM", n.name, grace)
		n.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(restartDelay)
	n.start(f.t)
}

// stopAndAgain stops an instance as often as the play says.
func (f *stopFleet) stopAndAgain(n *instance) {
	f.stop(n)
	if f.play.again > 0 {
		time.Sleep(f.play.again)
		f.stop(n)
	}
}

// run plays the stops and returns when all callers have ended.
func (f *stopFleet) run(seed uint64) {
	f.begin = time.Now()
	warmUp := cmp.Or(f.play.warmUp, stopWarmUp)
	ends := f.begin.Add(warmUp + time.Duration(f.play.stopped)*f.play.gap + grace + 3*time.Second)
	if f.play.again > 0 {
		ends = ends.Add(restartDelay + f.play.again + grace)
	}
	var wg sync.WaitGroup
	number := uint64(0)
	caller := func(n *instance) {
		number++
		rnd := rand.New(rand.NewPCG(seed, number))
		wg.Go(func() { f.caller(rnd, n, ends) })
	}
	for _, n := range f.instances {
		for range f.play.callers {
			caller(n)
		}
	}
	for range f.play.callers {
		caller(nil)
	}
	time.Sleep(warmUp)
	if f.play.slowness > 0 {
		f.slowness.Store(f.play.slowness)
	}
	if f.play.during != nil {
		wg.Go(func() { f.play.during(f) })
	}
	for _, n := range f.instances[:f.play.stopped] {
		wg.Go(func() { f.stopAndAgain(n) })
		time.Sleep(f.play.gap)
	}
	wg.Wait()
}

// caller sends one request after the other on connections that it keeps. Without a fixed
// instance it uses the addresses of the directory.
func (f *stopFleet) caller(rnd *rand.Rand, fixedTo *instance, ends time.Time) {
	var conn net.Conn
	var br *bufio.Reader
	var addresses []string
	var resolved time.Time
	address := ""
	drop := func() {
		if conn != nil {
			_ = conn.Close()
			conn = nil
		}
	}
	defer drop()
	slow := rnd.Float64() < f.play.slow
	for time.Now().Before(ends) {
		time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
		if fixedTo == nil && time.Since(resolved) > addressAge {
			if named := f.resolve(f.instances[rnd.IntN(len(f.instances))]); len(named) > 0 {
				addresses, resolved = named, time.Now()
			}
		}
		if conn == nil {
			address = ""
			if fixedTo != nil {
				address = fixedTo.caller
			} else if len(addresses) > 0 {
				address = addresses[rnd.IntN(len(addresses))]
			}
			c, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				continue
			}
			conn = c
			if slow {
				_ = c.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
				br = bufio.NewReaderSize(&slowReader{c, f.play.slowBytes}, slowReadBytes)
			} else {
				br = bufio.NewReader(c)
			}
		}
		k := f.send(rnd, conn, br, address)
		k.slow = slow
		f.mu.Lock()
		f.sends = append(f.sends, k)
		f.mu.Unlock()
		if k.err != nil || k.status == http.StatusServiceUnavailable {
			drop()
		}
	}
}

// slowReadBytes is the size of the reads of a slow caller, slowReadBuffer that of its kernel buffer.
const (
	slowReadBytes  = 16 << 10
	slowReadBuffer = 64 << 10
)

// slowReader reads a number of bytes per second.
type slowReader struct {
	net.Conn
	rate int
}

func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, err
}

var stopCallIDs atomic.Uint64

// send sends one request and reads its answer.
func (f *stopFleet) send(rnd *rand.Rand, conn net.Conn, br *bufio.Reader, address string) *stopCall {
	p := f.play
	k := &stopCall{id: fmt.Sprintf("%016x", stopCallIDs.Add(1)), kind: p.kinds[rnd.IntN(len(p.kinds))], instance: address}
	events := max(1, int(p.length(rnd)/p.interval))
	tokens := ""
	if p.tokens {
		tokens = fmt.Sprintf("Token-Count: 100,%d\r\n", 3*events)
	}
	_ = conn.SetDeadline(time.Now().Add(streamDeadline + time.Second))
	k.sent = time.Now()
	_, k.err = fmt.Fprintf(conn, "POST /%s/%d/%d/%d HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Remaining: %d\r\nAuthorization: Bearer k1\r\n%sContent-Length: 0\r\n\r\n",
		k.kind, events, p.interval.Milliseconds(), p.eventBytes, k.id, streamDeadline.Milliseconds(), tokens)
	var resp *http.Response
	if k.err == nil {
		resp, k.err = http.ReadResponse(br, nil)
	}
	if k.err == nil {
		k.status = resp.StatusCode
		_, k.err = io.Copy(io.Discard, resp.Body)
		k.whole = k.err == nil
		if resp.Close && k.err == nil {
			k.err = io.EOF
		}
	}
	k.ended = time.Now()
	return k
}

// check compares what callers saw with what the servers did.
func (f *stopFleet) check() {
	whole, refused, failed, excused, lost := 0, 0, 0, 0, 0
	slices.SortFunc(f.sends, func(a, b *stopCall) int { return a.sent.Compare(b.sent) })
	for _, k := range f.sends {
		var run streamRun
		ran := false
		for _, s := range f.streams {
			if r, ok := s.run(k.id); ok {
				run, ran = r, true
			}
		}
		var term time.Time
		for _, t := range f.terms[k.instance] {
			if t.Before(k.ended) {
				term = t
			}
		}
		after := k.sent.Sub(term)
		lastSixth := term.Add(grace * 5 / 6)
		switch {
		case k.whole && k.status == http.StatusOK:
			whole++
		case k.whole && k.status == http.StatusServiceUnavailable && !ran:
			refused++
		case k.whole && k.status >= http.StatusInternalServerError && k.status != http.StatusServiceUnavailable:
			failed++
		case k.whole:
			f.t.Errorf("%s %s at %s: status %d, ran %v", k.kind, k.id, k.instance, k.status, ran)
		case !ran || term.IsZero():
			if ran {
				f.t.Errorf("%s %s at %s ran and ended without an answer outside of a stop: %v", k.kind, k.id, k.instance, k.err)
			}
		case k.ended.Sub(k.sent) >= streamDeadline:
		case after <= excusedSend && run.end.After(lastSixth):
			excused++
		default:
			lost++
			f.t.Errorf("lost: %s %s at %s, slow reader %v, sent %.2f s after the SIGTERM, status %d, its server worked until %.2f s after it (whole %v), its connection ended at %.2f s: %v",
				k.kind, k.id, k.instance, k.slow, after.Seconds(), k.status, run.end.Sub(term).Seconds(), run.whole, k.ended.Sub(term).Seconds(), k.err)
		}
	}
	f.t.Logf("%s: %d requests, %d whole, %d refused, %d failed, %d excused, %d lost", f.play.name, len(f.sends), whole, refused, failed, excused, lost)
}

const ms = time.Millisecond

// stopPlayList holds the plays of TestStopPlays.
var stopPlayList = []stopPlay{
	{name: "one-length", kinds: []string{kindOnce}, length: fixed(time.Second), interval: 200 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: time.Second},
	{name: "spread", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 12*time.Second), interval: 100 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: time.Second},
	{name: "rare", kinds: []string{kindOnce}, length: withRare(1200*ms, 0.004, 5.5), interval: 200 * ms, eventBytes: 45, callers: 80, stopped: 6, gap: time.Second},
	{name: "rare-fresh", kinds: []string{kindOnce}, length: withRare(1200*ms, 0.004, 6), interval: 200 * ms, eventBytes: 45, callers: 45, stopped: 6, gap: 400 * ms, warmUp: 1500 * ms, again: 1500 * ms},
	{name: "rare-fresh-100ms", kinds: []string{kindOnce}, length: withRare(1500*ms, 0.005, 5), interval: 100 * ms, eventBytes: 45, callers: 45, stopped: 6, gap: time.Second, warmUp: 3 * time.Second, again: 2500 * ms},
	{name: "rare-few", kinds: []string{kindOnce}, length: withRare(1500*ms, 0.005, 6), interval: 200 * ms, eventBytes: 45, callers: 25, stopped: 6, gap: 400 * ms, warmUp: 4 * time.Second},
	{name: "long-tail-fresh", kinds: []string{kindOnce}, length: logNormal(1000*ms, 0.6, 12*time.Second), interval: 100 * ms, eventBytes: 45, callers: 40, stopped: 6, gap: 400 * ms, warmUp: 1500 * ms, again: 1500 * ms},
	{name: "few-known", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 8*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 2500 * ms, warmUp: 1500 * ms},
	{name: "few-known-tokens", kinds: []string{kindOnce}, length: logNormal(1500*ms, 0.7, 8*time.Second), interval: 100 * ms, eventBytes: 45, callers: 20, stopped: 6, gap: 2500 * ms, warmUp: 1500 * ms, tokens: true},
	{name: "slow-readers", kinds: []string{kindOnce}, length: fixed(2 * time.Second), interval: 10 * ms, eventBytes: 20_000, callers: 4, slow: 1, slowBytes: 900_000, stopped: 6, gap: time.Second},
	{name: "slow-large-answers", kinds: []string{kindRead, kindOrder}, length: fixed(200 * ms), interval: 200 * ms, eventBytes: 6_000_000, callers: 3, slow: 1, slowBytes: 1_500_000, stopped: 6, gap: time.Second},
	{name: "mixed-kinds", kinds: []string{kindOnce, kindGoOn, kindOrder, kindRead}, length: logNormal(1000*ms, 0.7, 9*time.Second), interval: 100 * ms, eventBytes: 100, callers: 25, stopped: 6, gap: time.Second},
	{name: "slower-servers", kinds: []string{kindOnce, kindOrder}, length: logNormal(1200*ms, 0.4, 9*time.Second), interval: 100 * ms, eventBytes: 100, callers: 25, stopped: 6, gap: time.Second, slowness: 200},
}

// A planned stop must not end a request without an answer that it has accepted, unless its
// server is at work until the end, nor keep the process beyond its grace.
func TestStopPlays(t *testing.T) {
	for _, p := range stopPlayList {
		if *stopPlays != "" && !slices.Contains(strings.Split(*stopPlays, ","), p.name) {
			continue
		}
		for seed := range *stopSeeds {
			t.Run(fmt.Sprint(p.name, "/", *first+uint64(seed)), func(t *testing.T) {
				f := startStopFleet(t, p, 6)
				f.run(*first + uint64(seed))
				f.check()
				if dir := os.Getenv("SOAK_KEEP"); t.Failed() && dir != "" {
					f.keepLogs(filepath.Join(dir, t.Name()))
				}
			})
		}
	}
}
