// Package claims measures the log of claims in virtual time: throughput within
// the write budget, time added to a request, index memory and takeover. It keeps
// the state of one simulated fleet at a time.
package claims

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"cyclamenhitch/core/claims"
	"cyclamenhitch/core/store"
)

// roundTrip is the mean time of one table call: 4 ms plus an exponential 1 ms.
// Results in round trips do not depend on it, except for the pacing.
const roundTrip = 5 * time.Millisecond

// epoch is the start of virtual time.
var epoch = time.UnixMilli(1_790_000_000_000)

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// loop runs events in the order of virtual time.
type loop struct {
	now    time.Time
	events events
	seq    int
	rng    *rand.Rand
}

func newLoop(seed uint64) *loop { return &loop{now: epoch, rng: rand.New(rand.NewPCG(seed, seed))} }

func (l *loop) after(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{l.now.Add(d), l.seq, fn})
}

func (l *loop) run(until time.Duration) {
	for len(l.events) > 0 && l.events[0].at.Before(epoch.Add(until)) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.fn()
	}
}

func (l *loop) latency() time.Duration {
	return 4*time.Millisecond + time.Duration(l.rng.ExpFloat64()*float64(time.Millisecond))
}

// arrivals calls fn as a Poisson process.
func (l *loop) arrivals(perSecond float64, fn func()) {
	var next func()
	next = func() {
		fn()
		l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	l.after(time.Duration(l.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// table counts writes and keeps rows.
type table struct {
	rows    map[string]store.Row
	objects map[string][]byte
	writes  int
	// retainedRows is how many rows of a log stay; older ones are dropped, as trimmed.
	retainedRows uint64
}

func newTable() *table {
	return &table{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (t *table) Get(_ context.Context, p, s string) (store.Row, error) {
	if r, ok := t.rows[p+"/"+s]; ok {
		return r, nil
	}
	return store.Row{}, store.ErrNotFound
}

func (t *table) Put(_ context.Context, row store.Row, expect uint64) error {
	t.writes++
	k := row.Partition + "/" + row.Sort
	if old, ok := t.rows[k]; ok != (expect != 0) || ok && old.Version != expect {
		return store.ErrConditionFailed
	}
	t.rows[k] = row
	if t.retainedRows > 0 && row.Version > t.retainedRows {
		delete(t.rows, row.Partition+"/"+fmt.Sprintf("%020d", row.Version-t.retainedRows))
	}
	return nil
}

func (t *table) Query(_ context.Context, p, from string, limit int) ([]store.Row, error) {
	first, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		return nil, err
	}
	var out []store.Row
	for seq := first; len(out) < limit; seq++ {
		r, ok := t.rows[p+"/"+fmt.Sprintf("%020d", seq)]
		if !ok {
			break
		}
		out = append(out, r)
	}
	return out, nil
}

func (t *table) Delete(_ context.Context, p, s string) error {
	t.writes++
	delete(t.rows, p+"/"+s)
	return nil
}

func (t *table) GetObject(_ context.Context, name string) ([]byte, error) {
	if b, ok := t.objects[name]; ok {
		return b, nil
	}
	return nil, store.ErrNotFound
}

func (t *table) PutObject(_ context.Context, name string, body []byte) error {
	t.objects[name] = body
	return nil
}

// node drives the owner of one partition in virtual time.
type node struct {
	l               *loop
	t               *table
	owner           *claims.Owner
	waiters         map[uint64]func(claims.Result)
	timerGeneration int
	ops             int
	// call, unless nil, performs an operation in place of the table.
	call func(op claims.Op, done func(claims.Reply))
}

func newNode(l *loop, t *table, partition int, rate float64) *node {
	n := 0
	return &node{l: l, t: t, waiters: map[uint64]func(claims.Result){}, owner: claims.NewOwner(claims.Config{
		Partition: partition, Rate: rate, Rand: l.rng,
		NewNonce: func() string { n++; return fmt.Sprintf("%d-%d", partition, n) },
	})}
}

func (n *node) submit(id uint64, rec claims.Record, done func(claims.Result)) {
	n.waiters[id] = done
	if r := n.owner.Submit(claims.Command{ID: id, Rec: rec, Expires: n.l.now.Add(time.Hour)}, n.l.now); r != nil {
		n.deliver([]claims.Result{*r})
	}
	n.pump()
}

func (n *node) deliver(rs []claims.Result) {
	for _, r := range rs {
		done := n.waiters[r.ID]
		delete(n.waiters, r.ID)
		if done != nil {
			done(r)
		}
	}
}

func (n *node) pump() {
	op, wait, rs := n.owner.Next(n.l.now)
	n.deliver(rs)
	switch {
	case op != nil:
		n.ops++
		if n.call != nil {
			n.call(*op, func(rep claims.Reply) {
				n.deliver(n.owner.Reply(op, rep, n.l.now))
				n.pump()
			})
			return
		}
		n.l.after(n.l.latency(), func() {
			rep := claims.Execute(context.Background(), n.t, n.t, *op)
			n.deliver(n.owner.Reply(op, rep, n.l.now))
			n.pump()
		})
	case wait > 0:
		n.timerGeneration++
		generation := n.timerGeneration
		n.l.after(wait, func() {
			if generation == n.timerGeneration {
				n.pump()
			}
		})
	}
}

// LoadStats is the outcome of one simulated load.
type LoadStats struct {
	Granted, Refused               float64 // claims a second
	Writes                         float64 // table writes a second
	RecordsPerRow                  float64 // records in a row
	WaitP50, WaitP99               float64 // from the claim to the grant, in round trips
	ExtraWaitP50Ms, ExtraWaitP99Ms float64 // the part above one round trip, in ms
}

func percentile(ds []time.Duration, p float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[min(len(ds)-1, int(p*float64(len(ds))))]
}

func (r *LoadStats) setWaits(ds []time.Duration) {
	p50, p99 := percentile(ds, 0.5), percentile(ds, 0.99)
	r.WaitP50, r.WaitP99 = float64(p50)/float64(roundTrip), float64(p99)/float64(roundTrip)
	ms := func(d time.Duration) float64 { return max(0, float64(d-roundTrip)/float64(time.Millisecond)) }
	r.ExtraWaitP50Ms, r.ExtraWaitP99Ms = ms(p50), ms(p99)
}

// serviceTime is the mean time from the grant to the outcome.
const serviceTime = 100 * time.Millisecond

// SimulateLog simulates claims and outcomes at a rate over all partitions.
func SimulateLog(seed uint64, perSecond float64, bodyBytes int, d time.Duration) LoadStats {
	l, t := newLoop(seed), newTable()
	t.retainedRows = 1
	var nodes []*node
	for p := range claims.Partitions {
		nodes = append(nodes, newNode(l, t, p, float64(claims.WritesPerSecond)/claims.Partitions))
	}
	var out LoadStats
	var ds []time.Duration
	var id uint64
	records := 0
	warm := epoch.Add(2 * time.Second)
	writesBefore := 0
	l.after(2*time.Second, func() { writesBefore, records = t.writes, 0 })
	l.arrivals(perSecond, func() {
		key, start := l.rng.Uint64(), l.now
		n := nodes[claims.PartitionOf(key, len(nodes))]
		id++
		rec := claims.Record{Kind: claims.KindClaim, Key: key, Digest: key, Attempt: key, Until: l.now.Add(time.Minute).UnixMilli()}
		n.submit(id, rec, func(r claims.Result) {
			if r.Verdict != claims.Granted {
				out.Refused++
				return
			}
			records++
			if start.After(warm) {
				out.Granted++
				ds = append(ds, l.now.Sub(start))
			}
			l.after(time.Duration(l.rng.ExpFloat64()*float64(serviceTime)), func() {
				id++
				rec := claims.Record{Kind: claims.KindOutcome, Key: key, Attempt: key, Outcome: claims.Outcome{Status: 200, Body: make([]byte, bodyBytes)}}
				n.submit(id, rec, func(claims.Result) { records++ })
			})
		})
	})
	l.run(d)
	secs := (d - 2*time.Second).Seconds()
	out.Granted, out.Refused = out.Granted/secs, out.Refused/secs
	out.Writes = float64(t.writes-writesBefore) / secs
	out.RecordsPerRow = float64(records) / float64(max(1, t.writes-writesBefore))
	out.setWaits(ds)
	return out
}

// SimulateRows simulates one conditional row for each claim and one update for each
// outcome, within the same budget of writes, first come first served.
func SimulateRows(seed uint64, perSecond float64, d time.Duration) LoadStats {
	l := newLoop(seed)
	var out LoadStats
	var ds []time.Duration
	nextFree, writes := epoch, 0
	writeInterval := time.Second / claims.WritesPerSecond
	write := func(done func()) {
		if nextFree.Before(l.now) {
			nextFree = l.now
		}
		wait := nextFree.Sub(l.now)
		nextFree = nextFree.Add(writeInterval)
		l.after(wait+l.latency(), func() {
			writes++
			done()
		})
	}
	l.arrivals(perSecond, func() {
		start := l.now
		write(func() {
			out.Granted++
			ds = append(ds, l.now.Sub(start))
			l.after(time.Duration(l.rng.ExpFloat64()*float64(serviceTime)), func() { write(func() {}) })
		})
	})
	l.run(d)
	out.Granted, out.Writes, out.RecordsPerRow = out.Granted/d.Seconds(), float64(writes)/d.Seconds(), 1
	out.setWaits(ds)
	return out
}
