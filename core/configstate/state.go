package configstate

import (
	"math/rand/v2"
	"time"

	"cyclamenhitch/core/fleet"
)

const (
	// headReadsPerSecond is the rate of the whole fleet; a rate for each
	// instance would grow with the fleet past what the table service serves.
	headReadsPerSecond = 20
	minPoll            = 500 * time.Millisecond
	// maxBackoff bounds the delay between reads of a failing store. With jitter
	// it stays under the 4 s in which a returned store must be heard; the rate
	// of the fleet is bounded by PollInterval in any case.
	maxBackoff = 2 * time.Second
	// fetchRetry is the delay after the first failed fetch; it doubles up to
	// maxFetchRetry, since a body that cannot be decoded costs 0.1 s of processor
	// time with each try. A newer version starts again from 0.
	fetchRetry    = 100 * time.Millisecond
	maxFetchRetry = 8 * time.Second
	// forcedPoll is the least time between reads that failed fetches cause.
	forcedPoll = 5 * time.Second
	// maxOffers is how many announcers are remembered.
	maxOffers = 8
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
	// ActReadHead reads the row config/head; its end is reported with HeadRead.
	ActReadHead ActionKind = 1 + iota
	// ActFetchPeer fetches the version in force at Peer; Fetched reports the end.
	ActFetchPeer
	// ActFetchStore loads the body of Head from the object store; Fetched reports the end.
	ActFetchStore
)

// Action is what the owner must do next.
type Action struct {
	Kind ActionKind
	Peer Peer
	Head Head
}

type offer struct {
	peer    Peer
	version uint64
}

// State is the version state machine of one instance. It is not safe for
// concurrent use.
type State struct {
	rng *rand.Rand
	// MaxAge is the setting max_config_age; polls stay well below it. 0 is off.
	maxAge time.Duration

	version   uint64
	head      Head
	confirmed time.Time // the store stated a version that is in force here
	answered  time.Time // the store answered at all

	offers    []offer
	reading   bool
	fetching  bool
	fetchFrom Peer
	askStore  bool // the last fetch from a peer failed
	readAt    time.Time
	jitter    float64
	failures  int
	forced    bool
	newest    uint64    // highest version heard of
	misses    int       // failed fetches in a row
	notBefore time.Time // of the next fetch
}

// NewState returns the state of an instance without a configuration.
func NewState(maxAge time.Duration, seed uint64) *State {
	s := &State{rng: rand.New(rand.NewPCG(seed, 2)), maxAge: maxAge}
	s.jitter = s.drawJitter()
	return s
}

func (s *State) drawJitter() float64 { return 0.5 + s.rng.Float64() }

// Version is the version in force, or 0.
func (s *State) Version() uint64 { return s.version }

// ConfirmedAt is when the store last stated the version in force, or zero.
func (s *State) ConfirmedAt() time.Time { return s.confirmed }

// StoreAnsweredAt is when the store last answered, or zero.
func (s *State) StoreAnsweredAt() time.Time { return s.answered }

// HandleAnnouncement takes the version that another instance states to be in force there.
func (s *State) HandleAnnouncement(p Peer, version uint64) {
	if version <= s.version || p.Address == "" {
		return
	}
	s.news(version)
	for i := range s.offers {
		if s.offers[i].peer.ID == p.ID {
			s.offers[i] = offer{p, max(version, s.offers[i].version)}
			return
		}
	}
	if len(s.offers) == maxOffers {
		s.offers = append(s.offers[:0], s.offers[1:]...)
	}
	s.offers = append(s.offers, offer{p, version})
}

// news ends the backoff of failed fetches when a version is heard of first.
func (s *State) news(version uint64) {
	if version > s.newest {
		s.newest, s.misses, s.notBefore = version, 0, time.Time{}
	}
}

// PollInterval is the mean time between two head reads of one instance.
func PollInterval(instances int) time.Duration {
	return max(minPoll, time.Duration(instances)*time.Second/headReadsPerSecond)
}

