package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/result"
)

// Format is the version of Snapshot and of the histogram layout.
const Format = 1

// Snapshot is the state of a recorder as it is sent and stored.
type Snapshot struct {
	Format int `json:"format"`
	// RunIDs are the process lives whose events are counted.
	RunIDs []string `json:"lives"`
	// AtUnix is the time of the snapshot, in seconds since 1970-01-01 UTC.
	AtUnix   int64           `json:"at_unix"`
	Pools    []PoolSeries    `json:"pools"`
	Accounts []AccountSeries `json:"accounts"`
}

// PoolSeries are the slots of one pool.
type PoolSeries struct {
	Name  fleet.PoolID `json:"name"`
	Slots []PoolSlot   `json:"slots"`
}

// PoolSlot is one slot with events.
type PoolSlot struct {
	Window int    `json:"window"`
	Number int64  `json:"number"`
	Counts Counts `json:"counts"`
	// FirstTokenBuckets and Between hold pairs of bucket index and count.
	FirstTokenBuckets    []int64      `json:"first"`
	BetweenTokensBuckets []int64      `json:"between"`
	Causes               []CauseCount `json:"causes"`
}

// CauseCount is the number of events of a cause.
type CauseCount struct {
	Cause
	Count uint64 `json:"count"`
}

// AccountSeries are the slots of one account.
type AccountSeries struct {
	Name fleet.ClientAccountID `json:"name"`
	// Slots hold window, number and counts, for slots with events.
	Slots [][2 + NumCounts]int64 `json:"slots"`
	// Causes of the current and the previous slot of the longest window.
	Causes [2][]CauseCount `json:"causes"`
}

// Snapshot returns the slots that have events at now.
func (r *Recorder) Snapshot(now time.Time) *Snapshot {
	s := &Snapshot{Format: Format, AtUnix: now.Unix(), RunIDs: r.RunIDs(), Pools: []PoolSeries{}, Accounts: []AccountSeries{}}
	r.mu.RLock()
	for id, p := range r.pools {
		s.Pools = append(s.Pools, PoolSeries{id, p.snapshot(now)})
	}
	r.mu.RUnlock()
	for i := range r.shards {
		s.Accounts = r.shards[i].snapshot(now, s.Accounts)
	}
	slices.SortFunc(s.Pools, func(a, b PoolSeries) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Accounts, func(a, b AccountSeries) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func (p *pool) snapshot(now time.Time) []PoolSlot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	out := []PoolSlot{}
	for w := range p.windows {
		for _, s := range p.windows[w] {
			if s.counts != (Counts{}) {
				out = append(out, PoolSlot{w, s.slotNumber, s.counts, encodeHistogram(s.firstToken), encodeHistogram(s.betweenTokens), sortedCauses(s.causes)})
			}
		}
	}
	return out
}

func (s *shard) snapshot(now time.Time, out []AccountSeries) []AccountSeries {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for i, name := range s.names {
		a := AccountSeries{Name: name}
		for w := range s.windows {
			win := &s.windows[w]
			a.Slots = appendSlot(a.Slots, w, win.number, win.current[i])
			a.Slots = appendSlot(a.Slots, w, win.number-1, win.previous[i])
		}
		if len(a.Slots) == 0 {
			continue
		}
		for k := range s.causes {
			for _, c := range s.causes[k][uint32(i)] {
				a.Causes[k] = append(a.Causes[k], CauseCount{s.causesByID[c.id], uint64(c.n)})
			}
		}
		out = append(out, a)
	}
	return out
}

func appendSlot(slots [][2 + NumCounts]int64, window int, number int64, c counts32) [][2 + NumCounts]int64 {
	if c == (counts32{}) {
		return slots
	}
	v := [2 + NumCounts]int64{int64(window), number}
	for i, n := range c {
		v[2+i] = int64(n)
	}
	return append(slots, v)
}

func sortedCauses(m map[Cause]uint64) []CauseCount {
	out := make([]CauseCount, 0, len(m))
	for c, n := range m {
		out = append(out, CauseCount{c, n})
	}
	slices.SortFunc(out, func(a, b CauseCount) int {
		return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Code, b.Code), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Cause.Cause, b.Cause.Cause))
	})
	return out
}

func encodeHistogram(h *hdrhistogram.Histogram) []int64 {
	if h == nil {
		return nil
	}
	var out []int64
	for i, n := range h.Export().Counts {
		if n != 0 {
			out = append(out, int64(i), n)
		}
	}
	return out
}

