package configstate

import (
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// headReadsPerSecond is the rate of the whole fleet; a fixed rate per instance would
	// exceed the capacity of the table service in a large fleet.
	headReadsPerSecond = 20
	minPollInterval    = 500 * time.Millisecond
	// maxReadBackoff bounds the delay between reads of a failing store. With jitter it
	// stays below the 4 s within which a recovered store must be noticed. PollInterval
	// limits the rate of the fleet in any case.
	maxReadBackoff = 2 * time.Second
	// minFetchBackoff is the delay after the first failed fetch; it doubles up to
	// maxFetchBackoff, since each attempt to decode an invalid body costs 0.1 s of
	// CPU time. A newer version resets the backoff.
	minFetchBackoff = 100 * time.Millisecond
	maxFetchBackoff = 8 * time.Second
	// forcedPollInterval is the minimum time between head reads that failed fetches
	// trigger.
	forcedPollInterval = 5 * time.Second
	// maxAnnouncements limits the remembered announcements.
	maxAnnouncements = 8
)

// Peer is an instance that announced a version.
type Peer struct {
	ID      fleet.InstanceID
	Address string
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Actions.
const (
	// ActReadHead reads the row config/head; its end is reported with HeadReadDone.
	ActReadHead ActionKind = 1 + iota
	// ActFetchPeer fetches the version in force at Peer; FetchDone reports the end.
	ActFetchPeer
	// ActFetchStore loads the body of Head from the object store; FetchDone reports the end.
	ActFetchStore
)

// Action is an operation that the caller must perform.
type Action struct {
	Kind ActionKind
	Peer Peer
	Head Head
}

type announcement struct {
	peer    Peer
	version uint64
}

// State is the version state machine of one instance. It is not safe for
// concurrent use.
type State struct {
	rng *rand.Rand
	// maxAge is the setting max_config_age. Polls are scheduled well below it; 0 disables it.
	maxAge time.Duration

	version         uint64
	head            Head
	confirmedAt     time.Time // when the store last stated the version in force here
	storeAnsweredAt time.Time // when the store last answered

	announcements  []announcement
	reading        bool
	fetching       bool
	fetchFrom      Peer
	preferStore    bool // the last fetch from a peer failed
	lastReadAt     time.Time
	jitter         float64
	readFailures   int
	forcedPoll     bool
	newestVersion  uint64    // highest version known to exist
	fetchFailures  int       // consecutive failed fetches
	fetchNotBefore time.Time // of the next fetch
}

// NewState returns the state of an instance without a configuration.
func NewState(maxAge time.Duration, seed uint64) *State {
	s := &State{rng: rand.New(rand.NewPCG(seed, 2)), maxAge: maxAge}
	s.jitter = s.drawJitter()
	return s
}

func (s *State) drawJitter() float64 { return 0.5 + s.rng.Float64() }

// Version returns the version in force, or 0.
func (s *State) Version() uint64 { return s.version }

// ConfirmedAt returns when the store last stated the version in force, or zero.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// StoreAnsweredAt returns when the store last answered, or zero.
func (s *State) StoreAnsweredAt() time.Time { return s.storeAnsweredAt }

// HandleAnnouncement records the version that another instance has in force.
func (s *State) HandleAnnouncement(p Peer, version uint64) {
	if version <= s.version || p.Address == "" {
		return
	}
	s.noteVersion(version)
	for i := range s.announcements {
		if s.announcements[i].peer.ID == p.ID {
			s.announcements[i] = announcement{p, max(version, s.announcements[i].version)}
			return
		}
	}
	if len(s.announcements) == maxAnnouncements {
		s.announcements = append(s.announcements[:0], s.announcements[1:]...)
	}
	s.announcements = append(s.announcements, announcement{p, version})
}

// noteVersion resets the fetch backoff when a newer version becomes known.
func (s *State) noteVersion(version uint64) {
	if version > s.newestVersion {
		s.newestVersion, s.fetchFailures, s.fetchNotBefore = version, 0, time.Time{}
	}
}

// PollInterval returns the mean time between two head reads of one instance.
func PollInterval(instances int) time.Duration {
	return max(minPollInterval, time.Duration(instances)*time.Second/headReadsPerSecond)
}

// NextRead returns when the next head read is due. The interval depends on the number of
// live instances, so that an instance that loses its peers soon polls the store.
func (s *State) NextRead(instances int) time.Time {
	if s.lastReadAt.IsZero() {
		return s.lastReadAt
	}
	interval := PollInterval(instances)
	if s.maxAge > 0 {
		interval = max(minPollInterval, min(interval, s.maxAge/3))
	}
	if s.readFailures > 0 {
		interval = max(interval, min(maxReadBackoff, minPollInterval<<min(s.readFailures, 10)))
	}
	if s.forcedPoll {
		interval = min(interval, forcedPollInterval)
	}
	return s.lastReadAt.Add(time.Duration(s.jitter * float64(interval)))
}

// Next returns the actions that are due. At most one read and one fetch are in progress
// at any time.
func (s *State) Next(now time.Time, instances int) []Action {
	var acts []Action
	if !s.reading && !now.Before(s.NextRead(instances)) {
		s.reading, s.lastReadAt, s.forcedPoll = true, now, false
		s.jitter = s.drawJitter()
		acts = append(acts, Action{Kind: ActReadHead})
	}
	if a, ok := s.nextFetch(now); ok {
		s.fetching = true
		acts = append(acts, a)
	}
	return acts
}

// nextFetch prefers the announcer of the highest version, since peers can send patches
// instead of whole bodies. The store, which the whole fleet shares, is the fallback.
func (s *State) nextFetch(now time.Time) (Action, bool) {
	if s.fetching || now.Before(s.fetchNotBefore) {
		return Action{}, false
	}
	best := -1
	for i, o := range s.announcements {
		if o.version > s.version && (best < 0 || o.version >= s.announcements[best].version) {
			best = i
		}
	}
	storeHasNewer := s.head.Version > s.version
	if best >= 0 && !(storeHasNewer && s.preferStore) {
		s.fetchFrom = s.announcements[best].peer
		return Action{Kind: ActFetchPeer, Peer: s.fetchFrom}, true
	}
	if storeHasNewer {
		s.fetchFrom, s.preferStore = Peer{}, false
		return Action{Kind: ActFetchStore, Head: s.head}, true
	}
	return Action{}, false
}

// HeadWritten reports that the store accepted a head written by this instance. It counts
// as an answer of the store, and the version is its newest one.
func (s *State) HeadWritten(now time.Time, h Head) {
	s.storeAnsweredAt = now
	if h.Version > s.head.Version {
		s.head = h
	}
}

// HeadReadDone reports the end of ActReadHead.
func (s *State) HeadReadDone(now time.Time, h Head, err error) {
	s.reading = false
	if err != nil {
		s.readFailures++
		return
	}
	s.readFailures = 0
	s.storeAnsweredAt = now
	// A head below the version in force comes from a store that was rolled back. It
	// confirms nothing and is never applied.
	if h.Version < s.version {
		return
	}
	s.noteVersion(h.Version)
	if s.preferStore && h.Version > s.head.Version {
		s.fetchNotBefore = now // the store has not been tried for this version yet
	}
	s.head = h
	if h.Version == s.version && s.version > 0 {
		s.confirmedAt = now
	}
}

// FetchDone reports the end of a fetch. After a failed fetch from a peer, its announcement is
// dropped and the store is preferred and polled soon.
func (s *State) FetchDone(now time.Time, ok bool) {
	s.fetching = false
	if ok {
		s.fetchFailures = 0
		return
	}
	s.fetchNotBefore = now.Add(time.Duration(s.drawJitter() * float64(min(maxFetchBackoff, minFetchBackoff<<min(s.fetchFailures, 10)))))
	s.fetchFailures++
	if s.fetchFrom.ID == "" {
		// A newer head may have replaced this one, and with it the body.
		s.head = Head{}
		s.forcedPoll = true
		return
	}
	for i, o := range s.announcements {
		if o.peer.ID == s.fetchFrom.ID {
			s.announcements = append(s.announcements[:i], s.announcements[i+1:]...)
			break
		}
	}
	s.forcedPoll, s.preferStore = true, true
}

// Advance makes a version the one in force and reports whether it is higher
// than the one before. A lower or equal version is never applied.
func (s *State) Advance(now time.Time, version uint64) bool {
	if version <= s.version {
		return false
	}
	s.version = version
	kept := s.announcements[:0]
	for _, o := range s.announcements {
		if o.version > version {
			kept = append(kept, o)
		}
	}
	s.announcements = kept
	if s.head.Version == version {
		s.confirmedAt = s.storeAnsweredAt
	}
	return true
}

// BlockReason is the reason why an instance accepts no new work.
type BlockReason uint8

// Reasons.
const (
	NotBlocked BlockReason = iota
	NoConfig
	Isolated
	ConfigTooOld
)

// CheckNewWork decides whether new work may start. lastContact is when the store or a
// peer last answered, and confirmed when the store last stated the version.
func CheckNewWork(now time.Time, version uint64, lastContact, confirmed time.Time, isolation, maxAge time.Duration) BlockReason {
	switch {
	case version == 0:
		return NoConfig
	case now.Sub(lastContact) > isolation:
		return Isolated
	case maxAge > 0 && now.Sub(confirmed) > maxAge:
		return ConfigTooOld
	}
	return NotBlocked
}
