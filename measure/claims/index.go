package claims

import (
	"context"
	"math/rand/v2"
	"runtime"
	"time"

	"cyclamenhitch/core/claims"
)

// runPendingOps performs all operations of an owner at once.
func runPendingOps(o *claims.Owner, t *table, now time.Time) (rs []claims.Result, ops int) {
	for {
		op, _, r := o.Next(now)
		rs = append(rs, r...)
		if op == nil {
			return rs, ops
		}
		ops++
		rs = append(rs, o.Reply(op, claims.Execute(context.Background(), t, t, *op), now)...)
	}
}

func newOwner(rng *rand.Rand) *claims.Owner {
	return claims.NewOwner(claims.Config{Rand: rng, NewNonce: func() string { return time.Duration(rng.Int64()).String() }})
}

// IndexLoadCost is the cost of one partition's index.
type IndexLoadCost struct {
	HeapBytes    float64 // heap of the loaded index
	StoreCalls   int     // store calls to load it, one after the other
	CPU          time.Duration
	SegmentBytes int // bytes read from segments
}

// LoadIndex fills a log with n claims and outcomes over 47 h, a row for each record,
// and loads it into a new owner.
func LoadIndex(seed uint64, n int) IndexLoadCost {
	rng := rand.New(rand.NewPCG(seed, seed))
	t := newTable()
	t.retainedRows = claims.SegmentRows + 1000
	old := newOwner(rng)
	step := 47 * time.Hour / time.Duration(n)
	now := epoch
	for i := range n {
		now = now.Add(step)
		key := rng.Uint64()
		old.Submit(claims.Command{ID: uint64(2 * i), Expires: now.Add(time.Hour), Rec: claims.Record{Kind: claims.KindClaim, Key: key, Digest: key, Attempt: key, Until: now.UnixMilli()}}, now)
		runPendingOps(old, t, now)
		old.Submit(claims.Command{ID: uint64(2*i + 1), Rec: claims.Record{Kind: claims.KindOutcome, Key: key, Attempt: key, Outcome: claims.Outcome{Status: 200}}}, now)
		runPendingOps(old, t, now)
	}
	old = nil
	var out IndexLoadCost
	for _, b := range t.objects {
		out.SegmentBytes += len(b)
	}
	before := heapBytes()
	start := time.Now()
	fresh := newOwner(rng)
	fresh.StartLoading()
	_, out.StoreCalls = runPendingOps(fresh, t, now)
	out.CPU = time.Since(start)
	out.HeapBytes = heapBytes() - before
	if done, _ := fresh.Index().Len(); done != n {
		panic("the loaded index is not complete")
	}
	runtime.KeepAlive(fresh)
	runtime.KeepAlive(t)
	return out
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// HolderDeathStats is what became of requests whose holders die.
type HolderDeathStats struct {
	Requests, Died            int
	LogDuplicates, LogUnknown int
	OutboxDuplicates          int
}

// SimulateHolderDeaths runs the same histories through the log and through an outbox: of
// each 100 holders one dies after the durable write and before it sends, and one
// after it sent. The caller repeats the request after the holder's time. The
// outbox sends again every request whose end is not recorded.
func SimulateHolderDeaths(seed uint64, n int) HolderDeathStats {
	rng := rand.New(rand.NewPCG(seed, seed))
	t := newTable()
	o := newOwner(rng)
	now := epoch
	out := HolderDeathStats{Requests: n}
	claim := func(id, key, attempt uint64) claims.Verdict {
		c := claims.Command{ID: id, Expires: now.Add(time.Hour), Rec: claims.Record{Kind: claims.KindClaim, Key: key, Digest: key, Attempt: attempt, Until: now.Add(time.Minute).UnixMilli()}}
		if r := o.Submit(c, now); r != nil {
			return r.Verdict
		}
		rs, _ := runPendingOps(o, t, now)
		return rs[0].Verdict
	}
	for i := range n {
		now = now.Add(10 * time.Millisecond)
		id, key := uint64(10*i), rng.Uint64()
		failurePoint := rng.IntN(100) // 0: dies before sending, 1: after
		runs, outboxRuns := 0, 0
		if claim(id, key, 1) == claims.Granted && failurePoint != 0 {
			runs++
		}
		if failurePoint > 0 {
			outboxRuns++
		}
		if failurePoint > 1 {
			o.Submit(claims.Command{ID: id + 1, Rec: claims.Record{Kind: claims.KindOutcome, Key: key, Attempt: 1, Outcome: claims.Outcome{Status: 200}}}, now)
			runPendingOps(o, t, now)
		} else {
			out.Died++
			outboxRuns++ // replayed
		}
		later := now
		now = now.Add(2 * time.Minute)
		switch claim(id+2, key, 2) {
		case claims.Granted:
			runs++
		case claims.Unknown:
			out.LogUnknown++
		}
		now = later
		if runs > 1 {
			out.LogDuplicates++
		}
		if outboxRuns > 1 {
			out.OutboxDuplicates++
		}
	}
	return out
}
