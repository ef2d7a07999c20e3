package servicetime

import "time"

// firstPartShare is the share of a time limit that a response may take until its first part
// where the rest is estimated from the number of tokens.
const firstPartShare = 0.25

// generation counts the times of one period.
type generation struct {
	// whole counts times of whole requests, first those until the first part, tokens those
	// after it for 1,000 of the largest number of output tokens.
	whole, first, tokens histogram
}

func wholeTimes(g *generation) *histogram { return &g.whole }
func firstTimes(g *generation) *histogram { return &g.first }
func tokenTimes(g *generation) *histogram { return &g.tokens }

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
// much slower responses come in at present. Without known times it is 1.
func (t *Tracker) Risk(now time.Time, k Kind, tokens int, d time.Duration) float64 {
	r := t.lookup(k)
	if r == nil {
		return 1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d = time.Duration(float64(d) / r.pace.slowdown(now))
	risk := r.riskByTime(now, d)
	if tokens > 0 {
		risk = min(risk, r.riskByTokens(tokens, d))
	}
	return risk
}

// riskByTime estimates the risk from the times of whole requests and of those under way.
func (r *record) riskByTime(now time.Time, d time.Duration) float64 {
	known := r.tail(d, wholeTimes, minTailTimes)
	for run := range r.running {
		switch age := now.Sub(run.began); {
		case age > d:
			known.over, known.total = known.over+1, known.total+1
		case known.total > 0:
			known.longest = max(known.longest, age)
		}
	}
	return known.risk(d)
}

// riskByTokens estimates the risk from the time to the first part and that for each token.
func (r *record) riskByTokens(tokens int, d time.Duration) float64 {
	toFirst := time.Duration(firstPartShare * float64(d))
	first := r.tail(toFirst, firstTimes, minTailPaces)
	each := perKiloToken(d-toFirst, tokens)
	output := r.tail(each, tokenTimes, minTailPaces)
	return min(1, first.risk(toFirst)+output.risk(each))
}

// tail returns what all counts of one sort tell about times longer than d.
func (r *record) tail(d time.Duration, of func(*generation) *histogram, minKnown uint64) *tail {
	t := &tail{minKnown: minKnown}
	for _, g := range []*generation{&r.current, &r.previous, &r.peers} {
		of(g).count(t, d)
	}
	return t
}
