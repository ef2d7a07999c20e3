package edge

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"cyclamenhitch/adapters/httpapi"
)

// Names of the published metrics.
const (
	metricsName      = "cyclamenhitch"
	droppedLinesName = "cyclamenhitch_log_lines_dropped"
)

// meters holds the metrics of the instance.
type meters struct {
	all                                                    *expvar.Map
	requests, failures, storeCalls, storeErrors            *expvar.Map
	serverErrors, serverCrashes, promptsBlocked            *expvar.Map
	rolloutSends, responsesRejected, connectionEnds        *expvar.Map
	streamsContinued, streamOrigins, streamStore           *expvar.Map
	tunnels                                                *expvar.Map
	linkTests                                              *expvar.Int
	brittleHeldBack                                        *expvar.Map
	firstPart, largestGaps, placementWaits, storeCallTimes *durationHistogram
}

func newMeters() *meters {
	m := &meters{
		all: new(expvar.Map), requests: new(expvar.Map), failures: new(expvar.Map), storeCalls: new(expvar.Map), storeErrors: new(expvar.Map),
		serverErrors: new(expvar.Map), serverCrashes: new(expvar.Map), promptsBlocked: new(expvar.Map), rolloutSends: new(expvar.Map), responsesRejected: new(expvar.Map), connectionEnds: new(expvar.Map), streamsContinued: new(expvar.Map),
		brittleHeldBack: new(expvar.Map), streamOrigins: new(expvar.Map), streamStore: new(expvar.Map), tunnels: new(expvar.Map), linkTests: new(expvar.Int),
		firstPart: newDurationHistogram(), largestGaps: newDurationHistogram(), placementWaits: newDurationHistogram(), storeCallTimes: newDurationHistogram(),
	}
	m.all.Set("requests", m.requests)
	m.all.Set("failures", m.failures)
	m.all.Set("server_errors", m.serverErrors)
	m.all.Set("server_crashes", m.serverCrashes)
	m.all.Set("prompts_blocked", m.promptsBlocked)
	m.all.Set("rollout_sends", m.rolloutSends)
	m.all.Set("responses_rejected", m.responsesRejected)
	m.all.Set("connection_ends", m.connectionEnds)
	m.all.Set("streams_continued", m.streamsContinued)
	m.all.Set("stream_origins", m.streamOrigins)
	m.all.Set("stream_store", m.streamStore)
	m.all.Set("tunnels", m.tunnels)
	m.all.Set("link_tests", m.linkTests)
	m.all.Set("brittle_held_back", m.brittleHeldBack)
	m.all.Set("store_calls", m.storeCalls)
	m.all.Set("store_errors", m.storeErrors)
	m.all.Set("first_part_ms", m.firstPart)
	m.all.Set("largest_gap_ms", m.largestGaps)
	m.all.Set("placement_wait_ms", m.placementWaits)
	m.all.Set("store_call_ms", m.storeCallTimes)
	if expvar.Get(metricsName) == nil {
		expvar.Publish(metricsName, m.all)
	}
	return m
}

// PublishDroppedLines publishes the number of dropped log lines.
func PublishDroppedLines(n *atomic.Int64) {
	expvar.Publish(droppedLinesName, expvar.Func(func() any { return n.Load() }))
}

// gauge publishes a value that is computed when the metrics are read.
func (m *meters) gauge(name string, fn func() any) { m.all.Set(name, expvar.Func(fn)) }

func (m *meters) handle(ctx *fasthttp.RequestCtx) { expvarhandler.ExpvarHandler(ctx) }

func (m *meters) observePlacementWait(waited time.Duration) { m.placementWaits.add(waited) }

func (m *meters) observeStoreCall(name string, took time.Duration, err error) {
	m.storeCalls.Add(name, 1)
	m.storeCallTimes.add(took)
	if err != nil {
		m.storeErrors.Add(name, 1)
	}
}

func (m *meters) observeRequest(o httpapi.Observation) {
	m.requests.Add(string(o.Pool), 1)
	if o.Code != 0 {
		m.failures.Add(o.Code.Info().Name, 1)
		return
	}
	if o.Status >= fasthttp.StatusInternalServerError {
		m.serverErrors.Add(string(o.Pool), 1)
	}
	m.firstPart.add(o.FirstPart)
	if o.Parts > 1 {
		m.largestGaps.add(o.LargestGap)
	}
}

// Range and precision of the histograms: 1 ms to 60 s, within 10%.
const (
	lowestMillis      = 1
	highestMillis     = 60_000
	significantDigits = 1
)

// durationHistogram is a histogram of durations in ms.
type durationHistogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newDurationHistogram() *durationHistogram {
	return &durationHistogram{h: hdrhistogram.New(lowestMillis, highestMillis, significantDigits)}
}

func (t *durationHistogram) add(d time.Duration) {
	ms := min(max(d.Milliseconds(), lowestMillis), highestMillis)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.h.RecordValue(ms) // cannot fail: ms is within the range
}

// String implements expvar.Var.
func (t *durationHistogram) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return expvar.Func(func() any {
		return map[string]int64{
			"count": t.h.TotalCount(), "p50": t.h.ValueAtQuantile(50), "p95": t.h.ValueAtQuantile(95), "p99": t.h.ValueAtQuantile(99), "max": t.h.Max(),
		}
	}).String()
}
