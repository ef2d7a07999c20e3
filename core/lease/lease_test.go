package lease

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
)

// TestMain fixes the seed, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.steps": "150", "rapid.checks": "4000", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// faultyTable holds one row. Each call draws a fault and a pause of the caller,
// during which time passes and other holders may run.
type faultyTable struct {
	m             *leaseModel
	row           store.Row
	delayedWrites []func()
}

func (f *faultyTable) Get(context.Context, string, string) (store.Row, error) {
	row := f.row
	if f.m.fault() != "" {
		return store.Row{}, errors.New("store down")
	}
	f.m.pause()
	if row.Version == 0 {
		return row, store.ErrNotFound
	}
	return row, nil
}

func (f *faultyTable) Put(_ context.Context, row store.Row, expect uint64) error {
	f.m.pause()
	write := func() error {
		if f.row.Version != expect {
			return store.ErrConditionFailed
		}
		f.row = row
		return nil
	}
	fault := f.m.fault()
	if f.m.writesFail[f.m.caller] {
		fault = "down"
	}
	switch fault {
	case "down":
		return errors.New("store down")
	case "late":
		f.delayedWrites = append(f.delayedWrites, func() { _ = write() })
		return errors.New("timeout")
	}
	err := write()
	if fault == "lost" {
		err = errors.New("reply lost")
	}
	f.m.pause()
	return err
}

func (f *faultyTable) Query(context.Context, string, string, int) ([]store.Row, error) {
	return nil, nil
}
func (f *faultyTable) Delete(context.Context, string, string) error { return nil }

// orderInTransit is an order that has not reached its engine yet.
type orderInTransit struct {
	fencing uint64
	sent    time.Time
}

type leaseModel struct {
	t       *rapid.T
	table   *faultyTable
	holders []*Lease
	busy    []bool
	paused  [2]bool
	// writesFail marks holders whose writes fail, as in a partial outage; caller is
	// the holder whose call is running.
	writesFail [2]bool
	caller     int
	// senderByFencing maps a fencing number to the lease that sent orders with it.
	senderByFencing map[uint64]*Lease
	now             time.Time
	incarnations    int
	// Orders in flight and the highest fencing numbers sent and applied, by engine
	// kind: kind 0 ignores fencing numbers, kind 1 checks them.
	orders      [2][]orderInTransit
	sent        [2]uint64
	applied     [2]uint64
	effects     int
	nestedCalls int
}

func (m *leaseModel) clock() time.Time { return m.now }

func (m *leaseModel) fault() string {
	return rapid.SampledFrom([]string{"", "", "", "", "", "", "", "", "", "", "", "", "", "down", "lost", "late"}).Draw(m.t, "fault")
}

// pause advances the clock during a call; another holder may run meanwhile.
func (m *leaseModel) pause() {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 0, 0, 0, 0, time.Second, 6 * time.Second, 20 * time.Second}).Draw(m.t, "pause"))
	if m.nestedCalls < 1 && rapid.IntRange(0, 9).Draw(m.t, "other") == 0 {
		m.nestedCalls++
		m.tick(rapid.IntRange(0, 1).Draw(m.t, "holder"))
		m.nestedCalls--
	}
}

func (m *leaseModel) tick(i int) {
	if m.busy[i] || m.paused[i] {
		return
	}
	outer := m.caller
	m.busy[i], m.caller = true, i
	_ = m.holders[i].Tick(context.Background(), m.clock, true)
	m.busy[i], m.caller = false, outer
}

func (m *leaseModel) send(i, kind int) {
	if m.busy[i] {
		return
	}
	if n, ok := m.holders[i].MaySend(m.now, kind == 1); ok {
		m.orders[kind] = append(m.orders[kind], orderInTransit{n, m.now})
		m.sent[kind] = max(m.sent[kind], n)
		if l := m.senderByFencing[n]; l != nil && l != m.holders[i] {
			m.t.Fatalf("fencing number %d is used by two holders", n)
		}
		m.senderByFencing[n] = m.holders[i]
	}
}

// deliver delivers an order. Engines that ignore fencing numbers are assumed to
// apply an order within OrderTimeout of the call of MaySend, or never.
func (m *leaseModel) deliver(kind, i int) {
	o := m.orders[kind][i]
	m.orders[kind] = append(m.orders[kind][:i:i], m.orders[kind][i+1:]...)
	if kind == 0 && m.now.Sub(o.sent) > OrderTimeout || kind == 1 && o.fencing < m.applied[1] {
		return
	}
	if kind == 0 && o.fencing < m.sent[0] || o.fencing < m.applied[kind] {
		m.t.Fatalf("order with fencing number %d takes effect on engine kind %d after number %d was sent", o.fencing, kind, m.sent[kind])
	}
	m.applied[kind] = o.fencing
	m.effects++
}

