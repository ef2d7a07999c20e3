package edge

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/placement"
)

// brittleNotices passes to the placement which servers are brittle.
type brittleNotices struct {
	board *placement.Balancer
	log   *zap.Logger

	mu sync.Mutex
	// invalid holds the servers whose invalid value has been logged.
	invalid map[fleet.ServerID]bool
}

func (n *brittleNotices) apply(b engine.Brittleness) {
	if b.Invalid != "" {
		n.logInvalid(&b)
	}
	n.board.NoteAnswer(time.Now(), b.Pool, b.Server, b.Limit)
}

func (n *brittleNotices) logInvalid(b *engine.Brittleness) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.invalid[b.Server] || len(n.invalid) >= maxInvalidLogged {
		return
	}
	if n.invalid == nil {
		n.invalid = map[fleet.ServerID]bool{}
	}
	n.invalid[b.Server] = true
	n.log.Warn("server stated an invalid number of refusals that it bears", zap.String(logging.FieldRequest, b.RequestID),
		zap.String(logging.FieldServer, string(b.Server)), zap.String("value", b.Invalid))
}

// brittlePools logs when servers of a pool become brittle and when they no longer are. It is
// used by one goroutine.
type brittlePools map[fleet.PoolID]int

func (known brittlePools) log(pools []placement.BrittlePool, log *zap.Logger) {
	now := make(map[fleet.PoolID]bool, len(pools))
	for _, p := range pools {
		now[p.Pool] = true
		if known[p.Pool] != p.Limit {
			known[p.Pool] = p.Limit
			log.Warn("servers of the pool are brittle", zap.String(logging.FieldPool, string(p.Pool)), zap.Int("refusals_per_second", p.Limit))
		}
	}
	for pool := range known {
		if !now[pool] {
			delete(known, pool)
			log.Info("servers of the pool are no longer brittle", zap.String(logging.FieldPool, string(pool)))
		}
	}
}

const (
	// brittleReturn is the least Retry-After of a refusal at a brittle pool, brittleReturnSpread
	// the time over which the callers' return is spread.
	brittleReturn       = placementRetryAfter
	brittleReturnSpread = time.Second
	// queueWindow is the number of requests of a queue that may try at once, besides those that are
	// bound to some servers.
	queueWindow = 4
)

func brittleRetryAfter() time.Duration { return brittleReturn + rand.N(brittleReturnSpread) }

// brittleQueues hold the requests that wait for brittle servers, by pool, the most urgent ones
// first and those of the same urgency in the order of their arrival.
type brittleQueues struct {
	waiting atomic.Int64

	mu    sync.Mutex
	pools map[fleet.PoolID][]queued
}

// queued is a waiting request. bound is set if it may go to some servers of the pool only, so that
// others need not wait for it.
type queued struct {
	*gateway.Request
	bound bool
}

// queueOrder orders waiting requests.
func queueOrder(a queued, b *gateway.Request) int {
	if a.Urgency != b.Urgency {
		return a.Urgency - b.Urgency
	}
	return a.Arrived.Compare(b.Arrived)
}

// find returns the place of a request in a queue, -1 if it is not there.
func find(queue []queued, req *gateway.Request) int {
	return slices.IndexFunc(queue, func(q queued) bool { return q.Request == req })
}

// join adds a request to the queue of its pool and reports whether it is new there.
func (l *brittleQueues) join(req *gateway.Request, bound bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.pools[req.Pool.Name]
	if i := find(queue, req); i >= 0 {
		queue[i].bound = bound
		return false
	}
	if l.pools == nil {
		l.pools = map[fleet.PoolID][]queued{}
	}
	pos, _ := slices.BinarySearchFunc(queue, req, queueOrder)
	l.pools[req.Pool.Name] = slices.Insert(queue, pos, queued{req, bound})
	l.waiting.Add(1)
	return true
}

// leave removes a request that may be in the queue.
func (l *brittleQueues) leave(req *gateway.Request) {
	if l.waiting.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.pools[req.Pool.Name]
	if i := find(queue, req); i >= 0 {
		l.pools[req.Pool.Name] = slices.Delete(queue, i, i+1)
		l.waiting.Add(-1)
	}
}

// mayTry reports whether a request may look for a server: fewer than queueWindow others of its pool
// that are not bound go before it.
func (l *brittleQueues) mayTry(req *gateway.Request) bool {
	if l.waiting.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := 0
	for _, q := range l.pools[req.Pool.Name] {
		if queueOrder(q, req) >= 0 {
			return true
		}
		if !q.bound {
			before++
		}
		if before == queueWindow {
			return false
		}
	}
	return true
}

// queue has a request wait behind others if its pool is brittle and had no room for it. bound is set if
// it may go to some servers only.
func (p *placer) queue(req *gateway.Request, s placement.RankStatus, bound bool) {
	switch s {
	case placement.Found: // another request took the place
	case placement.BrittleBound:
		if p.queues.join(req, bound) {
			p.meters.brittleHeldBack.Add(string(req.Pool.Name), 1)
		}
	default:
		p.queues.leave(req) // the others need not wait for what it waits for
	}
}
