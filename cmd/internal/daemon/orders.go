package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/lease"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/orders"
)

const (
	// reconcileInterval is the time between two comparisons of a pool's engines with
	// their desired state.
	reconcileInterval = 5 * time.Second
	// reportTimeout is the timeout of one report. Engines answer reports from memory.
	reportTimeout = 2 * time.Second
	// maxReportBytes limits a report or the response to an order.
	maxReportBytes = 1 << 20
	// orderConcurrency limits how many engines of a pool are reconciled concurrently.
	orderConcurrency = 8
)

// ordersComponent competes for the leases of the pools for which this instance is the
// first or second candidate. While it holds a lease, it sends orders that bring the
// pool's engines to the desired state.
type ordersComponent struct {
	d      *Daemon
	holder string
	client engine.OrderClient

	mu    sync.Mutex
	pools map[fleet.PoolID]*poolReconciler
}

// poolReconciler reconciles the engines of one pool. A separate goroutine renews the
// lease, so that it does not expire while engines are slow.
type poolReconciler struct {
	mu            sync.Mutex // guards lease
	lease         *lease.Lease
	leaseHeld     atomic.Bool // as of the last renewal check
	unconfirmed   orders.UnconfirmedOrders
	unconfirmedMu sync.Mutex // guards unconfirmed
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

func newOrdersComponent(d *Daemon) *ordersComponent {
	return &ordersComponent{
		d: d, holder: string(d.set.Instance) + "/" + newID(), pools: map[fleet.PoolID]*poolReconciler{},
		// DoTimeout does not close the connection of a call that it abandons. The read
		// and write timeouts close it within about the same time.
		client: engine.OrderClient{Client: &fasthttp.Client{
			MaxResponseBodySize: maxReportBytes,
			ReadTimeout:         lease.OrderTimeout / 2, WriteTimeout: lease.OrderTimeout / 4,
			MaxIdemponentCallAttempts: 1, MaxConnWaitTimeout: reportTimeout,
		}},
	}
}

// run starts and stops the reconcilers of pools until ctx ends, and then releases
// the leases.
func (c *ordersComponent) run(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		c.updatePools(ctx)
		select {
		case <-ctx.Done():
			c.stopAllPools()
			return
		case <-tick.C:
		}
	}
}

// updatePools starts and stops reconcilers after changes of the configuration or the
// membership.
func (c *ordersComponent) updatePools(ctx context.Context) {
	x := c.d.config.Index()
	if x == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range x.Manifest.Pools {
		p := &x.Manifest.Pools[i]
		_, managed := orders.DesiredStateOf(p)
		managed = managed && c.isCandidate(p.Name)
		po := c.pools[p.Name]
		switch {
		case managed && po == nil:
			c.pools[p.Name] = c.startPool(ctx, p.Name)
		case !managed && po != nil:
			delete(c.pools, p.Name)
			go c.stopPool(po)
		}
	}
	for name, po := range c.pools {
		if x.Pool(name) == nil {
			delete(c.pools, name)
			go c.stopPool(po)
		}
	}
}

// leasesHeld returns the number of leases that this instance holds.
func (c *ordersComponent) leasesHeld() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, po := range c.pools {
		if po.leaseHeld.Load() {
			n++
		}
	}
	return n
}

// isCandidate reports whether this instance may request the pool's lease. Only two
// instances may, which limits the requests to the table service.
func (c *ordersComponent) isCandidate(pool fleet.PoolID) bool {
	var hashes []uint64
	var ids []fleet.InstanceID
	for _, m := range c.d.members.View().Members {
		if m.Eligible {
			hashes = append(hashes, fleet.HashID(string(m.ID)))
			ids = append(ids, m.ID)
		}
	}
	for _, i := range fleet.TopRanked(nil, fleet.HashID("lease/"+string(pool)), hashes, 2) {
		if ids[i] == c.d.set.Instance {
			return true
		}
	}
	return false
}