// decodeHistogram returns the histogram of sparse pairs, or an error when the pairs do not
// fit the layout.
func decodeHistogram(pairs []int64) (*hdrhistogram.Histogram, error) {
	s := newHistogram().Export()
	if len(pairs)%2 != 0 {
		return nil, result.New(result.BadRequest, "histogram has an odd number of values")
	}
	for k := 0; k < len(pairs); k += 2 {
		i, n := pairs[k], pairs[k+1]
		if i < 0 || i >= int64(len(s.Counts)) || n < 0 {
			return nil, result.New(result.BadRequest, "histogram bucket %d does not exist", i)
		}
		s.Counts[i] += n
	}
	return hdrhistogram.Import(s), nil
}

// Check returns an error unless the snapshot can be merged.
func (s *Snapshot) Check() error {
	if s.Format != Format {
		return result.New(result.BadRequest, "snapshot format is %d, want %d", s.Format, Format)
	}
	for _, p := range s.Pools {
		for _, sl := range p.Slots {
			if sl.Window < 0 || sl.Window >= NumWindows {
				return result.New(result.BadRequest, "window %d does not exist", sl.Window)
			}
			for _, pairs := range [][]int64{sl.FirstTokenBuckets, sl.BetweenTokensBuckets} {
				if _, err := decodeHistogram(pairs); err != nil {
					return err
				}
			}
		}
	}
	for _, a := range s.Accounts {
		for _, v := range a.Slots {
			if v[0] < 0 || v[0] >= NumWindows || slices.Min(v[2:]) < 0 {
				return result.New(result.BadRequest, "account %s has a malformed slot", a.Name)
			}
		}
	}
	return nil
}

// Merge adds the slots of a snapshot that are still current at now. It reports
// false and adds nothing when a life of the snapshot is counted already.
func (r *Recorder) Merge(now time.Time, s *Snapshot) (bool, error) {
	if err := s.Check(); err != nil {
		return false, err
	}
	r.mu.Lock()
	for _, l := range s.RunIDs {
		if slices.Contains(r.runIDs, l) {
			r.mu.Unlock()
			return false, nil
		}
	}
	r.runIDs = append(r.runIDs, s.RunIDs...)
	if n := len(r.runIDs); n > maxRunIDs {
		r.runIDs = append(r.runIDs[:1], r.runIDs[n-maxRunIDs+1:]...)
	}
	r.mu.Unlock()
	for _, p := range s.Pools {
		r.pool(p.Name).merge(now, p.Slots)
	}
	snapshotSlot := slotNumber(ThreeDays, time.Unix(s.AtUnix, 0))
	for _, a := range s.Accounts {
		r.shardOf(a.Name).merge(now, a, snapshotSlot)
	}
	return true, nil
}

func (p *pool) merge(now time.Time, slots []PoolSlot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate(now)
	for _, in := range slots {
		for k := range p.windows[in.Window] {
			s := &p.windows[in.Window][k]
			if s.slotNumber != in.Number {
				continue
			}
			s.counts.add(in.Counts)
			mergeHistogram(&s.firstToken, in.FirstTokenBuckets)
			mergeHistogram(&s.betweenTokens, in.BetweenTokensBuckets)
			for _, c := range in.Causes {
				s.addCause(c.Cause, c.Count)
			}
		}
	}
}

func mergeHistogram(h **hdrhistogram.Histogram, pairs []int64) {
	from, err := decodeHistogram(pairs)
	if err != nil || len(pairs) == 0 {
		return
	}
	if *h == nil {
		*h = from
		return
	}
	(*h).Merge(from)
}

// merge adds the slots of one account; three is the number of the longest
// window's current slot in the snapshot.
func (s *shard) merge(now time.Time, a AccountSeries, snapshotSlot int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	i := s.indexOf(a.Name)
	for _, v := range a.Slots {
		win := &s.windows[v[0]]
		var c Counts
		for k := range c {
			c[k] = uint64(v[2+k])
		}
		switch v[1] {
		case win.number:
			win.current[i].add(c)
		case win.number - 1:
			win.previous[i].add(c)
		}
	}
	for k := range a.Causes {
		slot := s.windows[ThreeDays].number - (snapshotSlot - int64(k))
		if slot < 0 || slot > 1 {
			continue
		}
		for _, c := range a.Causes[k] {
			s.addCause(int(slot), i, c.Cause, c.Count)
		}
	}
}
