package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Layout of all histograms: 1 ms to 2 minutes with 2 significant digits, 11 KB
// each. A change needs a new Format, because merging adds equal buckets.
const (
	lowestMillis  = 1
	highestMillis = 120_000
	digits        = 2
)

// maxCauses bounds the causes of one pool and slot: 30 codes in 8 data centres.
const maxCauses = 256

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMillis, highestMillis, digits)
}

// slot is one slot of one window of a pool.
type slot struct {
	number int64
	counts Counts
	// first and between are nil until there is a value.
	first, between *hdrhistogram.Histogram
	causes         map[Cause]uint64
}

// pool holds the windows of a pool: the current and the previous slot of each.
type pool struct {
	mu      sync.Mutex
	windows [NumWindows][2]slot
}

func (p *pool) record(now time.Time, e *Event, c Counts, causes []Cause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	for w := range p.windows {
		s := &p.windows[w][0]
		s.counts.add(c)
		if e.Stream {
			recordMillis(&s.first, e.FirstToken)
			if e.BetweenTokens > 0 {
				recordMillis(&s.between, e.BetweenTokens)
			}
		}
		for _, cause := range causes {
			s.addCause(cause, 1)
		}
	}
}

func recordMillis(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = newHistogram()
	}
	// Values over the range count in the last bucket.
	_ = (*h).RecordValue(min(max(d.Milliseconds(), lowestMillis), highestMillis))
}

func (s *slot) addCause(c Cause, n uint64) {
	if s.causes == nil {
		s.causes = map[Cause]uint64{}
	}
	if _, ok := s.causes[c]; !ok && len(s.causes) >= maxCauses {
		c = otherCause
	}
	s.causes[c] += n
}

func (p *pool) rotate(now time.Time) {
	for w := range p.windows {
		win := &p.windows[w]
		n := number(w, now)
		switch {
		case n <= win[0].number:
			continue
		case n == win[0].number+1:
			old := win[1]
			win[1] = win[0]
			win[0] = old.emptied(n)
		default:
			win[1] = win[1].emptied(n - 1)
			win[0] = win[0].emptied(n)
		}
	}
}

// emptied returns an empty slot that uses the histograms of s again.
func (s slot) emptied(number int64) slot {
	if s.first != nil {
		s.first.Reset()
	}
	if s.between != nil {
		s.between.Reset()
	}
	return slot{number: number, first: s.first, between: s.between}
}
