package placement

import "time"

const (
	// minOversize is the number of consecutive answers over the size limit after which a
	// server is avoided. It excludes single answers that callers asked for.
	minOversize = 4
	// callerActiveTime is how long an account counts as one that uses the pool.
	callerActiveTime = 10 * time.Second
)

// oversize is the evidence that a server itself, and not what a caller asks for, makes its
// answers exceed the size limit: no complete answer since, and requests of several accounts
// if several use the pool.
type oversize struct {
	consecutive int
	// account is that of the first answer; several is set once another account got one.
	account      uint64
	several      bool
	suspectUntil time.Time
}

// observe records an answer over the limit to a request of an account. alone is set if no
// other account uses the pool.
func (o *oversize) observe(now time.Time, account uint64, alone bool) {
	if o.consecutive == 0 {
		o.account = account
	}
	o.several = o.several || account != o.account
	o.consecutive++
	if o.consecutive >= minOversize && (o.several || alone) {
		o.suspectUntil = now.Add(suspicionTime(failureBackoffBase, o.consecutive-minOversize))
	}
}

// completed clears the evidence after a complete answer.
func (o *oversize) completed() { *o = oversize{} }

// callers tells whether several accounts use a pool: it holds the two accounts that sent the
// latest requests.
type callers struct {
	accounts [2]uint64
	at       [2]time.Time
}

func (c *callers) observe(now time.Time, account uint64) {
	if account != c.accounts[0] || c.at[0].IsZero() {
		c.accounts[1], c.at[1] = c.accounts[0], c.at[0]
		c.accounts[0] = account
	}
	c.at[0] = now
}

// alone reports whether no account but the given one has used the pool lately.
func (c *callers) alone(now time.Time, account uint64) bool {
	for i, a := range c.accounts {
		if a != account && !c.at[i].IsZero() && now.Sub(c.at[i]) < callerActiveTime {
			return false
		}
	}
	return true
}

// suspect reports whether the server is avoided while others can take its requests.
func (s *serverState) suspect(now time.Time) bool {
	return s.failures.suspect(now) || now.Before(s.oversize.suspectUntil)
}
