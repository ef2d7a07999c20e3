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
	gone    bool // the holder is no member; the request has probably ended
}

// accountLoad is the load of one account on one engine.
type accountLoad struct {
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
	// reported says that the engine reported since the role began. aloneFrom is
	// the time from which no other instance grants; zero while not known.
	reported      bool
	since         time.Time // start of the role
	exclusiveFrom time.Time

	load int64
	// gone is the load of the permits marked so.
	gone      int64
	permits   map[permitKey]permit
	accounts  map[fleet.ClientAccountID]*accountLoad
	weights   float64 // of the accounts with load
	lastHeard map[fleet.InstanceID]time.Time

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
	bias int64
	// poolBias is the part of bias that counts in the pool mean: none while the role
	// waits, because the reports then show requests of the failed admitter.
	poolBias   int64
	history    history
	firstToken firstTokens
	cache      *cacheModel
}

// capLoad is the load that counts against the cap.
func (e *engine) capLoad() int64 { return e.load + e.bias }

// poolLoad is the load that counts in the pool mean. Load that may have ended
// with an instance counts against the cap and not in the mean: when a sixth of
// the streams broke at once, the mean was up to 1.4 times the true one for 3 s.
func (e *engine) poolLoad() int64 { return e.load - e.gone + e.poolBias }

// adjustLoad keeps the pool's local sum and the history in step with the load.
func (e *engine) adjustLoad(now time.Time, delta int64) {
	e.load += delta
	e.history.record(now, point{e.load, len(e.permits)})
	if e.active {
		e.pool.local.Add(delta)
	}
}

func (e *engine) setBias(now time.Time, b int64) {
	e.bias = max(b, 0)
	poolBias := e.bias
	if now.Before(e.grantFrom) {
		poolBias = 0
	}
	if e.active {
		e.pool.local.Add(poolBias - e.poolBias)
	}
	e.poolBias = poolBias
}

// setHolderGone notes whether the holder of a permit is a member.
func (e *engine) setHolderGone(k permitKey, p permit, gone bool) {
	if p.gone == gone {
		return
	}
	delta := p.tokens
	if !gone {
		delta = -delta
	}
	p.gone = gone
	e.permits[k] = p
	e.gone += delta
	if e.active {
		e.pool.local.Add(-delta)
	}
}

func (e *engine) add(k permitKey, p permit) {
	e.permits[k] = p
	s := e.accounts[p.account]
	if s == nil {
		s = &accountLoad{weight: p.weight}
		e.accounts[p.account] = s
		e.weights += p.weight
	}
	s.load += p.tokens
	s.count++
	e.adjustLoad(p.granted, p.tokens)
}

func (e *engine) remove(now time.Time, k permitKey) bool {
	p, ok := e.permits[k]
	if !ok {
		return false
	}
	e.setHolderGone(k, p, false)
	delete(e.permits, k)
	s := e.accounts[p.account]
	s.load -= p.tokens
	if s.count--; s.count == 0 {
		e.weights -= s.weight
		delete(e.accounts, p.account)
	}
	e.adjustLoad(now, -p.tokens)
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

// firstReport is the longest expected time from the start of a role to the first
// report of its engine.
const firstReport = time.Second

// neverReported reports whether nothing shows that the engine is alive.
func (e *engine) neverReported() bool { return e.limits.Reports && !e.reported && e.capLoad() == 0 }

// awaitingFirstReport says that the last load which the former admitter sent is a better
// guess than this ledger.
func (e *engine) awaitingFirstReport(now time.Time) bool {
	return e.neverReported() && now.Sub(e.since) < firstReport
}

// poolWeight is the weight of the engine in the pool mean. A cold engine counts by
// the part of the ramp that it has come: it cannot carry the mean yet, and
// counting it whole would put the warm engines over the bound. A failed engine
// does not count, and neither does one whose new admitter gets no report: the
// dead engines of a data centre would lower the mean, and with it the load that
// the others may take.
func (e *engine) poolWeight(now time.Time) float64 {
	if !e.failedAt.IsZero() || e.neverReported() && !e.awaitingFirstReport(now) {
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
