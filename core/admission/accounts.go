package admission

import (
	"sync"
	"time"

	"cyclamenhitch/core/fleet"
)

// SliceLifetime is how long a holder may use a granted slice without renewal.
const SliceLifetime = 2 * time.Second

// ownerWait is how long a new owner waits: until all instances see it as owner,
// and then for two renewals, of which one may be lost.
const ownerWait = HandoverWait + 2*SyncInterval

// sliceHeadroom is how many requests beyond the running ones a holder asks for, so
// that a steady account needs one call a second and not one for each request.
const sliceHeadroom = 1

// ownedSlice is what one holder may use. A smaller slice counts only from a call
// after the larger one has ended: the reply that made it smaller may be lost, and
// the holder may have filled the larger one meanwhile.
type ownedSlice struct {
	granted int
	given   time.Time // when the holder was last given granted
	heard   time.Time
}

type ownedAccount struct {
	from   time.Time // first grant of new slices
	slices map[fleet.InstanceID]ownedSlice
}

// AccountOwner grants slices of the concurrency limits of the accounts that
// this instance owns.
type AccountOwner struct {
	self fleet.InstanceID

	mu       sync.Mutex
	accounts map[fleet.ClientAccountID]*ownedAccount
}

// NewAccountOwner returns an owner without accounts.
func NewAccountOwner(self fleet.InstanceID) *AccountOwner {
	return &AccountOwner{self: self, accounts: map[fleet.ClientAccountID]*ownedAccount{}}
}

// SetTable takes the accounts with a limit that this instance owns. A new owner
// waits for ownerWait before it grants, because holders may still use slices
// of the earlier owner; immediate skips the wait.
func (o *AccountOwner) SetTable(now time.Time, t *Table, immediate bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := range t.Index.Manifest.Accounts {
		a := &t.Index.Manifest.Accounts[i]
		m := t.owner("account:" + string(a.Name))
		if a.MaxConcurrent == 0 || m == nil || m.ID != o.self {
			delete(o.accounts, a.Name)
			continue
		}
		if o.accounts[a.Name] == nil {
			from := now.Add(ownerWait)
			if immediate {
				from = now
			}
			o.accounts[a.Name] = &ownedAccount{from: from, slices: map[fleet.InstanceID]ownedSlice{}}
		}
	}
	// A slice counts until its holder reports again, because requests outlive
	// the slice. Only the slice of a dead instance is freed.
	for _, acc := range o.accounts {
		for id, s := range acc.slices {
			if t.View.Find(id) == nil && now.Sub(s.heard) > HolderTimeout {
				delete(acc.slices, id)
			}
		}
	}
}

// Grant gives the holder a slice of the limit. running is what it runs now,
// want what it would like; the answer is never less than running, which cannot
// be taken back. The second result is false when this instance is not the owner.
func (o *AccountOwner) Grant(now time.Time, account fleet.ClientAccountID, limit int, holder fleet.InstanceID, running, want int) (int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	acc := o.accounts[account]
	if acc == nil {
		return 0, false
	}
	others := 0
	for id, s := range acc.slices {
		if id != holder {
			others += s.granted
		}
	}
	granted := running
	if !now.Before(acc.from) {
		granted = max(running, min(want, limit-others))
	}
	s := acc.slices[holder]
	if granted >= s.granted || now.Sub(s.given) >= SliceLifetime {
		s.granted, s.given = granted, now
	}
	s.heard = now
	if s.granted == 0 {
		delete(acc.slices, holder)
		return 0, true
	}
	acc.slices[holder] = s
	return granted, true
}

type slice struct {
	running, granted int
	until            time.Time
}

// Slices are the slices that this instance uses.
type Slices struct {
	mu       sync.Mutex
	accounts map[fleet.ClientAccountID]*slice
}

// NewSlices returns an empty set.
func NewSlices() *Slices { return &Slices{accounts: map[fleet.ClientAccountID]*slice{}} }

// Acquire starts a request if the slice has room. Otherwise it returns what to
// ask the owner for.
func (s *Slices) Acquire(now time.Time, account fleet.ClientAccountID) (ok bool, running, want int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil {
		a = &slice{}
		s.accounts[account] = a
	}
	if a.running < a.granted && now.Before(a.until) {
		a.running++
		return true, a.running, a.granted
	}
	return false, a.running, a.running + 1 + sliceHeadroom
}

// Granted takes the owner's answer to a call that was sent at sent. The slice's
// life starts there, so that it never outlives the owner's record.
func (s *Slices) Granted(sent time.Time, account fleet.ClientAccountID, granted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil {
		a.granted, a.until = granted, sent.Add(SliceLifetime)
	}
}

// Release ends a request.
func (s *Slices) Release(account fleet.ClientAccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[account]; a != nil && a.running > 0 {
		a.running--
	}
}

// SliceUse is what an instance uses of an account's limit.
type SliceUse struct {
	Account       fleet.ClientAccountID
	Running, Want int
}

// Renewals returns the accounts whose slices must be renewed, and forgets those
// that ended.
func (s *Slices) Renewals() []SliceUse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []SliceUse
	for id, a := range s.accounts {
		want := a.running
		if a.running > 0 {
			want += sliceHeadroom
		} else {
			a.granted = 0
			delete(s.accounts, id)
		}
		out = append(out, SliceUse{id, a.running, want})
	}
	return out
}
