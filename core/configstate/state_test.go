package configstate

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/store"
)

const stepInterval = 50 * time.Millisecond

// maxPropagation is the time within which an accepted version must be in force.
const maxPropagation = 4 * time.Second

type testInstance struct {
	id           fleet.InstanceID
	s            *State
	up, isolated bool // cut: reaches no other instance
	noStore      bool
	pending      []pendingCall
}

// pendingCall is the end of a read or transfer.
type pendingCall struct {
	at time.Time
	fn func()
}

// testFleet is a fleet with a store: heartbeats reach one random instance a step,
// transfers and reads take up to 5 steps.
type testFleet struct {
	t               *rapid.T
	now             time.Time
	instances       []*testInstance
	head            uint64
	storeDown       bool
	storeOutdated   bool // the store returns an old head
	storeSlow       bool
	peerFetchesFail bool // transfers between instances fail
	draws           uint64
}

func (m *testFleet) random(n int) int {
	m.draws++
	return int(fleet.Mix(m.draws, 99) % uint64(n))
}

func (m *testFleet) start(in *testInstance) {
	in.s, in.up, in.pending = NewState(0, m.draws), true, nil
}

func (m *testFleet) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(stepInterval)
		for _, in := range m.instances {
			pending := in.pending
			in.pending = nil
			for _, d := range pending {
				if d.at.After(m.now) {
					in.pending = append(in.pending, d)
				} else {
					d.fn()
				}
			}
			if in.up {
				m.announce(in)
				m.act(in)
			}
		}
	}
}

// announce sends the version of a random other instance to in.
func (m *testFleet) announce(in *testInstance) {
	from := m.instances[m.random(len(m.instances))]
	if from != in && from.up && !from.isolated && !in.isolated {
		in.s.HandleAnnouncement(Peer{from.id, string(from.id)}, from.s.Version())
	}
}

func (m *testFleet) act(in *testInstance) {
	for _, a := range in.s.Next(m.now, len(m.instances)) {
		s := in.s
		later := func(fn func()) {
			in.pending = append(in.pending, pendingCall{m.now.Add(time.Duration(1+m.random(5)) * stepInterval), func() {
				if in.up && in.s == s {
					fn()
				}
			}})
		}
		switch a.Kind {
		case ActReadHead:
			later(func() {
				switch {
				case m.storeDown || m.storeSlow || in.noStore:
					s.HeadReadDone(m.now, Head{}, errors.New("timeout"))
				case m.storeOutdated:
					s.HeadReadDone(m.now, Head{Version: m.head / 2}, nil)
				default:
					s.HeadReadDone(m.now, Head{Version: m.head}, nil)
				}
			})
		case ActFetchStore:
			later(func() { m.advance(in, a.Head.Version, !m.storeDown && !m.storeSlow && !in.noStore) })
		case ActFetchPeer:
			later(func() {
				for _, from := range m.instances {
					if from.id == a.Peer.ID {
						m.advance(in, from.s.Version(), from.up && !from.isolated && !in.isolated && !m.peerFetchesFail)
					}
				}
			})
		}
	}
}

// advance ends a fetch and checks that the version never goes back.
func (m *testFleet) advance(in *testInstance, version uint64, ok bool) {
	before := in.s.Version()
	if ok {
		in.s.Advance(m.now, version)
	}
	in.s.FetchDone(m.now, ok)
	if after := in.s.Version(); after < before || after > m.head {
		m.t.Fatalf("%s went from version %d to %d, the store accepted %d", in.id, before, after, m.head)
	}
}

// Guards against a version that goes back, that was never accepted, or that is
// not in force within 4 s on an instance that reaches the store or a peer.
func TestSpreadRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &testFleet{t: t, now: time.Unix(1_790_000_000, 0), draws: rapid.Uint64Max(1<<40).Draw(t, "seed")}
		for i := range rapid.IntRange(1, 6).Draw(t, "instances") {
			in := &testInstance{id: fleet.InstanceID(fmt.Sprintf("r%d", i))}
			m.instances = append(m.instances, in)
			m.start(in)
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			for range rapid.IntRange(1, 2).Draw(t, "faults") {
				m.inject()
			}
			m.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "run")) * stepInterval)
			if rapid.Bool().Draw(t, "accept") {
				m.acceptAndCheck()
			}
		}
	})
}

func (m *testFleet) inject() {
	in := m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "instance")]
	on := rapid.Bool().Draw(m.t, "on")
	switch rapid.SampledFrom([]string{"down", "slow", "back", "deaf", "cut", "no store", "restart"}).Draw(m.t, "fault") {
	case "down":
		m.storeDown = on
	case "slow":
		m.storeSlow = on
	case "back":
		m.storeOutdated = on
	case "deaf":
		m.peerFetchesFail = on
	case "cut":
		in.isolated = on
	case "no store":
		in.noStore = on
	case "restart":
		in.up = on
		if on {
			m.start(in)
		}
	}
}

