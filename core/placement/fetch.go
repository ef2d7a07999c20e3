package placement

import (
	"time"

	"cyclamenhitch/core/fleet"
)

// fetchSource is the server from which cached prompt tokens can be fetched.
type fetchSource struct {
	s            *serverState
	cachedTokens int
}

// fetchSource returns the server that has processed and cached most of the prompt. Ties
// go to the server whose link is free first, then to the highest hash with the request's
// key: with a fixed order all fetches of a shared part would queue at one engine. Servers
// that may receive no new work, or that failed once or twice, remain valid sources: their
// caches are intact.
func (p *pool) fetchSource(now time.Time, req *Request) fetchSource {
	var best fetchSource
	var free time.Duration
	var hash uint64
	for _, s := range p.list {
		if !s.Engine || s.FetchTokensPerMs == 0 || s.failures.down(now) {
			continue
		}
		n := s.cache.processedTokens(now, req.Parts)
		if n == 0 || n < best.cachedTokens {
			continue
		}
		f, h := max(0, s.linkFree.Sub(now)), fleet.Mix(req.Key, s.hash)
		if n == best.cachedTokens && (f > free || f == free && h < hash) {
			continue
		}
		best, free, hash = fetchSource{s, n}, f, h
	}
	return best
}

// minFetchTokens is the minimum number of tokens that justify a fetch.
const minFetchTokens = 256

// fetch returns the number of tokens that s would fetch, the time of the transfer,
// and the total time including the wait for the links. Transfers between data centres
// take twice as long.
func (s *serverState) fetch(now time.Time, cachedTokens int, from fetchSource) (tokens int, transfer, total time.Duration) {
	n := from.cachedTokens - cachedTokens
	if from.s == nil || from.s == s || n < minFetchTokens || s.FetchTokensPerMs == 0 {
		return 0, 0, 0
	}
	took := time.Duration(float64(n) / s.FetchTokensPerMs * float64(time.Millisecond))
	if from.s.DataCentre != s.DataCentre {
		took *= 2
	}
	queue := max(0, from.s.linkFree.Sub(now), s.linkFree.Sub(now))
	return n, took, queue + took
}
