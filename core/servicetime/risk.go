package servicetime

import "time"

// limitShares are the shares of a limit at which times are compared: what is longer than the limit
// is longer than a part of it, too, and more requests are old enough to tell about a part.
var limitShares = [...]float64{1, 0.5, 0.25, 0.125}

// firstPartShare is the share of a time limit that a response may take until its first part
// where the rest is estimated from the number of tokens.
const firstPartShare = 0.25

// generation counts the times of one period.
type generation struct {
	// whole counts times of whole requests, first those until the first part, tokens those
	// after it for 1,000 of the largest number of output tokens.
	whole, first, tokens histogram
	// cut counts times of requests that ended before their response was whole, cutFirst those
	// of them before its first part. They tell only that the times would have been longer.
	cut, cutFirst histogram
}

func wholeTimes(g *generation) *histogram    { return &g.whole }
func firstTimes(g *generation) *histogram    { return &g.first }
func tokenTimes(g *generation) *histogram    { return &g.tokens }
func cutTimes(g *generation) *histogram      { return &g.cut }
func cutFirstTimes(g *generation) *histogram { return &g.cutFirst }

// generations holds the counts of the latest one or two periods of generationTime.
type generations struct {
	began             time.Time
	current, previous generation
}

// rotate begins a new period if the current one has ended.
func (g *generations) rotate(now time.Time) {
	switch age := now.Sub(g.began); {
	case g.began.IsZero():
		g.began = now
	case age >= 2*generationTime:
		g.current, g.previous, g.began = generation{}, generation{}, now
	case age >= generationTime:
		g.previous, g.current, g.began = g.current, generation{}, now
	}
}

// perKiloToken returns the time for 1,000 tokens at the pace of d for n tokens.
func perKiloToken(d time.Duration, n int) time.Duration {
	return time.Duration(float64(d) * 1000 / float64(n))
}

// Risk returns the probability, 0 to 1, that a request of a kind that starts now takes longer
// than d. tokens is the largest number of its output tokens, 0 if unknown. It is estimated from
// the times of whole requests and, if tokens is known, from the pace of output; the lower one
// counts, since the number of tokens only bounds the time from above. Both are adjusted to how
// much slower responses come in at present, and leave out requests that began less than d ago.
// Without known times it is 1.
func (t *Tracker) Risk(now time.Time, k Kind, tokens int, d time.Duration) float64 {
	r := t.lookup(k)
	if r == nil {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slowdown, risk := r.pace.slowdown(now), 1.0
	limit := time.Duration(float64(d) / slowdown)
	for _, share := range limitShares {
		early := r.recent.within(now, time.Duration(share*float64(d)))
		known := time.Duration(share * float64(limit))
		risk = min(risk, r.riskByTime(now, early, known, limit))
		if tokens > 0 {
			risk = min(risk, r.riskByTokens(now, tokens, early, known, limit))
		}
	}
	return risk
}

// riskByTime estimates the risk of times over limit from those over d, which is at most limit, of
// whole requests and of those under way. early requests are left out.
func (r *record) riskByTime(now time.Time, early uint64, d, limit time.Duration) float64 {
	known := r.tail(d, wholeTimes, minTailTimes)
	known.leaveOut(early)
	known.addOver(r.recent.runningOver(d) + r.cutOver(d, cutTimes))
	for run := range r.running {
		switch age := now.Sub(run.began); {
		case age > d:
			known.addOver(1)
		case known.total > 0:
			known.longest = max(known.longest, age)
		}
	}
	return known.risk(limit)
}

// riskByTokens is like riskByTime with the time to the first part and that for each token.
func (r *record) riskByTokens(now time.Time, tokens int, early uint64, d, limit time.Duration) float64 {
	toFirst := time.Duration(firstPartShare * float64(d))
	first := r.tail(toFirst, firstTimes, minTailPaces)
	each := perKiloToken(d-toFirst, tokens)
	output := r.tail(each, tokenTimes, minTailPaces)
	output.leaveOut(early)
	first.addOver(r.cutOver(toFirst, cutFirstTimes))
	for run := range r.running {
		switch {
		case run.firstPart:
			if run.tokens > 0 && perKiloToken(now.Sub(run.opened), run.tokens) > each {
				output.addOver(1)
			}
		case now.Sub(run.began) > toFirst:
			first.addOver(1)
		}
	}
	share := float64(limit) / float64(d)
	return first.risk(time.Duration(share*float64(toFirst))) + output.risk(time.Duration(share*float64(each)))
}

// tail returns what all counts of one sort tell about times longer than d.
func (r *record) tail(d time.Duration, of func(*generation) *histogram, minKnown uint64) *tail {
	t := &tail{minKnown: minKnown}
	for _, g := range []*generation{&r.current, &r.previous, &r.peers} {
		of(g).count(t, d)
	}
	return t
}

// cutOver returns how many requests that were cut short had already taken longer than d.
func (r *record) cutOver(d time.Duration, of func(*generation) *histogram) uint64 {
	return r.tail(d, of, 0).over
}
