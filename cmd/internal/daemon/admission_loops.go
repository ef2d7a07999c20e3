package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

const (
	// tickInterval bounds how late a membership or configuration change takes
	// effect on an instance without requests.
	tickInterval = 100 * time.Millisecond
	// minExchangeInterval is the minimum time between exchanges, and between syncs,
	// on demand.
	minExchangeInterval = 50 * time.Millisecond
	// pollInterval is the time between two load reports of an engine.
	pollInterval = time.Second
	// pollTimeout is the timeout of one load report. It is shorter than pollInterval.
	pollTimeout = 800 * time.Millisecond
)

func (c *admissionComponent) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.runTick, c.runExchange, c.runSync, c.runPoll} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// runPeriodically calls f at once, at each interval, and with the given delay after
// each receive from wake.
func runPeriodically(ctx context.Context, interval, delay time.Duration, wake <-chan struct{}, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay):
			}
		}
	}
}

func (c *admissionComponent) runTick(ctx context.Context) {
	runPeriodically(ctx, tickInterval, 0, nil, func() {
		if c.ledger.Tick(time.Now()) {
			c.d.log.Warn("instance was paused; restarting the handover wait of its admitter roles")
		}
		if st := c.current(); st != nil {
			c.stepTakeover(ctx, st)
		}
	})
}

func (c *admissionComponent) runExchange(ctx context.Context) {
	last := time.Time{}
	runPeriodically(ctx, admission.ExchangeInterval/2, minExchangeInterval, c.exchangeWake, func() {
		st := c.current()
		if st == nil {
			return
		}
		// The loop runs at the interval of small fleets. Large fleets exchange on
		// every second run, unless an exchange was requested.
		if now := time.Now(); c.exchangeRequested.Swap(false) || now.Sub(last) >= st.table.ExchangeInterval()-minExchangeInterval {
			last = now
			c.exchangeTotals(ctx, st)
		}
	})
}

// exchangeLocal updates the totals of the pools that this instance aggregates.
func (c *admissionComponent) exchangeLocal(now time.Time, st *admissionState) {
	for i := range st.table.Index.Manifest.Pools {
		pool := st.table.Index.Manifest.Pools[i].Name
		if m := st.table.Aggregator(pool); m != nil && m.ID == c.self {
			loads := c.poolLoads(st, pool)
			t := c.totals.Exchange(now, pool, loads)
			t.Waiting = c.totals.Waiting(now, pool, c.self, c.ledger.Waiting(pool))
			c.ledger.SetTotal(now, pool, t, loads)
		}
	}
}

// poolLoads returns the loads of the eligible engines whose primary admitter is this
// instance.
func (c *admissionComponent) poolLoads(st *admissionState, pool fleet.PoolID) []admission.EngineLoad {
	var out []admission.EngineLoad
	for _, l := range c.ledger.Loads(time.Now(), pool, nil) {
		if eligible(st.view, st.table.Index, l.Server) {
			out = append(out, l)
		}
	}
	return out
}

// exchangeTotals sends the loads of each pool to its aggregator.
func (c *admissionComponent) exchangeTotals(ctx context.Context, st *admissionState) {
	c.exchangeLocal(time.Now(), st)
	requests := map[*membership.Member]*permitpb.ExchangeRequest{}
	sent := map[fleet.PoolID][]admission.EngineLoad{}
	for i := range st.table.Index.Manifest.Pools {
		pool := st.table.Index.Manifest.Pools[i].Name
		m := st.table.Aggregator(pool)
		if m == nil || m.ID == c.self {
			continue
		}
		loads, waiting := c.poolLoads(st, pool), c.ledger.Waiting(pool)
		if len(loads) == 0 && waiting == 0 {
			continue
		}
		sent[pool] = loads
		if requests[m] == nil {
			requests[m] = &permitpb.ExchangeRequest{Holder: string(c.self)}
		}
		pl := &permitpb.PoolLoads{Pool: string(pool), Waiting: waiting}
		for _, l := range loads {
			pl.Loads = append(pl.Loads, &permitpb.EngineLoad{Server: string(l.Server), Load: l.Load, Weight: l.Weight})
		}
		requests[m].Pools = append(requests[m].Pools, pl)
	}
	var wg sync.WaitGroup
	for m, req := range requests {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, admission.ExchangeInterval)
			defer cancel()
			begin := time.Now()
			r, err := c.client(m).Exchange(ctx, req)
			if err != nil {
				return // the previous totals stay in use
			}
			c.recordSupport(r.Supports, begin, m.ID)
			for _, t := range r.Totals {
				pool := fleet.PoolID(t.Pool)
				// An instance without engines of the pool stops sending exchanges when none
				// of its requests wait, so nothing would replace an outdated total.
				if len(sent[pool]) > 0 {
					c.ledger.SetTotal(time.Now(), pool, admission.Total{Load: t.Load, Weight: t.Weight, Waiting: t.Waiting}, sent[pool])
				}
			}
		})
	}
	wg.Wait()
}

func (c *admissionComponent) runSync(ctx context.Context) {
	runPeriodically(ctx, admission.SyncInterval, minExchangeInterval, c.syncWake, func() {
		if st := c.current(); st != nil {
			c.ledger.Expire(time.Now(), func(id fleet.InstanceID) bool { return st.table.View.Find(id) != nil })
			c.syncPermits(ctx, st)
			rctx, cancel := context.WithTimeout(ctx, admission.SyncInterval)
			c.renewSlices(rctx, st, c.slices.Renewals())
			cancel()
		}
	})
}

