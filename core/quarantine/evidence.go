// Package quarantine finds prompt parts that crash the engines that answer them, and
// keeps requests with such parts away from the engines. A Tracker belongs to one
// instance; instances exchange their evidence, so that each of them reaches the same
// verdicts. The package performs no I/O.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// PartKey identifies a prompt part within a pool: engines of another pool run another
// model.
type PartKey struct {
	// Pool is the hash of the pool's ID, ID the part's ID as parsed.
	Pool, ID uint64
}

// KeyOf returns the key of a prompt part.
func KeyOf(pool fleet.PoolID, id uint64) PartKey {
	return PartKey{fleet.HashID(string(pool)), id}
}

// String formats the key in hexadecimal.
func (k PartKey) String() string { return fmt.Sprintf("%016x-%016x", k.Pool, k.ID) }

// parsePartKey parses the result of String.
func parsePartKey(s string) (PartKey, error) {
	pool, id, _ := strings.Cut(s, "-")
	p, err := strconv.ParseUint(pool, 16, 64)
	if err != nil {
		return PartKey{}, err
	}
	n, err := strconv.ParseUint(id, 16, 64)
	return PartKey{p, n}, err
}

func compareKeys(a, b PartKey) int {
	return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.ID, b.ID))
}

// Crash identifies the end of one incarnation of a server. All instances whose requests
// it ended use the same value.
type Crash uint64

// CrashOf returns the crash that ends an incarnation of a server.
func CrashOf(id fleet.ServerID, incarnation int64) Crash {
	return Crash(fleet.Mix(fleet.HashID(string(id)), uint64(incarnation)))
}

// Strike is a crash at which a request with a part was in progress without an answer.
type Strike struct {
	Crash Crash
	// Account is the hash of the client account whose request it was; 0 for none.
	Account uint64
	// Age is the time since the crash.
	Age time.Duration
}

// Evidence is what is known about one part, as exchanged between instances and stored.
type Evidence struct {
	Part PartKey
	// Depth is the position of the part in the prompts.
	Depth int
	// Proven is set if an engine answered a request with the part before the first strike.
	Proven bool
	// Contrasted is set if an engine of the pool answered any request since the first strike.
	// Without that the pool may be at fault and not the part.
	Contrasted bool
	// StoredLevel is above the number of failed trials that the store knows of; 0 if it has
	// no evidence.
	StoredLevel int
	Strikes     []Strike
	// Cleared is set if an engine has answered a request with the part since a strike;
	// ClearedAge is the time since the last such answer. Older strikes do not count.
	Cleared    bool
	ClearedAge time.Duration
}

// Limits of the evidence. Parts are chosen by callers, so all of them bound what one
// caller can make an instance keep or send.
const (
	// maxRecords limits the parts under suspicion, maxRecordsPerAccount those that one
	// account brought up.
	maxRecords           = 1024
	maxRecordsPerAccount = 256
	// maxStrikes limits the strikes kept for one part, the newest ones.
	maxStrikes = 64
	// maxPartsPerRequest limits the parts of one request that a crash puts under suspicion.
	maxPartsPerRequest = 64
	// evidenceTTL is how long strikes count after the last one.
	evidenceTTL = time.Hour
)

// record is the evidence about a part with times instead of ages.
type record struct {
	part        PartKey
	depth       int
	proven      bool
	contrasted  bool
	storedLevel int
	// offered is set once Pending has returned a write of the row, which may take effect at any time.
	offered bool
	strikes []strike // oldest first
	// firstAt is the time of the first strike that counts, which may no longer be kept.
	firstAt   time.Time
	clearedAt time.Time
	// changedAt is when the evidence last changed, which is then reported at once.
	changedAt time.Time
	// owner is the account of the first strike, whose share of the table it takes.
	owner uint64

	// The verdict, which follows from the evidence.
	blocked      bool
	blockedSince time.Time
	trial        trial
}

type strike struct {
	crash   Crash
	account uint64
	at      time.Time
}

// sameCrashTime is the time within which strikes of one incarnation of a server are the same
// crash. A server that starts again may be known by its former incarnation for a while, in
// an outage of the store for long.
const sameCrashTime = time.Second

func (s *strike) isSameCrash(o *strike) bool {
	return s.crash == o.crash && s.at.Sub(o.at).Abs() < sameCrashTime
}

