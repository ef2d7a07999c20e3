package placement

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// pace learns how many prompt tokens a ms the engines of a pool read, from the times to
// first tokens. Its pool's lock guards it.
type pace struct {
	samples []readTimes // the last ones
	next    int         // of samples to replace
	// own is what the samples show, 0 while they show nothing.
	own float64
	// told are the figures of other instances.
	told map[fleet.InstanceID]float64
	rate float64
}

// readTimes is how long an engine took to the first token, and what it had to read.
type readTimes struct {
	tokens int
	took   time.Duration
}

const (
	// priorPace is the reading rate while nothing is known, in tokens a ms.
	priorPace = 30
	// paceSamples is how many samples are kept, paceStep after how many new ones the rate
	// is worked out again.
	paceSamples = 64
	paceStep    = 16
	// paceSpread is the least difference of the tokens of two samples that are compared:
	// times of similar prompts differ by what else the engines do.
	paceSpread = 500
	// paceSlopes is the least number of such pairs.
	paceSlopes = 8
	// paceMin and paceMax bound the rate, in tokens a ms.
	paceMin = 1
	paceMax = 2000
	// paceTold bounds the instances whose figures are kept.
	paceTold = 16
)

// tokensPerMilli is the present estimate.
func (p *pace) tokensPerMilli() float64 {
	if p.rate == 0 {
		return priorPace
	}
	return p.rate
}

// observe takes the time to a first token, before which an engine read tokens, its own
// queue included.
func (p *pace) observe(tokens int, took time.Duration) {
	if len(p.samples) < paceSamples {
		p.samples = append(p.samples, readTimes{tokens, took})
	} else {
		p.samples[p.next%paceSamples] = readTimes{tokens, took}
	}
	if p.next++; p.next%paceStep == 0 {
		if rate := slope(p.samples); rate > 0 {
			p.own = rate
			p.combine()
		}
	}
}

// slope returns the tokens a ms by which the times of large and small prompts differ, the
// median over pairs of them (Theil's incomplete method): what each answer takes besides
// reading does not count, and neither do a few that were misjudged. It is 0 with too few
// pairs.
func slope(samples []readTimes) float64 {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b readTimes) int { return cmp.Compare(a.tokens, b.tokens) })
	half := len(sorted) / 2
	var each []float64 // ms a token
	for i := range half {
		small, large := sorted[i], sorted[len(sorted)-half+i]
		if n := large.tokens - small.tokens; n >= paceSpread {
			each = append(each, float64(large.took-small.took)/float64(time.Millisecond)/float64(n))
		}
	}
	if len(each) < paceSlopes {
		return 0
	}
	return min(paceMax, max(paceMin, 1/max(1.0/paceMax, median(each))))
}

// tell takes the figure of another instance.
func (p *pace) tell(id fleet.InstanceID, rate float64) {
	if rate < paceMin || rate > paceMax {
		return
	}
	if p.told == nil {
		p.told = map[fleet.InstanceID]float64{}
	}
	if old, ok := p.told[id]; ok && old == rate || !ok && len(p.told) >= paceTold {
		return
	}
	p.told[id] = rate
	p.combine()
}

// combine takes the median over the instances: one that sees only slow engines does not
// count more than the others.
func (p *pace) combine() {
	all := make([]float64, 0, len(p.told)+1)
	for _, r := range p.told {
		all = append(all, r)
	}
	if p.own > 0 {
		all = append(all, p.own)
	}
	p.rate = median(all)
}

func median(list []float64) float64 {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Paces returns how many prompt tokens a ms the engines of each pool read, as this
// instance's own requests show. Pools of which too little is known are left out.
func (b *Board) Paces() map[fleet.PoolID]float64 {
	var out map[fleet.PoolID]float64
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		if p.pace.own > 0 {
			if out == nil {
				out = map[fleet.PoolID]float64{}
			}
			out[id] = p.pace.own
		}
		p.mu.Unlock()
	}
	return out
}

// PeerPaces takes what another instance's requests show.
func (b *Board) PeerPaces(peer fleet.InstanceID, paces map[fleet.PoolID]float64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, rate := range paces {
		if p := b.pools[id]; p != nil {
			p.mu.Lock()
			p.pace.tell(peer, rate)
			p.mu.Unlock()
		}
	}
}