// NextRead is when the head is due. It follows the number of live instances, so
// that an instance that loses its peers asks the store soon.
func (s *State) NextRead(instances int) time.Time {
	if s.readAt.IsZero() {
		return s.readAt
	}
	interval := PollInterval(instances)
	if s.maxAge > 0 {
		interval = max(minPoll, min(interval, s.maxAge/3))
	}
	if s.failures > 0 {
		interval = max(interval, min(maxBackoff, minPoll<<min(s.failures, 10)))
	}
	if s.forced {
		interval = min(interval, forcedPoll)
	}
	return s.readAt.Add(time.Duration(s.jitter * float64(interval)))
}

// Next returns the actions that are due. At most one read and one fetch are
// under way at any time.
func (s *State) Next(now time.Time, instances int) []Action {
	var acts []Action
	if !s.reading && !now.Before(s.NextRead(instances)) {
		s.reading, s.readAt, s.forced = true, now, false
		s.jitter = s.drawJitter()
		acts = append(acts, Action{Kind: ActReadHead})
	}
	if a, ok := s.nextFetch(now); ok {
		s.fetching = true
		acts = append(acts, a)
	}
	return acts
}

// nextFetch prefers the announcer of the highest version; the store is the
// fallback, since it is shared by the fleet and the peers hold differences.
func (s *State) nextFetch(now time.Time) (Action, bool) {
	if s.fetching || now.Before(s.notBefore) {
		return Action{}, false
	}
	best := -1
	for i, o := range s.offers {
		if o.version > s.version && (best < 0 || o.version >= s.offers[best].version) {
			best = i
		}
	}
	stored := s.head.Version > s.version
	if best >= 0 && !(stored && s.askStore) {
		s.fetchFrom = s.offers[best].peer
		return Action{Kind: ActFetchPeer, Peer: s.fetchFrom}, true
	}
	if stored {
		s.fetchFrom, s.askStore = Peer{}, false
		return Action{Kind: ActFetchStore, Head: s.head}, true
	}
	return Action{}, false
}

// HeadWritten notes that the store took a head that this instance wrote: the store has
// answered, and the version is its newest one.
func (s *State) HeadWritten(now time.Time, h Head) {
	s.answered = now
	if h.Version > s.head.Version {
		s.head = h
	}
}

// HeadReadDone reports the end of ActReadHead.
func (s *State) HeadReadDone(now time.Time, h Head, err error) {
	s.reading = false
	if err != nil {
		s.failures++
		return
	}
	s.failures = 0
	s.answered = now
	// A head below the version in force comes from a store that was set back;
	// it confirms nothing and is never applied.
	if h.Version < s.version {
		return
	}
	s.news(h.Version)
	if s.askStore && h.Version > s.head.Version {
		s.notBefore = now // the store is a source that was not tried yet
	}
	s.head = h
	if h.Version == s.version && s.version > 0 {
		s.confirmed = now
	}
}

// FetchDone reports the end of a fetch. After a failure the announcer is dropped
// until it announces again, and the store is asked soon.
func (s *State) FetchDone(now time.Time, ok bool) {
	s.fetching = false
	if ok {
		s.misses = 0
		return
	}
	s.notBefore = now.Add(time.Duration(s.drawJitter() * float64(min(maxFetchRetry, fetchRetry<<min(s.misses, 10)))))
	s.misses++
	if s.fetchFrom.ID == "" {
		// The head may have moved on, and its body with it.
		s.head = Head{}
		s.forced = true
		return
	}
	for i, o := range s.offers {
		if o.peer.ID == s.fetchFrom.ID {
			s.offers = append(s.offers[:i], s.offers[i+1:]...)
			break
		}
	}
	s.forced, s.askStore = true, true
}

// Advance makes a version the one in force and reports whether it is higher
// than the one before. A lower or equal version is never applied.
func (s *State) Advance(now time.Time, version uint64) bool {
	if version <= s.version {
		return false
	}
	s.version = version
	kept := s.offers[:0]
	for _, o := range s.offers {
		if o.version > version {
			kept = append(kept, o)
		}
	}
	s.offers = kept
	if s.head.Version == version {
		s.confirmed = s.answered
	}
	return true
}

// BlockReason says why an instance takes no new work.
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