// acceptAndCheck accepts a version at an instance, which may need the store to
// be up for that moment only, and requires it within the bound on each
// connected instance.
func (m *testFleet) acceptAndCheck() {
	m.head++
	at := m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "accepted at")]
	heldByPeer := rapid.Bool().Draw(m.t, "survives") && at.up
	if heldByPeer {
		at.s.Advance(m.now, m.head)
	}
	if rapid.Bool().Draw(m.t, "second operator") {
		// Transfers of the first version are under way when the second is accepted.
		m.run(time.Duration(rapid.IntRange(1, 8).Draw(m.t, "apart")) * stepInterval)
		m.head++
		at = m.instances[rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "second at")]
		if heldByPeer = at.up; heldByPeer {
			at.s.Advance(m.now, m.head)
		}
	}
	storeUp := !m.storeDown && !m.storeSlow && !m.storeOutdated
	m.run(maxPropagation)
	for _, in := range m.instances {
		viaStore := storeUp && !in.noStore
		viaPeer := heldByPeer && !at.isolated && !in.isolated && !m.peerFetchesFail
		if in.up && (viaStore || viaPeer) && in.s.Version() < m.head {
			m.t.Fatalf("%s has version %d, %d was accepted %v ago (store %v, peer %v)", in.id, in.s.Version(), m.head, maxPropagation, viaStore, viaPeer)
		}
	}
}

// Guards against a new version that is delayed by the fetch backoff of an earlier one.
func TestNewerVersionEndsBackoff(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	s := NewState(0, 1)
	s.Next(now, 1)
	s.HeadReadDone(now, Head{}, nil)
	for range 10 {
		now = now.Add(time.Minute)
		s.HandleAnnouncement(Peer{"r1", "r1"}, 1)
		s.Next(now, 1)
		s.FetchDone(now, false)
	}
	s.HandleAnnouncement(Peer{"r1", "r1"}, 2)
	for _, a := range s.Next(now, 1) {
		if a.Kind == ActFetchPeer {
			return
		}
	}
	t.Fatal("version 2 is not fetched at once")
}

// Guards against new work without a configuration, in isolation, or with a configuration
// beyond its maximum age.
func TestCheck(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		version            uint64
		contact, confirmed time.Time
		maxAge             time.Duration
		want               BlockReason
	}{
		{0, now, now, 0, NoConfig},
		{1, ago(19 * time.Second), time.Time{}, 0, NotBlocked},
		{1, ago(21 * time.Second), now, 0, Isolated},
		{1, now, ago(time.Minute), time.Hour, NotBlocked},
		{1, now, ago(2 * time.Hour), time.Hour, ConfigTooOld},
		{1, now, time.Time{}, time.Hour, ConfigTooOld},
	} {
		if got := CheckNewWork(now, c.version, c.contact, c.confirmed, 20*time.Second, c.maxAge); got != c.want {
			t.Errorf("%+v: got %d", c, got)
		}
	}
}

// Guards against a poll rate that grows with the fleet.
func TestPollRate(t *testing.T) {
	for _, n := range []int{1, 9, 370, 4000} {
		if rate := float64(n) / PollInterval(n).Seconds(); rate > headReadsPerSecond {
			t.Errorf("%d instances read %v times a second", n, rate)
		}
	}
}

// faultyStore is a table and an object store with faults on writes of the head.
type faultyStore struct {
	row        store.Row
	accepted   map[uint64]string
	loseReply  bool // the next write takes effect, its reply is lost
	loseCall   bool // the next write has no effect
	afterWrite func()
	readFail   bool
}

var errLost = errors.New("lost")

func (r *faultyStore) Get(context.Context, string, string) (store.Row, error) {
	if r.readFail {
		return store.Row{}, errLost
	}
	if r.row.Version == 0 {
		return store.Row{}, store.ErrNotFound
	}
	return r.row, nil
}

func (r *faultyStore) Put(_ context.Context, row store.Row, expect uint64) error {
	lose, drop, afterWrite := r.loseReply, r.loseCall, r.afterWrite
	r.loseReply, r.loseCall, r.afterWrite = false, false, nil
	if drop {
		return errLost
	}
	if r.row.Version != expect {
		return store.ErrConditionFailed
	}
	r.row = row
	r.accepted[row.Version] = row.Writer
	if afterWrite != nil {
		afterWrite()
	}
	if lose {
		return errLost
	}
	return nil
}

func (r *faultyStore) Query(context.Context, string, string, int) ([]store.Row, error) {
	return nil, nil
}

func (r *faultyStore) Delete(context.Context, string, string) error { return nil }

func (r *faultyStore) GetObject(context.Context, string) ([]byte, error) {
	return nil, store.ErrNotFound
}
func (r *faultyStore) PutObject(context.Context, string, []byte) error { return nil }

// Guards against an instance that counts as isolated right after the store accepted its
// version, because its own first read of the head has not completed yet.
func TestWrittenHeadIsContact(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	s := NewState(0, 1)
	s.Next(now, 1)
	s.HeadWritten(now, Head{Version: 1})
	if !s.Advance(now, 1) {
		t.Fatal("the version was not applied")
	}
	if got := CheckNewWork(now, s.Version(), s.StoreAnsweredAt(), s.ConfirmedAt(), 20*time.Second, time.Minute); got != NotBlocked {
		t.Errorf("after the store took the version: blocked by %v", got)
	}
}
