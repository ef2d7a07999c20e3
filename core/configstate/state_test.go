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

const modelStep = 50 * time.Millisecond

// spreadBound is the time in which an accepted version must be in force.
const spreadBound = 4 * time.Second

type testInstance struct {
	id      fleet.InstanceID
	s       *State
	up, cut bool // cut: reaches no other instance
	noStore bool
	due     []delayed
}

// delayed is the end of a read or transfer.
type delayed struct {
	at time.Time
	fn func()
}

// model is a fleet with a store: heartbeats reach one random instance a step,
// transfers and reads take up to 5 steps.
type model struct {
	t     *rapid.T
	now   time.Time
	all   []*testInstance
	head  uint64
	down  bool
	back  bool // the store answers with an old head
	slow  bool
	deaf  bool // transfers between instances fail
	draws uint64
}

func (m *model) random(n int) int {
	m.draws++
	return int(fleet.Mix(m.draws, 99) % uint64(n))
}

func (m *model) start(in *testInstance) {
	in.s, in.up, in.due = NewState(0, m.draws), true, nil
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelStep)
		for _, in := range m.all {
			due := in.due
			in.due = nil
			for _, d := range due {
				if d.at.After(m.now) {
					in.due = append(in.due, d)
				} else {
					d.fn()
				}
			}
			if in.up {
				m.beat(in)
				m.act(in)
			}
		}
	}
}

// beat sends the version of a random other instance to in.
func (m *model) beat(in *testInstance) {
	from := m.all[m.random(len(m.all))]
	if from != in && from.up && !from.cut && !in.cut {
		in.s.HandleAnnouncement(Peer{from.id, string(from.id)}, from.s.Version())
	}
}

func (m *model) act(in *testInstance) {
	for _, a := range in.s.Next(m.now, len(m.all)) {
		s := in.s
		later := func(fn func()) {
			in.due = append(in.due, delayed{m.now.Add(time.Duration(1+m.random(5)) * modelStep), func() {
				if in.up && in.s == s {
					fn()
				}
			}})
		}
		switch a.Kind {
		case ActReadHead:
			later(func() {
				switch {
				case m.down || m.slow || in.noStore:
					s.HeadReadDone(m.now, Head{}, errors.New("timeout"))
				case m.back:
					s.HeadReadDone(m.now, Head{Version: m.head / 2}, nil)
				default:
					s.HeadReadDone(m.now, Head{Version: m.head}, nil)
				}
			})
		case ActFetchStore:
			later(func() { m.advance(in, a.Head.Version, !m.down && !m.slow && !in.noStore) })
		case ActFetchPeer:
			later(func() {
				for _, from := range m.all {
					if from.id == a.Peer.ID {
						m.advance(in, from.s.Version(), from.up && !from.cut && !in.cut && !m.deaf)
					}
				}
			})
		}
	}
}

// advance ends a fetch and checks that the version never goes back.
func (m *model) advance(in *testInstance, version uint64, ok bool) {
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
		m := &model{t: t, now: time.Unix(1_790_000_000, 0), draws: rapid.Uint64Max(1<<40).Draw(t, "seed")}
		for i := range rapid.IntRange(1, 6).Draw(t, "instances") {
			in := &testInstance{id: fleet.InstanceID(fmt.Sprintf("r%d", i))}
			m.all = append(m.all, in)
			m.start(in)
		}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			for range rapid.IntRange(1, 2).Draw(t, "faults") {
				m.inject()
			}
			m.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "run")) * modelStep)
			if rapid.Bool().Draw(t, "accept") {
				m.acceptAndCheck()
			}
		}
	})
}

func (m *model) inject() {
	in := m.all[rapid.IntRange(0, len(m.all)-1).Draw(m.t, "instance")]
	on := rapid.Bool().Draw(m.t, "on")
	switch rapid.SampledFrom([]string{"down", "slow", "back", "deaf", "cut", "no store", "restart"}).Draw(m.t, "fault") {
	case "down":
		m.down = on
	case "slow":
		m.slow = on
	case "back":
		m.back = on
	case "deaf":
		m.deaf = on
	case "cut":
		in.cut = on
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
func (m *model) acceptAndCheck() {
	m.head++
	at := m.all[rapid.IntRange(0, len(m.all)-1).Draw(m.t, "accepted at")]
	holder := rapid.Bool().Draw(m.t, "survives") && at.up
	if holder {
		at.s.Advance(m.now, m.head)
	}
	if rapid.Bool().Draw(m.t, "second operator") {
		// Transfers of the first version are under way when the second is accepted.
		m.run(time.Duration(rapid.IntRange(1, 8).Draw(m.t, "apart")) * modelStep)
		m.head++
		at = m.all[rapid.IntRange(0, len(m.all)-1).Draw(m.t, "second at")]
		if holder = at.up; holder {
			at.s.Advance(m.now, m.head)
		}
	}
	storeUp := !m.down && !m.slow && !m.back
	m.run(spreadBound)
	for _, in := range m.all {
		viaStore := storeUp && !in.noStore
		viaPeer := holder && !at.cut && !in.cut && !m.deaf
		if in.up && (viaStore || viaPeer) && in.s.Version() < m.head {
			m.t.Fatalf("%s has version %d, %d was accepted %v ago (store %v, peer %v)", in.id, in.s.Version(), m.head, spreadBound, viaStore, viaPeer)
		}
	}
}

// Guards against a version that waits for the backoff of an earlier one.
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

// Guards against new work without a version, in isolation, or past the age.
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

// racyStore is a table and an object store with faults on writes of the head.
type racyStore struct {
	row      store.Row
	accepted map[uint64]string
	loseAck  bool // the next write takes effect, its reply is lost
	loseCall bool // the next write has no effect
	after    func()
	readFail bool
}

var errLost = errors.New("lost")

func (r *racyStore) Get(context.Context, string, string) (store.Row, error) {
	if r.readFail {
		return store.Row{}, errLost
	}
	if r.row.Version == 0 {
		return store.Row{}, store.ErrNotFound
	}
	return r.row, nil
}

func (r *racyStore) Put(_ context.Context, row store.Row, expect uint64) error {
	lose, drop, after := r.loseAck, r.loseCall, r.after
	r.loseAck, r.loseCall, r.after = false, false, nil
	if drop {
		return errLost
	}
	if r.row.Version != expect {
		return store.ErrConditionFailed
	}
	r.row = row
	r.accepted[row.Version] = row.Writer
	if after != nil {
		after()
	}
	if lose {
		return errLost
	}
	return nil
}

func (r *racyStore) Query(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }
func (r *racyStore) Delete(context.Context, string, string) error                    { return nil }
func (r *racyStore) GetObject(context.Context, string) ([]byte, error) {
	return nil, store.ErrNotFound
}
func (r *racyStore) PutObject(context.Context, string, []byte) error { return nil }

// Guards against an instance that counts as isolated right after the store took a version
// from it, because its own first read of the head has not ended yet.
func TestWrittenHeadIsContact(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	s := NewState(0, 1)
	s.Next(now, 1)
	s.HeadWritten(now, Head{Version: 1})
	if !s.Advance(now, 1) {
		t.Fatal("the version is not taken")
	}
	if got := CheckNewWork(now, s.Version(), s.StoreAnsweredAt(), s.ConfirmedAt(), 20*time.Second, time.Minute); got != NotBlocked {
		t.Errorf("after the store took the version: blocked by %v", got)
	}
}
