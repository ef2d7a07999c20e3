package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Layout of all histograms: 1 ms to 2 minutes with 2 significant digits, 11 KB
// each. A change needs a new Format, because merging adds equal buckets.
const (
	lowestMillis      = 1
	highestMillis     = 120_000
	significantDigits = 2
)

// maxCauses bounds the causes of one pool and slot: 30 codes in 8 data centres.
const maxCauses = 256

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMillis, highestMillis, significantDigits)
}

// slot is one slot of one window of a pool.
type slot struct {
	slotNumber int64
	counts     Counts
	// firstToken and between are nil until there is a value.
	firstToken, betweenTokens *hdrhistogram.Histogram
	causes                    map[Cause]uint64
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
			recordMillis(&s.firstToken, e.FirstToken)
			if e.BetweenTokens > 0 {
				recordMillis(&s.betweenTokens, e.BetweenTokens)
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
		n := slotNumber(w, now)
		switch {
		case n <= win[0].slotNumber:
			continue
		case n == win[0].slotNumber+1:
			old := win[1]
			win[1] = win[0]
			win[0] = old.reset(n)
		default:
			win[1] = win[1].reset(n - 1)
			win[0] = win[0].reset(n)
		}
	}
}

// reset returns an empty slot that uses the histograms of s again.
func (s slot) reset(number int64) slot {
	if s.firstToken != nil {
		s.firstToken.Reset()
	}
	if s.betweenTokens != nil {
		s.betweenTokens.Reset()
	}
	return slot{slotNumber: number, firstToken: s.firstToken, betweenTokens: s.betweenTokens}
}
