package servicetime

import "time"

// recentSeconds is the number of the latest seconds for which requests are counted by the
// second in which they began. It is above the limit of a planned stop.
const recentSeconds = 16

// recent counts the requests that have ended by the second in which they began. Those that
// began less than d ago tell nothing of times over d: the longer ones of them still run.
type recent struct {
	seconds [recentSeconds]int64
	counts  [recentSeconds]uint32
	// peers counts those of other instances by age in seconds, as of when they were read, and
	// peersRunning the requests that were under way there.
	peers, peersRunning [recentSeconds]uint32
}

func (r *recent) add(began time.Time) {
	second := began.Unix()
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
		if age := now.Unix() - second; age >= 0 && age < recentSeconds {
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
		if time.Duration(age)*time.Second <= d {
			n += uint64(own[age]) + uint64(r.peers[age])
		}
	}
	return n
}
