package daemon

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/platform"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
)

// memberPollInterval is the time between reads of the platform's membership list.
const memberPollInterval = time.Second

// memberComponent keeps the last membership list.
type memberComponent struct {
	d    *Daemon
	list platform.MemberList
	last atomic.Pointer[membership.View]
}

func newMemberComponent(d *Daemon) *memberComponent {
	return &memberComponent{d: d, list: platform.MemberList{
		URL: d.set.Platform.Members, Timeout: time.Duration(d.set.Platform.CallTimeoutMillis) * time.Millisecond,
	}}
}

func (c *memberComponent) run(ctx context.Context) {
	tick := time.NewTicker(memberPollInterval)
	defer tick.Stop()
	for {
		if ms, err := c.list.Read(); err != nil {
			c.d.log.Warn("membership list cannot be read", zap.Error(err))
		} else {
			c.last.Store(viewOf(ms))
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// viewOf takes the platform's list as it is.
func viewOf(list []platform.Member) *membership.View {
	v := &membership.View{At: time.Now()}
	for _, m := range list {
		v.Members = append(v.Members, membership.Member{
			ID: m.Instance, DataCentre: m.DataCentre, Region: m.Region,
			Caller: m.Caller, Admin: m.Admin, Peer: m.Peer, Datagram: m.Datagram,
			Leaving: m.Leaving, Eligible: !m.Leaving,
		})
	}
	slices.SortFunc(v.Members, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// View returns the live instances as seen now. It is never nil.
func (c *memberComponent) View() *membership.View {
	if v := c.last.Load(); v != nil {
		return v
	}
	return &membership.View{}
}

// Addresses implements httpapi.Directory.
func (c *memberComponent) Addresses(pool *manifest.Pool, chat fleet.ChatKey) []string {
	return c.d.admission.addresses(pool, chat)
}
