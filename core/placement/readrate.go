package placement

import (
	"cmp"
	"slices"
	"time"

	"cyclamenhitch/core/fleet"
)

// readRate estimates the rate at which the engines of a pool process prompt tokens,
// in tokens per ms, from the times to the first token. It is guarded by the lock of
// its pool.
type readRate struct {
	samples []readSample // ring buffer of the most recent samples
	next    int          // index of the next sample to replace, modulo the size
	// ownRate is the estimate from own samples, 0 if there are too few.
	ownRate float64
	// peerRates holds the estimates of other instances.
	peerRates map[fleet.InstanceID]float64
	rate      float64
}

// readSample is the time to a first token and the tokens that the engine had to
// process before it.
type readSample struct {
	tokens int
	took   time.Duration
}

const (
	// defaultReadRate is used until an estimate is available, in tokens per ms.
	defaultReadRate = 30
	// readRateSamples is the number of samples kept; the rate is recomputed after every
	// readRateUpdateInterval new ones.
	readRateSamples        = 64
	readRateUpdateInterval = 16
	// minTokenSpread is the minimum difference in tokens between two compared samples.
	// The times of prompts of similar size differ because of the engines' other work.
	minTokenSpread = 500
	// minSlopes is the minimum number of such pairs.
	minSlopes = 8
	// minReadRate and maxReadRate bound the rate, in tokens per ms.
	minReadRate = 1
	maxReadRate = 2000
	// maxReadRatePeers limits the number of instances whose estimates are kept.
	maxReadRatePeers = 16
)

// tokensPerMs returns the current estimate.
func (p *readRate) tokensPerMs() float64 {
	if p.rate == 0 {
		return defaultReadRate
	}
	return p.rate
}

// observe adds a sample: the time to a first token, before which the engine processed
// the given tokens, including those queued ahead.
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

// estimateReadRate returns the rate derived from the difference in time between large
// and small prompts: the median over pairs (Theil's incomplete method). A constant
// overhead per answer cancels out, and a few outliers have no effect. It returns 0 if
// there are too few pairs.
func estimateReadRate(samples []readSample) float64 {
	sorted := slices.Clone(samples)
	slices.SortFunc(sorted, func(a, b readSample) int { return cmp.Compare(a.tokens, b.tokens) })
	half := len(sorted) / 2
	var each []float64 // slopes, in ms per token
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

// setPeerRate records the estimate of another instance.
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

// combine sets the rate to the median over all instances, so that an instance that
// sees only slow engines does not dominate.
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

// ReadRates returns the read rate of the engines in each pool, in prompt tokens per
// ms, estimated from this instance's own requests. Pools with too few samples are
// omitted.
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

// ApplyPeerReadRates records the estimates of another instance.
func (b *Balancer) ApplyPeerReadRates(peer fleet.InstanceID, rates map[fleet.PoolID]float64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for id, rate := range rates {
		if p := b.pools[id]; p != nil {
			p.mu.Lock()
			p.readRate.setPeerRate(peer, rate)
			p.mu.Unlock()
		}
	}
}
