// Package lease lets at most one instance at a time send orders to the engines of a
// pool. The lease is stored in one table row for each pool; a Lease is one
// instance's view of that row and is not safe for concurrent use.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

const (
	// Duration is the validity of a lease from the start of the write that acquired
	// or renewed it. It allows for three failed renewals.
	Duration = 15 * time.Second
	// RenewInterval is the time between renewals; 25 pools cost 5 writes/s.
	RenewInterval = 5 * time.Second
	// OrderTimeout is the maximum time from the call of MaySend until the order
	// takes effect. It is the timeout of one order call.
	OrderTimeout = 10 * time.Second
)

// partition is the table partition of all lease rows.
const partition = "leases"

// leaseRow is the data of a lease row.
type leaseRow struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	// Released is set if the holder gave up the lease with no order in flight.
	Released bool `json:"released,omitempty"`
}

// Lease is one instance's view of a pool's lease.
type Lease struct {
	pool fleet.PoolID
	// holder is unique to a process: a restarted instance does not know which
	// orders its previous process has in flight.
	holder string
	table  store.Table
	nonce  func() string

	held bool
	// released is never cleared, because a release whose reply was lost may still
	// take effect later.
	released     bool
	fencing      uint64
	version      uint64
	renewedAt    time.Time
	validUntil   time.Time
	unfencedFrom time.Time

	// seenVersion and versionSeenAt show for how long the row has not changed.
	seenVersion   uint64
	versionSeenAt time.Time
	// pendingWrite is a write whose outcome is unknown.
	pendingWrite struct {
		nonce    string
		started  time.Time
		takeover bool
	}
}

// New returns a view of the lease that does not hold it.
func New(pool fleet.PoolID, holder string, t store.Table, nonce func() string) *Lease {
	return &Lease{pool: pool, holder: holder, table: t, nonce: nonce}
}

// MaySend reports whether an order may be sent at now, and returns its fencing
// number. It must be called right before each send. An engine that ignores fencing
// numbers is protected by time alone: it gets no order until the former holder's
// last order has taken effect or timed out.
func (l *Lease) MaySend(now time.Time, checksFencing bool) (uint64, bool) {
	if !l.held || l.released || !beforeByBothClocks(now, l.validUntil) {
		return 0, false
	}
	return l.fencing, checksFencing || !now.Before(l.unfencedFrom)
}

// beforeByBothClocks reports whether now is before until by both clocks.
func beforeByBothClocks(now, until time.Time) bool {
	return remaining(until.Sub(now), until.Round(0).Sub(now.Round(0))) > 0
}

// remaining returns the shorter of the times left by the monotonic and the wall
// clock. The monotonic clock stops while a virtual machine is suspended, and the
// wall clock may be set back, so the lease expires by whichever is ahead.
func remaining(monotonic, wall time.Duration) time.Duration { return min(monotonic, wall) }

// Tick reads the row, and acquires or renews the lease when due. want is whether
// this instance should hold the lease. now is called before and after store calls.
func (l *Lease) Tick(ctx context.Context, now func() time.Time, want bool) error {
	if l.released {
		return nil
	}
	row, err := l.table.Get(ctx, partition, string(l.pool))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var c leaseRow
	if err == nil {
		if err := json.Unmarshal(row.Data, &c); err != nil {
			return result.Wrap(result.Internal, err, "decoding the lease row of pool %s", l.pool)
		}
	}
	at := now()
	l.observe(row, c, at)
	switch {
	case !want:
		return nil
	case l.held && at.Sub(l.renewedAt) < RenewInterval:
		return nil
	case l.held:
		return l.put(ctx, now, leaseRow{Holder: l.holder, Fencing: l.fencing}, false)
	case row.Version == 0 || c.Released:
		return l.put(ctx, now, leaseRow{Holder: l.holder, Fencing: c.Fencing + 1}, false)
	case at.Sub(l.versionSeenAt) < Duration:
		return nil
	}
	return l.put(ctx, now, leaseRow{Holder: l.holder, Fencing: c.Fencing + 1}, true)
}

// observe updates the view from a row that was read at the time at.
func (l *Lease) observe(row store.Row, c leaseRow, at time.Time) {
	if row.Version != l.seenVersion || l.versionSeenAt.IsZero() {
		l.seenVersion, l.versionSeenAt = row.Version, at
	}
	l.held = row.Version > 0 && c.Holder == l.holder && !c.Released
	if !l.held {
		return
	}
	if l.pendingWrite.nonce != "" && row.Writer == l.pendingWrite.nonce {
		l.acquired(c.Fencing, l.pendingWrite.started, l.pendingWrite.takeover) // its reply was lost
	}
	l.version, l.fencing = row.Version, c.Fencing
}

// acquired records a write that took effect. The lease runs from the start of the
// write; other instances measure from when they saw the row, which is later.
func (l *Lease) acquired(fencing uint64, started time.Time, takeover bool) {
	if l.fencing != fencing {
		l.unfencedFrom = started
		if takeover {
			l.unfencedFrom = started.Add(OrderTimeout)
		}
	}
	l.held, l.fencing = true, fencing
	l.renewedAt, l.validUntil = started, started.Add(Duration)
	l.pendingWrite.nonce = ""
}

// put writes the row. takeover is set if a former holder may have orders in flight.
func (l *Lease) put(ctx context.Context, now func() time.Time, c leaseRow, takeover bool) error {
	data, err := json.Marshal(c)
	if err != nil {
		return result.As(err)
	}
	l.pendingWrite.nonce, l.pendingWrite.started, l.pendingWrite.takeover = l.nonce(), now(), takeover
	row := store.Row{Partition: partition, Sort: string(l.pool), Version: l.seenVersion + 1, Writer: l.pendingWrite.nonce, Data: data}
	if err := l.table.Put(ctx, row, l.seenVersion); err != nil {
		if errors.Is(err, store.ErrConditionFailed) {
			return nil // the next read shows the holder
		}
		return err
	}
	l.seenVersion, l.versionSeenAt, l.version = row.Version, now(), row.Version
	if c.Released {
		l.held = false
		return nil
	}
	l.acquired(c.Fencing, l.pendingWrite.started, takeover)
	return nil
}

// Release gives up the lease permanently, so that the next holder can start without
// delay. No order may be in flight. It does nothing while orders to engines that
// ignore fencing numbers are held back after a takeover, because the next holder
// would have to wait for the same orders.
func (l *Lease) Release(ctx context.Context, now func() time.Time) error {
	if _, ok := l.MaySend(now(), false); !ok {
		return nil
	}
	l.released = true
	return l.put(ctx, now, leaseRow{Holder: l.holder, Fencing: l.fencing, Released: true}, false)
}