// applyPermitUpdate applies a holder's update of its permits for one engine.
func (c *admissionComponent) applyPermitUpdate(now time.Time, holder fleet.InstanceID, l admission.PermitUpdate) {
	c.ledger.Ended(now, holder, l.Server, l.Ended)
	if st := c.state.Load(); st != nil && holder != c.self && len(l.Ended) > 0 {
		if s := st.table.Index.Server(l.Server); s != nil {
			c.loadChanged(st, l.Server, admission.LimitsOf(st.table.Index, s).AverageCost)
		}
	}
	if l.Full {
		c.ledger.Sync(now, holder, l.Server, l.Held)
	}
}

// syncPermits sends ended permits, failed engines and prefix records to the admitters.
func (c *admissionComponent) syncPermits(ctx context.Context, st *admissionState) {
	updates := c.heldPermits.Updates(time.Now(), st.table)
	c.failedServersMu.Lock()
	failed := c.failedServers
	c.failedServers = map[fleet.ServerID]bool{}
	c.failedServersMu.Unlock()
	requests := map[fleet.InstanceID]*permitpb.SyncRequest{}
	request := func(to fleet.InstanceID) *permitpb.SyncRequest {
		if requests[to] == nil {
			requests[to] = &permitpb.SyncRequest{Holder: string(c.self)}
		}
		return requests[to]
	}
	for to, memberUpdates := range updates {
		for _, l := range memberUpdates {
			if to == c.self {
				c.applyPermitUpdate(time.Now(), c.self, l)
				continue
			}
			r := request(to)
			r.Lists = append(r.Lists, &permitpb.ServerList{Server: string(l.Server), Ended: l.Ended, Full: l.Full, Held: encodeHeld(l.Held, false)})
		}
	}
	for s := range failed {
		if a := st.table.Of(s); len(a) > 0 && a[0].ID != c.self {
			r := request(a[0].ID)
			r.Failed = append(r.Failed, string(s))
		}
	}
	copies := c.copies.Due(time.Now(), st.table, c.ledger, c.recent, func(to fleet.InstanceID) bool { return requests[to] != nil })
	for to, memberCopies := range copies {
		r := request(to)
		r.Copies = permitpb.EncodeCopies(memberCopies)
	}
	ctx, cancel := context.WithTimeout(ctx, admission.SyncInterval)
	defer cancel()
	var wg sync.WaitGroup
	var delivered sync.Map
	for to, r := range requests {
		m := st.table.View.Find(to)
		wg.Go(func() {
			begin := time.Now()
			reply, err := c.client(m).Sync(ctx, r)
			if err != nil {
				for _, l := range updates[to] {
					c.heldPermits.Requeue(l)
				}
				return
			}
			c.recordSupport(reply.Supports, begin, to)
			delivered.Store(to, true)
		})
	}
	wg.Wait()
	for to, memberCopies := range copies {
		if _, ok := delivered.Load(to); ok {
			c.copies.Delivered(to, memberCopies)
		}
	}
}

// loadReport is the JSON response of an engine to GET /load.
type loadReport struct {
	Incarnation uint64 `json:"incarnation"`
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	LoadTokens  int64  `json:"load_tokens"`
	Cold        bool   `json:"cold"`
	AtMillis    int64  `json:"at_ms"`
	CacheTokens int64  `json:"cache_tokens"`
}

func (c *admissionComponent) runPoll(ctx context.Context) {
	client := &fasthttp.Client{MaxConnsPerHost: 2, MaxResponseBodySize: 64 << 10, NoDefaultUserAgentHeader: true}
	runPeriodically(ctx, pollInterval, tickInterval, c.pollWake, func() {
		st := c.current()
		if st == nil {
			return
		}
		var wg sync.WaitGroup
		for i := range st.table.Index.Manifest.Servers {
			s := &st.table.Index.Manifest.Servers[i]
			p := st.table.Index.Pool(s.Pool)
			if p != nil && p.Kind == manifest.KindModel && st.table.Primary(s.Name, c.self) {
				wg.Go(func() { c.pollEngine(client, s) })
			}
		}
		wg.Wait()
	})
}

func (c *admissionComponent) pollEngine(client *fasthttp.Client, s *manifest.Server) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.Address + "/load")
	if err := client.DoTimeout(req, resp, pollTimeout); err != nil || httpstatus.CheckHeader1(&resp.Header) != nil || httpstatus.Of(&resp.Header) != fasthttp.StatusOK {
		return // requests detect a failed engine sooner, by connection errors
	}
	var r loadReport
	if err := json.Unmarshal(resp.Body(), &r); err != nil {
		c.d.log.Warn("failed to parse load report", zap.String(logging.FieldServer, string(s.Name)), zap.Error(err))
		return
	}
	if r.Incarnation == 0 {
		// A page of another program would look like an engine that has started again.
		c.d.log.Warn("load report states no incarnation", zap.String(logging.FieldServer, string(s.Name)))
		return
	}
	cold := c.ledger.Report(time.Now(), s.Name, admission.Report{
		Incarnation: r.Incarnation, Load: r.LoadTokens, Running: r.Running + r.Queued, Cold: r.Cold, CacheTokens: r.CacheTokens, At: time.UnixMilli(r.AtMillis),
	})
	if cold {
		c.recent.ForgetServer(s.Name)
		c.d.log.Info("engine has a cold cache; starting the cold-start ramp", zap.String(logging.FieldServer, string(s.Name)))
	}
}
