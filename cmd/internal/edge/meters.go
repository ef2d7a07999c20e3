package edge

import (
	"expvar"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/result"
)

// meters counts what the instance does.
type meters struct {
	requests, failures, storeCalls, storeErrors *expvar.Map
	waited                                      *expvar.Float
	placements                                  *expvar.Int
}

func newMeters() *meters {
	all := new(expvar.Map)
	m := &meters{
		requests: new(expvar.Map), failures: new(expvar.Map), storeCalls: new(expvar.Map), storeErrors: new(expvar.Map),
		waited: new(expvar.Float), placements: new(expvar.Int),
	}
	all.Set("requests", m.requests)
	all.Set("failures", m.failures)
	all.Set("store_calls", m.storeCalls)
	all.Set("store_errors", m.storeErrors)
	all.Set("placements", m.placements)
	all.Set("placement_wait_seconds", m.waited)
	if expvar.Get(metricsName) == nil {
		expvar.Publish(metricsName, all)
	}
	return m
}

const metricsName = "cyclamenhitch"

func (m *meters) handle(ctx *fasthttp.RequestCtx) { expvarhandler.ExpvarHandler(ctx) }

func (m *meters) placed(waited time.Duration) {
	m.placements.Add(1)
	m.waited.Add(waited.Seconds())
}

func (m *meters) storeCall(name string, _ time.Duration, err error) {
	m.storeCalls.Add(name, 1)
	if err != nil {
		m.storeErrors.Add(name, 1)
	}
}

func (m *meters) observe(o httpapi.Observation) {
	m.requests.Add(string(o.Pool), 1)
	if o.Code != 0 {
		m.failures.Add(result.Code(o.Code).Info().Name, 1)
	}
}