// addStrike adds a strike unless it is known or older than the last answer, and reports
// whether it did.
func (r *record) addStrike(s strike) bool {
	if !s.at.After(r.clearedAt) {
		return false
	}
	for i := range r.strikes {
		if r.strikes[i].isSameCrash(&s) {
			return false
		}
	}
	if len(r.strikes) == 0 || s.at.Before(r.firstAt) {
		r.firstAt = s.at
	}
	r.strikes = append(r.strikes, s)
	slices.SortFunc(r.strikes, func(a, b strike) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.crash, b.crash)) })
	r.strikes = r.strikes[max(0, len(r.strikes)-maxStrikes):]
	return true
}

// clear records an answer to a request with the part and reports whether it changes
// anything.
func (r *record) clear(at time.Time) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	r.clearedAt = at
	before := len(r.strikes)
	r.strikes = slices.DeleteFunc(r.strikes, func(s strike) bool { return !s.at.After(at) })
	if len(r.strikes) > 0 {
		r.firstAt = r.strikes[0].at
	}
	return len(r.strikes) != before
}

func (r *record) lastStrike() time.Time {
	if len(r.strikes) == 0 {
		return r.clearedAt
	}
	return r.strikes[len(r.strikes)-1].at
}

// sharedAccounts reports whether requests of several accounts struck, so that the part
// is not one account's own matter.
func (r *record) sharedAccounts() bool {
	for _, s := range r.strikes {
		if s.account != r.strikes[0].account {
			return true
		}
	}
	return false
}

// minIncidentGap is the time between two crashes that count as separate incidents. Servers
// that fail together for another reason end the requests that they share at once.
const minIncidentGap = 100 * time.Millisecond

// incidents counts the separate incidents.
func (r *record) incidents() int { return r.count(nil, minIncidentGap) }

// count counts the crashes that no blocked part explains and that are at least gap after the
// last one counted.
func (r *record) count(explained *explanation, gap time.Duration) int {
	n := 0
	var last time.Time
	for i := range r.strikes {
		s := &r.strikes[i]
		if explained.covers(s) || n > 0 && s.at.Sub(last) < gap {
			continue
		}
		n, last = n+1, s.at
	}
	return n
}

func (r *record) evidence(now time.Time, most int) Evidence {
	e := Evidence{Part: r.part, Depth: r.depth, Proven: r.proven, Contrasted: r.contrasted, StoredLevel: r.storedLevel, Cleared: !r.clearedAt.IsZero()}
	if e.Cleared {
		e.ClearedAge = max(0, now.Sub(r.clearedAt))
	}
	for _, s := range r.selectStrikes(most) {
		e.Strikes = append(e.Strikes, Strike{Crash: s.crash, Account: s.account, Age: max(0, now.Sub(s.at))})
	}
	return e
}

// selectStrikes returns up to most strikes, oldest first: the newest of separate incidents,
// and then the newest others, so that the receiver reaches the same verdict.
func (r *record) selectStrikes(most int) []strike {
	if len(r.strikes) <= most {
		return r.strikes
	}
	taken := make([]bool, len(r.strikes))
	n := 0
	take := func(mayTake func(s *strike) bool) {
		for i := len(r.strikes) - 1; i >= 0 && n < most; i-- {
			if !taken[i] && mayTake(&r.strikes[i]) {
				taken[i], n = true, n+1
			}
		}
	}
	var last time.Time
	take(func(s *strike) bool {
		separate := last.IsZero() || last.Sub(s.at) >= minIncidentGap
		if separate {
			last = s.at
		}
		return separate
	})
	take(func(*strike) bool { return true })
	out := make([]strike, 0, n)
	for i, s := range r.strikes {
		if taken[i] {
			out = append(out, s)
		}
	}
	return out
}

// merge adds evidence of another instance and reports whether anything was new.
func (r *record) merge(now time.Time, e *Evidence) bool {
	changed := e.Proven && !r.proven || e.Contrasted && !r.contrasted || e.StoredLevel > r.storedLevel
	r.proven, r.contrasted, r.storedLevel = r.proven || e.Proven, r.contrasted || e.Contrasted, max(r.storedLevel, e.StoredLevel)
	if e.Cleared && r.clear(now.Add(-max(0, e.ClearedAge))) {
		changed = true
	}
	for _, s := range e.Strikes {
		if s.Age >= 0 && s.Age < evidenceTTL && r.addStrike(strike{s.Crash, s.Account, now.Add(-s.Age)}) {
			changed = true
		}
	}
	return changed
}

// suspectParts returns the parts of a prompt that may be at fault. The last one belongs to
// the request or its session: it is what a caller repeats under a new request id.
func suspectParts(parts []placement.Part) []placement.Part {
	if len(parts) <= maxPartsPerRequest {
		return parts
	}
	return append(parts[:maxPartsPerRequest-1:maxPartsPerRequest-1], parts[len(parts)-1])
}
