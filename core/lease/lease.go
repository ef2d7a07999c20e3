// Package lease gives one instance at a time the right to send orders to the
// engines of a pool. The truth is one row for each pool in the table; a Lease is
// one instance's view of it and is used by one goroutine at a time.
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
	// Duration is how long a lease holds after the start of the write that took
	// or renewed it. Three renewals may fail before it ends.
	Duration = 15 * time.Second
	// RenewInterval is the time between renewals; 25 pools cost 5 writes/s.
	RenewInterval = 5 * time.Second
	// OrderTimeout is the longest time from the check before a send to the
	// effect of the order, which is the timeout of one order call.
	OrderTimeout = 10 * time.Second
)

// partition is the table partition of all lease rows.
const partition = "leases"

// content is the data of a lease row.
type content struct {
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
	// Released says that the holder ended the lease with no order under way.
	Released bool `json:"released,omitempty"`
}

// Lease is one instance's view of a pool's lease.
type Lease struct {
	pool fleet.PoolID
	// holder is unique for each life of an instance: a restarted instance does
	// not know which orders its earlier life has under way.
	holder string
	table  store.Table
	nonce  func() string

	held bool
	// released stays set, because a release whose reply was lost may take
	// effect at any later time.
	released   bool
	fencing    uint64
	version    uint64
	renewedAt  time.Time
	validUntil time.Time
	quietUntil time.Time

	// seen and seenAt tell how long the row of another holder has not changed.
	seen   uint64
	seenAt time.Time
	// write is a write whose fate is not known.
	write struct {
		nonce   string
		started time.Time
		quiet   bool
	}
}

// New returns a view that holds nothing.
func New(pool fleet.PoolID, holder string, t store.Table, nonce func() string) *Lease {
	return &Lease{pool: pool, holder: holder, table: t, nonce: nonce}
}

// MaySend reports whether an order may be sent at now, and its fencing number.
// It must be asked right before each send. An engine that ignores the number is
// protected by time alone: the former holder's last order must have taken effect.
func (l *Lease) MaySend(now time.Time, checksFencing bool) (uint64, bool) {
	if !l.held || l.released || !before(now, l.validUntil) {
		return 0, false
	}
	return l.fencing, checksFencing || !now.Before(l.quietUntil)
}

// before reports whether until lies ahead by both clocks.
func before(now, until time.Time) bool {
	return remaining(until.Sub(now), until.Round(0).Sub(now.Round(0))) > 0
}

// remaining takes the time left by the monotonic and by the wall clock. The
// monotonic clock stands still while a virtual machine is suspended, and the
// wall clock may be set back; the lease ends by whichever is ahead.
func remaining(monotonic, wall time.Duration) time.Duration { return min(monotonic, wall) }

// Tick reads the row, and takes or renews the lease when it is due. want says
// whether this instance should hold it. now is called around each store call.
func (l *Lease) Tick(ctx context.Context, now func() time.Time, want bool) error {
	if l.released {
		return nil
	}
	row, err := l.table.Get(ctx, partition, string(l.pool))
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var c content
	if err == nil {
		if err := json.Unmarshal(row.Data, &c); err != nil {
			return result.Wrap(result.Internal, err, "lease of pool %s cannot be decoded", l.pool)
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
		return l.put(ctx, now, content{Holder: l.holder, Fencing: l.fencing}, false)
	case row.Version == 0 || c.Released:
		return l.put(ctx, now, content{Holder: l.holder, Fencing: c.Fencing + 1}, false)
	case at.Sub(l.seenAt) < Duration:
		return nil
	}
	return l.put(ctx, now, content{Holder: l.holder, Fencing: c.Fencing + 1}, true)
}

// observe takes in a row that was read at the time at.
func (l *Lease) observe(row store.Row, c content, at time.Time) {
	if row.Version != l.seen || l.seenAt.IsZero() {
		l.seen, l.seenAt = row.Version, at
	}
	l.held = row.Version > 0 && c.Holder == l.holder && !c.Released
	if !l.held {
		return
	}
	if l.write.nonce != "" && row.Writer == l.write.nonce {
		l.taken(c.Fencing, l.write.started, l.write.quiet) // its reply was lost
	}
	l.version, l.fencing = row.Version, c.Fencing
}

// taken notes a write that took effect. The lease counts from the start of the
// write: others count from when they saw it, which is later.
func (l *Lease) taken(fencing uint64, started time.Time, quiet bool) {
	if l.fencing != fencing {
		l.quietUntil = started
		if quiet {
			l.quietUntil = started.Add(OrderTimeout)
		}
	}
	l.held, l.fencing = true, fencing
	l.renewedAt, l.validUntil = started, started.Add(Duration)
	l.write.nonce = ""
}

// put writes the row. quiet says that a former holder may have orders under way.
func (l *Lease) put(ctx context.Context, now func() time.Time, c content, quiet bool) error {
	data, err := json.Marshal(c)
	if err != nil {
		return result.As(err)
	}
	l.write.nonce, l.write.started, l.write.quiet = l.nonce(), now(), quiet
	row := store.Row{Partition: partition, Sort: string(l.pool), Version: l.seen + 1, Writer: l.write.nonce, Data: data}
	if err := l.table.Put(ctx, row, l.seen); err != nil {
		if errors.Is(err, store.ErrConditionFailed) {
			return nil // the next read tells who won
		}
		return err
	}
	l.seen, l.seenAt, l.version = row.Version, now(), row.Version
	if c.Released {
		l.held = false
		return nil
	}
	l.taken(c.Fencing, l.write.started, quiet)
	return nil
}

// Release ends the lease for good, so that the next holder need not wait. No
// order may be under way. Its quiet time must be over, or the next holder would inherit it.
func (l *Lease) Release(ctx context.Context, now func() time.Time) error {
	if _, ok := l.MaySend(now(), false); !ok {
		return nil
	}
	l.released = true
	return l.put(ctx, now, content{Holder: l.holder, Fencing: l.fencing, Released: true}, false)
}
