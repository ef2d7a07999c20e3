package servicetime

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave and bucketCount define logarithmic buckets from 1 ms to 17 min whose
	// bounds are 9% apart.
	bucketsPerOctave = 8
	bucketCount      = 20*bucketsPerOctave + 1
	lowestBound      = time.Millisecond
	// tailIndex is the exponent with which the share of longer times falls beyond the longest
	// known one: times twice as long are at least four times as rare.
	tailIndex = 2
	// minTailTimes is the number of known times of whole requests above which this begins to
	// hold, and twice of which it holds fully: a few in a thousand may take many times as long
	// as the others. minTailPaces is that for the pace of output, which servers bound.
	minTailTimes = 500
	minTailPaces = 50
)

// Counts are numbers of times by bucket, without the empty buckets.
type Counts map[int]uint32

// histogram counts times in logarithmic buckets.
type histogram struct {
	counts [bucketCount]uint32
	total  uint32
}

func bucketOf(d time.Duration) int {
	if d <= lowestBound {
		return 0
	}
	i := math.Ceil(bucketsPerOctave * math.Log2(float64(d)/float64(lowestBound)))
	return min(bucketCount-1, int(i))
}

// upperBound returns the longest time of a bucket. The last bucket has no bound.
func upperBound(bucket int) time.Duration {
	return time.Duration(float64(lowestBound) * math.Exp2(float64(bucket)/bucketsPerOctave))
}

func (h *histogram) add(bucket int, n uint32) {
	if bucket < 0 || bucket >= bucketCount {
		return
	}
	h.counts[bucket] += n
	h.total += n
}

// mergeInto adds the counts of h to c.
func (h *histogram) mergeInto(c Counts) {
	for i, n := range h.counts {
		if n > 0 {
			c[i] += n
		}
	}
}

// tail is what is known about long times.
type tail struct {
	over, total uint64
	// longest is an upper bound of the longest time that is not over.
	longest time.Duration
	// minKnown is the number of known times above which tailIndex begins to apply.
	minKnown uint64
}

// count adds the times of h to t. A time that may be longer than d counts as over.
func (h *histogram) count(t *tail, d time.Duration) {
	t.total += uint64(h.total)
	for i, n := range h.counts {
		switch {
		case n == 0:
		case upperBound(i) > d:
			t.over += uint64(n)
		default:
			t.longest = max(t.longest, upperBound(i))
		}
	}
}

// addOver adds n times that are over.
func (t *tail) addOver(n uint64) { t.over, t.total = t.over+n, t.total+n }

// leaveOut removes n times that are not over.
func (t *tail) leaveOut(n uint64) { t.total -= min(n, t.total-t.over) }

// risk returns the probability that the next time is longer than d, which is at least the time
// that was counted: by the rule of succession up to the longest known time, and falling with
// tailIndex beyond it if enough times are known. It is 1 if none is.
func (t *tail) risk(d time.Duration) float64 {
	switch {
	case t.total == 0 || d <= 0:
		return 1
	case t.over > 0:
		return float64(t.over+1) / float64(t.total+2)
	}
	index := tailIndex * min(1, max(0, float64(t.total)/float64(t.minKnown)-1))
	return math.Pow(float64(t.longest)/float64(d), index) / float64(t.total+1)
}
