package placement

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// readRate learns how many prompt tokens a ms the engines of a pool read, from the times to
// first tokens. Its pool's lock guards it.
type readRate struct {
	samples []readSample // the last ones
	next    int          // of samples to replace
	// ownRate is what the samples show, 0 while they show nothing.
	ownRate float64
	// peerRates are the figures of other instances.
	peerRates map[fleet.InstanceID]float64
	rate      float64
}

// readSample is how long an engine took to the first token, and what it had to read.
type readSample struct {
	tokens int
	took   time.Duration
}

const (
	// defaultReadRate is the reading rate while nothing is known, in tokens a ms.
	defaultReadRate = 30
	// readRateSamples is how many samples are kept, paceStep after how many new ones the rate
	// is worked out again.
	readRateSamples        = 64
	readRateUpdateInterval = 16
	// minTokenSpread is the least difference of the tokens of two samples that are compared:
	// times of similar prompts differ by what else the engines do.
	minTokenSpread = 500
	// minSlopes is the least number of such pairs.
	minSlopes = 8
	// minReadRate and paceMax bound the rate, in tokens a ms.
	minReadRate = 1
	maxReadRate = 2000
	// maxReadRatePeers bounds the instances whose figures are kept.
	maxReadRatePeers = 16
)

// tokensPerMs is the present estimate.
func (p *readRate) tokensPerMs() float64 {
	if p.rate == 0 {
		return defaultReadRate
	}
	return p.rate
}

// observe takes the time to a first token, before which an engine read tokens, its own
// queue included.
func (p *readRate) observe(tokens int, took time.Duration) {
	if len(p.samples) < readRateSamples {
		p.samples = append(p.samples, readSample{tokens, took})
	} else {
		p.samples[p.next%readRateSamples] = readSample{tokens, took}
	}
	if p.next++; p.next%readRateUpdateInterval == 0 {
		if rate := estimateReadRate(p.samples); rate > 0 {
			p.ownRate = rate
			p.combine()
		}
	}
}

// estimateReadRate returns the tokens a ms by which the times of large and small prompts differ, the
// median over pairs of them (Theil's incomplete method): what each answer takes besides
// reading does not count, and neither do a few that were misjudged. It is 0 with too few
// pairs.
func estimateReadRate(samples []readSample) float64 {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b readSample) int { return cmp.Compare(a.tokens, b.tokens) })
	half := len(sorted) / 2
	var each []float64 // ms a token
	for i := range half {
		small, large := sorted[i], sorted[len(sorted)-half+i]
		if n := large.tokens - small.tokens; n >= minTokenSpread {
			each = append(each, float64(large.took-small.took)/float64(time.Millisecond)/float64(n))
		}
	}
	if len(each) < minSlopes {
		return 0
	}
	return min(maxReadRate, max(minReadRate, 1/max(1.0/maxReadRate, median(each))))
}

// setPeerRate takes the figure of another instance.
func (p *readRate) setPeerRate(id fleet.InstanceID, rate float64) {
	if rate < minReadRate || rate > maxReadRate {
		return
	}
	if p.peerRates == nil {
		p.peerRates = map[fleet.InstanceID]float64{}
	}
	if old, ok := p.peerRates[id]; ok && old == rate || !ok && len(p.peerRates) >= maxReadRatePeers {
		return
	}
	p.peerRates[id] = rate
	p.combine()
}

// combine takes the median over the instances: one that sees only slow engines does not
// count more than the others.
func (p *readRate) combine() {
	all := make([]float64, 0, len(p.peerRates)+1)
	for _, r := range p.peerRates {
		all = append(all, r)
	}
	if p.ownRate > 0 {
		all = append(all, p.ownRate)
	}
	p.rate = median(all)
}

func median(list []float64) float64 {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// ReadRates returns how many prompt tokens a ms the engines of each pool read, as this
// instance's own requests show. Pools of which too little is known are left out.
func (b *Balancer) ReadRates() map[fleet.PoolID]float64 {
	var out map[fleet.PoolID]float64
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, p := range b.pools {
		p.mu.Lock()
		if p.readRate.ownRate > 0 {
			if out == nil {
				out = map[fleet.PoolID]float64{}
			}
			out[id] = p.readRate.ownRate
		}
		p.mu.Unlock()
	}
	return out
}

// ApplyPeerReadRates takes what another instance's requests show.
func (b *Balancer) ApplyPeerReadRates(peer fleet.InstanceID, paces map[fleet.PoolID]float64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, rate := range paces {
		if p := b.pools[id]; p != nil {
			p.mu.Lock()
			p.readRate.setPeerRate(peer, rate)
			p.mu.Unlock()
		}
	}
}
