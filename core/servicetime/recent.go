package servicetime

import "time"

// recentSeconds is the number of the latest seconds for which requests are counted by the
// second in which they began. It is above the limit of a planned stop.
const recentSeconds = 16

// originMargin is how much earlier than the first recorded request the count of seconds begins:
// others that began before it may end later.
const originMargin = time.Hour

// recent counts the requests that have ended by the second in which they began. Those that
// began less than d ago tell nothing of times over d: the longer ones of them still run.
type recent struct {
	// origin is the time from which seconds are counted. Differences of times do not jump with
	// the time of day.
	origin  time.Time
	seconds [recentSeconds]int64
	counts  [recentSeconds]uint32
	// peers counts those of other instances by age in seconds, as of when they were read, and
	// peersRunning the requests that were under way there.
	peers, peersRunning [recentSeconds]uint32
}

func (r *recent) add(began time.Time) {
	if r.origin.IsZero() {
		r.origin = began.Add(-originMargin)
	}
	second := int64(began.Sub(r.origin) / time.Second)
	if second < 0 {
		return
	}
	i := second % recentSeconds
	if second > r.seconds[i] {
		r.seconds[i], r.counts[i] = second, 0
	}
	if second == r.seconds[i] {
		r.counts[i]++
	}
}

// byAge returns the own counts by age in seconds.
func (r *recent) byAge(now time.Time) [recentSeconds]uint32 {
	var out [recentSeconds]uint32
	for i, second := range r.seconds {
		if age := int64(now.Sub(r.origin)/time.Second) - second; second > 0 && age >= 0 && age < recentSeconds {
			out[age] += r.counts[i]
		}
	}
	return out
}

// runningOver returns the number of requests of other instances that were under way for longer
// than d, at least.
func (r *recent) runningOver(d time.Duration) uint64 {
	n := uint64(0)
	for age, running := range r.peersRunning {
		if time.Duration(age)*time.Second > d {
			n += uint64(running)
		}
	}
	return n
}

// within returns the number of requests that began within the last d, at least.
func (r *recent) within(now time.Time, d time.Duration) uint64 {
	n := uint64(0)
	own := r.byAge(now)
	for age := range own {
		// A request may be up to a second younger than the age of its second.
		if time.Duration(age-1)*time.Second < d {
			n += uint64(own[age]) + uint64(r.peers[age])
		}
	}
	return n
}