// Guards against an order of a former holder that takes effect after orders of the
// next holder. The histories combine pauses at any step, crashes, and a store that
// is down, loses replies or applies writes late.
func TestNoOrderAfterLeaseEnds(t *testing.T) {
	effects, takeovers := 0, uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		m := &leaseModel{t: t, now: time.UnixMilli(1_790_000_000_000), busy: make([]bool, 2), senderByFencing: map[uint64]*Lease{}}
		m.table = &faultyTable{m: m}
		life := func() *Lease {
			m.incarnations++
			n, life := 0, m.incarnations
			return New("pool", fmt.Sprintf("r%d", life), m.table, func() string { n++; return fmt.Sprintf("%d-%d", life, n) })
		}
		m.holders = []*Lease{life(), life()}
		holder := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "holder") }
		kind := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "kind") }
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) { m.t = t; m.tick(holder(t)) },
			"both": func(t *rapid.T) { m.t = t; m.tick(0); m.tick(1) },
			"pause": func(t *rapid.T) { // a paused holder may still send an order
				i := holder(t)
				m.paused[i] = !m.paused[i]
			},
			"send":   func(t *rapid.T) { m.t = t; m.send(holder(t), kind(t)) },
			"send 2": func(t *rapid.T) { m.t = t; m.send(0, 0); m.send(1, 0) },
			"arrive": func(t *rapid.T) {
				m.t = t
				k := kind(t)
				if len(m.orders[k]) == 0 {
					t.Skip()
				}
				m.deliver(k, rapid.IntRange(0, len(m.orders[k])-1).Draw(t, "order"))
			},
			"cut": func(t *rapid.T) {
				i := holder(t)
				m.writesFail[i] = !m.writesFail[i]
			},
			"late write": func(*rapid.T) {
				for _, w := range m.table.delayedWrites {
					w()
				}
				m.table.delayedWrites = nil
			},
			"crash": func(t *rapid.T) {
				if i := holder(t); !m.busy[i] && rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
					m.holders[i] = life()
				}
			},
			"release": func(t *rapid.T) {
				m.t = t
				// Release requires that no order is in flight.
				if len(m.orders[0])+len(m.orders[1]) == 0 && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
					i := holder(t)
					if m.busy[i] {
						t.Skip()
					}
					m.busy[i] = true
					_ = m.holders[i].Release(context.Background(), m.clock)
					m.busy[i] = false
					if rapid.Bool().Draw(t, "exits") {
						m.holders[i] = life()
					}
				}
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Second, 3 * time.Second, 5 * time.Second, 5 * time.Second, 9 * time.Second, 14 * time.Second}).Draw(t, "time"))
			},
		})
		effects += m.effects
		takeovers += m.sent[0]
	})
	if effects < 100 || takeovers < 100 {
		t.Fatalf("%d effects and %d takeovers: the histories cover too little", effects, takeovers)
	}
}

// Guards against a lease that outlasts its validity while a virtual machine is
// suspended: the monotonic clock stops and only the wall clock advances.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	if remaining(time.Second, -time.Minute) > 0 || remaining(-time.Second, time.Minute) > 0 || remaining(time.Second, time.Second) <= 0 {
		t.Fatal("a lease must expire by whichever clock is ahead")
	}
}

// Guards against a holder that keeps sending after a release whose write failed. The
// write may still take effect and let the next holder start immediately.
func TestReleaseIsPermanent(t *testing.T) {
	now := time.UnixMilli(1_790_000_000_000)
	clock := func() time.Time { return now }
	table := &downTable{}
	l := New("pool", "r1", table, func() string { return "n" })
	if err := l.Tick(context.Background(), clock, true); err != nil {
		t.Fatal(err)
	}
	if _, ok := l.MaySend(now, false); !ok {
		t.Fatal("the first holder of a pool may not send immediately")
	}
	table.down = true
	_ = l.Release(context.Background(), clock)
	_ = l.Tick(context.Background(), clock, true)
	if _, ok := l.MaySend(now, true); ok {
		t.Fatal("the holder may send after its release")
	}
}

// downTable is a table whose writes fail while down is set.
type downTable struct {
	store.Table
	row  store.Row
	down bool
}

func (d *downTable) Get(context.Context, string, string) (store.Row, error) {
	if d.row.Version == 0 {
		return d.row, store.ErrNotFound
	}
	return d.row, nil
}

func (d *downTable) Put(_ context.Context, row store.Row, _ uint64) error {
	if d.down {
		return errors.New("timeout")
	}
	d.row = row
	return nil
}
