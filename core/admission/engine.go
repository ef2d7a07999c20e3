package admission

import (
	"time"

	"cyclamenhitch/core/fleet"
)

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

type permitKey struct {
	holder fleet.InstanceID
	id     uint64
}

type permit struct {
	account fleet.ClientAccountID
	weight  float64
	tokens  int64
	granted time.Time
}

// share is the load of one account on one engine.
type share struct {
	weight float64
	load   int64
	count  int
}

// engine is the ledger of one engine. Its shard's lock guards it.
type engine struct {
	limits Limits
	pool   *poolState

	// active says that this instance is the admitter; it grants from grantFrom.
	active    bool
	grantFrom time.Time

	load     int64
	permits  map[permitKey]permit
	accounts map[fleet.ClientAccountID]*share
	weights  float64 // of the accounts with load
	heard    map[fleet.InstanceID]time.Time

	incarnation uint64
	coldSince   time.Time // zero when warm
	// reportedCold is the last report's flag; its rise starts a ramp.
	reportedCold bool
	// failedAt blocks grants until a report from after that time.
	failedAt time.Time
	// bias is work that the ledger does not know or underestimates: the last
	// report minus the ledger at the report's time. It is never below 0: a
	// correction downwards outlives the request that it corrects by the lag of
	// the reports, and let an engine reach 1.28 times the mean.
	bias    int64
	history history
	cache   *cacheModel
	first   firstTokens
}

// used is the load that counts against the cap.
func (e *engine) used() int64 { return e.load + e.bias }

// change keeps the pool's local sum and the history in step with the load.
func (e *engine) change(now time.Time, delta int64) {
	e.load += delta
	e.history.note(now, point{e.load, len(e.permits)})
	if e.active {
		e.pool.local.Add(delta)
	}
}

func (e *engine) setBias(b int64) {
	b = max(b, 0)
	if e.active {
		e.pool.local.Add(b - e.bias)
	}
	e.bias = b
}

func (e *engine) add(k permitKey, p permit) {
	e.permits[k] = p
	s := e.accounts[p.account]
	if s == nil {
		s = &share{weight: p.weight}
		e.accounts[p.account] = s
		e.weights += p.weight
	}
	s.load += p.tokens
	s.count++
	e.change(p.granted, p.tokens)
}

func (e *engine) remove(now time.Time, k permitKey) bool {
	p, ok := e.permits[k]
	if !ok {
		return false
	}
	delete(e.permits, k)
	s := e.accounts[p.account]
	s.load -= p.tokens
	if s.count--; s.count == 0 {
		e.weights -= s.weight
		delete(e.accounts, p.account)
	}
	e.change(now, -p.tokens)
	return true
}

// rampPart is how far a cold engine has come, from 0 to 1; 1 means warm.
func (e *engine) rampPart(now time.Time) float64 {
	if e.coldSince.IsZero() {
		return 1
	}
	age := now.Sub(e.coldSince)
	if age >= e.limits.ColdFor {
		e.coldSince = time.Time{}
		return 1
	}
	return max(float64(age)/float64(e.limits.ColdFor), 0)
}

// share is the weight of the engine in the pool mean. A cold engine counts by
// the part of the ramp that it has come: it cannot carry the mean yet, and
// counting it whole would put the warm engines over the bound. A failed engine
// does not count.
func (e *engine) share(now time.Time) float64 {
	if !e.failedAt.IsZero() {
		return 0
	}
	return e.limits.Weight * e.rampPart(now)
}

// RampCap is the load that an engine may carry at an age since its cold start:
// linear from ColdLoad to the load bound over ColdFor, and ColdLoad at least.
func RampCap(l Limits, age time.Duration, mean float64) int64 {
	full := max(int64(l.LoadBound*mean), l.ColdLoad)
	if l.MaxLoad > 0 {
		full = min(full, max(l.MaxLoad, l.ColdLoad))
	}
	part := min(max(float64(age)/float64(l.ColdFor), 0), 1)
	return l.ColdLoad + int64(part*float64(full-l.ColdLoad))
}
