package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/routing"
)

// configPollInterval is the time between reads of the row config/head.
const configPollInterval = 500 * time.Millisecond

// configComponent holds the configuration in force and the view built from it.
type configComponent struct {
	d    *Daemon
	view atomic.Pointer[routing.View]
}

func newConfigComponent(d *Daemon) *configComponent { return &configComponent{d: d} }

// Index returns the configuration in force, or nil.
func (c *configComponent) Index() *manifest.Index {
	if v := c.view.Load(); v != nil {
		return v.Index
	}
	return nil
}

// Rank implements gateway.Router.
func (c *configComponent) Rank(req *gateway.Request, dst []*manifest.Server) []*manifest.Server {
	v := c.view.Load()
	if v == nil {
		return dst
	}
	return v.Rank(req.Pool.Name, req.Chat, dst)
}

// Check implements httpapi.Gate.
func (c *configComponent) Check() error {
	if c.view.Load() == nil {
		return result.New(result.NotReady, "the instance has no configuration yet")
	}
	return nil
}

func (c *configComponent) run(ctx context.Context) {
	tick := time.NewTicker(configPollInterval)
	defer tick.Stop()
	for {
		if err := c.poll(ctx); err != nil {
			c.d.log.Warn("configuration cannot be read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// heard takes the version that a heartbeat of another instance states.
func (c *configComponent) heard(fleet.InstanceID, string, uint64) {}

// poll reads the head and applies a newer version.
func (c *configComponent) poll(ctx context.Context) error {
	head, err := configstate.ReadHead(ctx, c.d.store)
	if err != nil || head.Version == 0 {
		return err
	}
	if x := c.Index(); x != nil && x.Version >= head.Version {
		return nil
	}
	body, err := configstate.LoadBody(ctx, c.d.store, head)
	if err != nil {
		return err
	}
	m, err := manifest.Decode(body)
	if err != nil {
		return err
	}
	c.view.Store(routing.NewView(manifest.NewIndex(head.Version, m)))
	c.d.log.Info("configuration in force", zap.Uint64(logging.FieldVersion, head.Version), zap.String(logging.FieldOperator, head.Operator))
	return nil
}
