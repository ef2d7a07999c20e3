package daemon

import (
	"context"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/routing"
)

// configPollInterval is the time between checks for due actions when no event
// triggers one.
const configPollInterval = 100 * time.Millisecond

// configComponent keeps the configuration in force up to date and holds the
// routing view built from it.
type configComponent struct {
	d    *Daemon
	view atomic.Pointer[routing.View]

	// storeAnsweredAt and confirmedAt are the times, in Unix ns, of the table
	// service's last answer and of its last confirmation of the version in force.
	// 0 means never.
	storeAnsweredAt, confirmedAt atomic.Int64

	wake chan struct{}
	// applyMu serialises changes of the version in force, each of which takes 0.1 s.
	applyMu sync.Mutex
	mu      sync.Mutex // guards state and history
	state   *configstate.State
	history configstate.History

	peerClients sync.Map // configpb.Config by address
}

func newConfigComponent(d *Daemon) *configComponent {
	maxAge := time.Duration(d.set.Times.MaxConfigAgeSeconds) * time.Second
	seed := fleet.HashID(string(d.set.Instance)) ^ uint64(time.Now().UnixNano())
	c := &configComponent{d: d, wake: make(chan struct{}, 1), state: configstate.NewState(maxAge, seed)}
	srv := configpb.NewConfigServer(configService{c})
	d.peerServer.Mount(srv.PathPrefix(), srv)
	return c
}

// Index returns the configuration in force, or nil before the first one.
func (c *configComponent) Index() *manifest.Index {
	if v := c.view.Load(); v != nil {
		return v.Index
	}
	return nil
}

// version returns the version in force, or 0 before the first one.
func (c *configComponent) version() uint64 {
	if x := c.Index(); x != nil {
		return x.Version
	}
	return 0
}

// Rank implements gateway.Router.
func (c *configComponent) Rank(req *gateway.Request, dst []*manifest.Server) []*manifest.Server {
	v := c.view.Load()
	if v == nil {
		return dst
	}
	return v.Rank(req.Pool.Name, req.Chat, dst)
}

// Check implements httpapi.Admission. It returns an error if the instance must not
// accept new work.
func (c *configComponent) Check() error {
	t := &c.d.set.Times
	contact := max(c.storeAnsweredAt.Load(), c.d.members.lastAckAt.Load())
	switch configstate.CheckNewWork(
		time.Now(), c.version(), time.Unix(0, contact), time.Unix(0, c.confirmedAt.Load()),
		time.Duration(t.IsolationSeconds)*time.Second, time.Duration(t.MaxConfigAgeSeconds)*time.Second,
	) {
	case configstate.NoConfig:
		return result.New(result.NotReady, "the instance has no configuration yet")
	case configstate.Isolated:
		return result.New(result.Isolated, "neither the table service nor another instance has answered for %d s", t.IsolationSeconds)
	case configstate.ConfigTooOld:
		return result.New(result.Isolated, "the table service has not confirmed the configuration for %d s", t.MaxConfigAgeSeconds)
	}
	return nil
}

// confirmedAge returns the age of the table service's last confirmation of the
// version in force, or -1 if there was none.
func (c *configComponent) confirmedAge() time.Duration {
	if at := c.confirmedAt.Load(); at != 0 {
		return time.Since(time.Unix(0, at))
	}
	return -1
}

// run performs due actions until ctx ends.
func (c *configComponent) run(ctx context.Context) {
	tick := time.NewTicker(configPollInterval)
	defer tick.Stop()
	for {
		memberCount := len(c.d.members.View().Members)
		c.mu.Lock()
		actions := c.state.Next(time.Now(), memberCount)
		c.mu.Unlock()
		for _, a := range actions {
			go c.perform(ctx, a)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		}
	}
}

// wakeUp makes run check for due actions without waiting for the next poll.
func (c *configComponent) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// handleAnnouncement processes the version that another instance states in a
// heartbeat or an offer. A higher version than the one in force is fetched.
func (c *configComponent) handleAnnouncement(id fleet.InstanceID, address string, version uint64) {
	if version <= c.version() {
		return
	}
	c.mu.Lock()
	c.state.HandleAnnouncement(configstate.Peer{ID: id, Address: address}, version)
	c.mu.Unlock()
	c.wakeUp()
}

// perform carries out one action; its result goes to the state.
func (c *configComponent) perform(ctx context.Context, a configstate.Action) {
	switch a.Kind {
	case configstate.ActReadHead:
		c.readHead(ctx)
	case configstate.ActFetchPeer:
		c.finishFetch(c.fetchPeer(ctx, a.Peer), zap.String("peer", string(a.Peer.ID)))
	case configstate.ActFetchStore:
		c.finishFetch(c.fetchStore(ctx, a.Head), zap.String("object", a.Head.Object))
	}
	c.wakeUp()
}

func (c *configComponent) readHead(ctx context.Context) {
	head, err := configstate.ReadHead(ctx, c.d.store)
	if err != nil {
		c.d.log.Warn("configuration head cannot be read", zap.Error(err))
	}
	c.mu.Lock()
	c.state.HeadReadDone(time.Now(), head, err)
	c.publishTimes()
	c.mu.Unlock()
}

// publishTimes copies the times of the state to the atomics that are read
// without mu. The caller holds mu.
func (c *configComponent) publishTimes() {
	if t := c.state.StoreAnsweredAt(); !t.IsZero() {
		c.storeAnsweredAt.Store(t.UnixNano())
	}
	if t := c.state.ConfirmedAt(); !t.IsZero() {
		c.confirmedAt.Store(t.UnixNano())
	}
}

// finishFetch reports the end of a fetch to the state.
func (c *configComponent) finishFetch(err error, from zap.Field) {
	if err != nil {
		c.d.log.Warn("configuration cannot be fetched", from, zap.Error(err))
	}
	c.mu.Lock()
	c.state.FetchDone(time.Now(), err == nil)
	c.mu.Unlock()
}

func (c *configComponent) fetchStore(ctx context.Context, head configstate.Head) error {
	text, err := configstate.LoadBody(ctx, c.d.store, head)
	if err != nil {
		return err
	}
	return c.apply(configstate.Body{Version: head.Version, Sum: sha256.Sum256(text), Operator: head.Operator, Text: text})
}

// apply puts a body in force, unless the same or a higher version already is in
// force.
func (c *configComponent) apply(b configstate.Body) error {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if b.Version <= c.version() {
		return nil
	}
	m, err := manifest.Decode(b.Text)
	if err != nil {
		return err
	}
	view := routing.NewView(manifest.NewIndex(b.Version, m))
	c.mu.Lock()
	if c.state.Advance(time.Now(), b.Version) {
		c.history.Push(b)
		c.view.Store(view)
	}
	c.publishTimes()
	c.mu.Unlock()
	c.d.members.announceVersion(b.Version)
	c.d.log.Info("configuration in force", zap.Uint64(logging.FieldVersion, b.Version), zap.String(logging.FieldOperator, b.Operator))
	return nil
}
