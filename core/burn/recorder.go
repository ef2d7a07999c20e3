package burn

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// accountShards is the number of shards, a power of two. Each shard has its own
// lock.
const accountShards = 16

// maxAccountsPerShard limits the memory for client accounts; accounts above the
// limit are counted as OtherAccounts. A manifest of the target size has 18,000
// accounts, which is 1,125 per shard.
const maxAccountsPerShard = 4096

// OtherAccounts is the name that collects the accounts above a shard's limit.
const OtherAccounts = "(other)"

// maxRunIDs limits the list of merged run IDs. The planned stops within the 3-day
// window are far fewer.
const maxRunIDs = 4096

// Recorder counts the events of one instance in sliding windows. It is safe for
// concurrent use.
type Recorder struct {
	seed   maphash.Seed
	shards [accountShards]shard

	mu    sync.RWMutex // guards pools and runIDs
	pools map[fleet.PoolID]*pool
	// runIDs identifies the process runs whose events are in the windows.
	runIDs []string
}

// NewRecorder returns an empty recorder. runID identifies this run of the process;
// it is empty for a recorder that only merges snapshots.
func NewRecorder(runID string) *Recorder {
	r := &Recorder{seed: maphash.MakeSeed(), pools: map[fleet.PoolID]*pool{}}
	if runID != "" {
		r.runIDs = []string{runID}
	}
	for i := range r.shards {
		r.shards[i].index = map[fleet.ClientAccountID]uint32{}
	}
	return r
}

// Record counts one event.
func (r *Recorder) Record(now time.Time, e *Event) {
	c := e.counts()
	causes := e.causes(c)
	r.pool(e.Pool).record(now, e, c, causes)
	s := r.shardOf(e.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	i := s.indexOf(e.Account)
	for w := range s.windows {
		s.windows[w].current[i].add(c)
	}
	for _, cause := range causes {
		s.addCause(0, i, cause, 1)
	}
}

func (r *Recorder) pool(id fleet.PoolID) *pool {
	r.mu.RLock()
	p := r.pools[id]
	r.mu.RUnlock()
	if p != nil {
		return p
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p = r.pools[id]; p == nil {
		p = &pool{}
		r.pools[id] = p
	}
	return p
}

func (r *Recorder) shardOf(id fleet.ClientAccountID) *shard {
	return &r.shards[maphash.String(r.seed, string(id))%accountShards]
}

// RunIDs returns the IDs of the process runs whose events are in the windows.
func (r *Recorder) RunIDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Clone(r.runIDs)
}

// counts32 takes half the memory of Counts and saturates. 32 bits suffice for the
// events of one account at one instance in six days, the two slots of the 3-day
// window.
type counts32 [NumCounts]uint32

func (c *counts32) add(o Counts) {
	for i := range c {
		c[i] = uint32(min(uint64(c[i])+o[i], 1<<32-1))
	}
}

func (c *counts32) toCounts() Counts {
	var out Counts
	for i := range c {
		out[i] = uint64(c[i])
	}
	return out
}

// accountCauses limits the causes per account and slot: most bad events of an
// account have one or two result codes in one or two data centres. When the list
// is full, its last entry becomes otherCause and collects further causes. Which
// causes a merged report names then depends on the merge order; the number of
// events does not.
const accountCauses = 8

// maxShardCauses limits the distinct causes of a shard.
const maxShardCauses = 4096

// accountCause counts the events of one cause in 8 bytes; id is an index of
// shard.causesByID.
type accountCause struct {
	id uint16
	n  uint32
}

// otherCause stands for all causes above a limit; it has index 0 in
// shard.causesByID.
var otherCause = Cause{Cause: "other"}

// shard holds a part of the accounts in column layout, so that a slot change only
// swaps slices.
type shard struct {
	mu      sync.Mutex
	index   map[fleet.ClientAccountID]uint32
	names   []fleet.ClientAccountID
	windows [NumWindows]struct {
		slotNumber        int64
		current, previous []counts32
	}
	// causes holds the current and the previous slot of the 3-day window, by account
	// index, only for accounts with bad events.
	causes     [2]map[uint32][]accountCause
	causeIDs   map[Cause]uint16
	causesByID []Cause
}

// indexOf returns the index of an account, which it adds if necessary.
func (s *shard) indexOf(id fleet.ClientAccountID) uint32 {
	i, ok := s.index[id]
	if ok {
		return i
	}
	if len(s.names) >= maxAccountsPerShard && id != OtherAccounts {
		return s.indexOf(OtherAccounts)
	}
	i = uint32(len(s.names))
	s.index[id] = i
	s.names = append(s.names, id)
	for w := range s.windows {
		s.windows[w].current = append(s.windows[w].current, counts32{})
		s.windows[w].previous = append(s.windows[w].previous, counts32{})
	}
	return i
}

func (s *shard) addCause(slot int, i uint32, c Cause, n uint64) {
	id := s.causeID(c)
	list := s.causes[slot][i]
	for k := range list {
		if list[k].id == id || k == accountCauses-1 {
			if list[k].id != id {
				list[k].id = 0
			}
			list[k].n = uint32(min(uint64(list[k].n)+n, 1<<32-1))
			return
		}
	}
	if s.causes[slot] == nil {
		s.causes[slot] = map[uint32][]accountCause{}
	}
	s.causes[slot][i] = append(list, accountCause{id, uint32(min(n, 1<<32-1))})
}

func (s *shard) causeID(c Cause) uint16 {
	if s.causeIDs == nil {
		s.causeIDs, s.causesByID = map[Cause]uint16{otherCause: 0}, []Cause{otherCause}
	}
	id, ok := s.causeIDs[c]
	if !ok && len(s.causesByID) < maxShardCauses {
		id = uint16(len(s.causesByID))
		s.causeIDs[c] = id
		s.causesByID = append(s.causesByID, c)
	}
	return id
}

// rotate starts a new slot in each window whose current slot has ended.
func (s *shard) rotate(now time.Time) {
	for w := range s.windows {
		win := &s.windows[w]
		n := slotNumber(w, now)
		if n <= win.slotNumber {
			continue
		}
		next := n == win.slotNumber+1
		win.slotNumber = n
		win.current, win.previous = win.previous, win.current
		clear(win.current)
		if !next {
			clear(win.previous)
		}
		if w == ThreeDays {
			s.causes[1], s.causes[0] = s.causes[0], nil
			if !next {
				s.causes[1] = nil
			}
			s.removeIdleAccounts()
		}
	}
}

// removeIdleAccounts removes accounts without events in the previous slot of the
// 3-day window, so that accounts deleted from the manifest do not use memory
// forever. It runs just after a new slot has started.
func (s *shard) removeIdleAccounts() {
	var zero counts32
	keep := 0
	moved := make(map[uint32][]accountCause, len(s.causes[1]))
	for i := range s.names {
		if s.windows[ThreeDays].previous[i] == zero {
			delete(s.index, s.names[i])
			continue
		}
		if list := s.causes[1][uint32(i)]; list != nil {
			moved[uint32(keep)] = list
		}
		s.names[keep], s.index[s.names[i]] = s.names[i], uint32(keep)
		for w := range s.windows {
			win := &s.windows[w]
			win.current[keep], win.previous[keep] = win.current[i], win.previous[i]
		}
		keep++
	}
	s.names, s.causes[1] = s.names[:keep], moved
	for w := range s.windows {
		win := &s.windows[w]
		win.current, win.previous = win.current[:keep], win.previous[:keep]
	}
}