func (c *ordersComponent) startPool(ctx context.Context, pool fleet.PoolID) *poolReconciler {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	// A new Lease gets its own holder ID, so that it never continues an earlier lease
	// of this process, whose orders may still be in flight.
	po := &poolReconciler{lease: lease.New(pool, c.holder+"/"+newID(), c.d.store, newID), cancel: cancel}
	po.done.Go(func() { c.tickLease(ctx, pool, po) })
	po.done.Go(func() {
		tick := time.NewTicker(reconcileInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			c.reconcilePool(ctx, pool, po)
			select {
			case <-ctx.Done():
			case <-tick.C:
			}
		}
	})
	return po
}

func (c *ordersComponent) tickLease(ctx context.Context, pool fleet.PoolID, po *poolReconciler) {
	tick := time.NewTicker(lease.RenewInterval / 2)
	defer tick.Stop()
	for ctx.Err() == nil {
		po.mu.Lock()
		err := po.lease.Tick(ctx, time.Now, true)
		_, leaseHeld := po.lease.MaySend(time.Now(), true)
		po.leaseHeld.Store(leaseHeld)
		po.mu.Unlock()
		if err != nil {
			c.d.log.Warn("failed to renew lease", zap.String(logging.FieldPool, string(pool)), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// stopPool stops the reconciler of a pool, waits for orders in flight, and releases
// the lease.
func (c *ordersComponent) stopPool(po *poolReconciler) {
	po.cancel()
	po.done.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	po.mu.Lock()
	defer po.mu.Unlock()
	_ = po.lease.Release(ctx, time.Now)
}

func (c *ordersComponent) stopAllPools() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var wg sync.WaitGroup
	for name, po := range c.pools {
		delete(c.pools, name)
		wg.Go(func() { c.stopPool(po) })
	}
	wg.Wait()
}

// maySend returns the fencing number of the lease and whether an order may be sent
// now. It must be called right before each send.
func (po *poolReconciler) maySend(checksFencing bool) (uint64, bool) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.lease.MaySend(time.Now(), checksFencing)
}

// reconcilePool reconciles each engine of the pool that is in service.
func (c *ordersComponent) reconcilePool(ctx context.Context, pool fleet.PoolID, po *poolReconciler) {
	x := c.d.config.Index()
	p := x.Pool(pool)
	if p == nil {
		return
	}
	want, ok := orders.DesiredStateOf(p)
	if _, held := po.maySend(true); !ok || !held {
		return
	}
	slots := make(chan struct{}, orderConcurrency)
	var wg sync.WaitGroup
	for _, srv := range x.Servers(pool) {
		if srv.State != manifest.StateIn {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := c.reconcileEngine(ctx, x, po, srv, want); err != nil && ctx.Err() == nil {
				c.d.log.Warn("failed to reconcile engine with its desired state", zap.String(logging.FieldServer, string(srv.Name)), zap.Error(err))
			}
		})
	}
	wg.Wait()
}

// reconcileEngine sends an engine its next order if its report differs from the
// desired state.
func (c *ordersComponent) reconcileEngine(ctx context.Context, x *manifest.Index, po *poolReconciler, srv *manifest.Server, want orders.DesiredState) error {
	report, err := c.client.Report(ctx, srv, reportTimeout)
	if err != nil {
		return err
	}
	step := orders.Compare(want, report)
	po.unconfirmedMu.Lock()
	due := po.unconfirmed.Due(report, want, time.Now())
	po.unconfirmedMu.Unlock()
	if _, ok := po.maySend(srv.ChecksFencing); !ok || !step.Needed || !due {
		return nil
	}
	granted := 0
	if step.Loads > 0 {
		granted, err = orders.ReserveLoads(ctx, c.d.store, step.Loads, x.Manifest.Fleet.WeightLoadsPerMinute, time.Now, newID)
		if err != nil {
			return err
		}
	}
	order := step.Order(report, granted)
	if !order.DiffersFrom(report) {
		return nil
	}
	po.unconfirmedMu.Lock()
	po.unconfirmed.Record(report, want, order, time.Now())
	po.unconfirmedMu.Unlock()
	fencing, ok := po.maySend(srv.ChecksFencing)
	if !ok {
		return nil
	}
	order.Fencing = fencing
	return c.client.Send(ctx, srv, order, lease.OrderTimeout)
}
