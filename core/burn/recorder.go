package burn

import (
	"hash/maphash"
	"slices"
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// accountShards is a power of two; each shard has one lock.
const accountShards = 16

// maxAccountsPerShard bounds the memory of accounts; the manifest of the target
// size has 18,000 accounts, 1,125 in a shard. Further ones are counted together.
const maxAccountsPerShard = 4096

// OtherAccounts is the name under which further accounts are counted.
const OtherAccounts = "(other)"

// maxRunIDs bounds the list of lives; 3 days of planned stops are far below it.
const maxRunIDs = 4096

// Recorder holds the windows of one instance.
type Recorder struct {
	seed   maphash.Seed
	shards [accountShards]shard

	mu    sync.RWMutex // guards pools and lives
	pools map[fleet.PoolID]*pool
	// runIDs are the process lives whose events are in the windows.
	runIDs []string
}

// NewRecorder returns an empty recorder. life names this process life; it is
// empty for a recorder that only merges.
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

// RunIDs returns the process lives whose events are in the windows.
func (r *Recorder) RunIDs() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Clone(r.runIDs)
}

// counts32 takes half the memory of Counts; one instance cannot see more events
// of one account in six days.
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

// accountCauses is how many causes are kept for an account and slot: most
// losses of an account have one or two codes in one or two data centres. The
// last one collects further ones; from there on, which causes a merged report
// names depends on the order, but not how many events it has.
const accountCauses = 8

// maxShardCauses bounds the table of causes of a shard.
const maxShardCauses = 4096

// accountCause takes 8 bytes; id is an index of the shard's table of causes.
type accountCause struct {
	id uint16
	n  uint32
}

// otherCause is the first entry of the table.
var otherCause = Cause{Cause: "other"}

// shard holds some of the accounts as columns, so that a slot change is a swap.
type shard struct {
	mu      sync.Mutex
	index   map[fleet.ClientAccountID]uint32
	names   []fleet.ClientAccountID
	windows [NumWindows]struct {
		number            int64
		current, previous []counts32
	}
	// causes are kept for the longest window, and only for accounts that lost
	// budget: the current and the previous slot.
	causes     [2]map[uint32][]accountCause
	causeIDs   map[Cause]uint16
	causesByID []Cause
}

// indexOf returns the position of an account and adds it when it is new.
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

// rotate starts new slots where now is past the current ones.
func (s *shard) rotate(now time.Time) {
	for w := range s.windows {
		win := &s.windows[w]
		n := slotNumber(w, now)
		if n <= win.number {
			continue
		}
		next := n == win.number+1
		win.number = n
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

// removeIdleAccounts removes accounts without an event in the last two slots of the
// longest window, so that accounts deleted from the manifest do not stay.
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
