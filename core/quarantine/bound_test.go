package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

const (
	// maxServersPerRequest and maxServersPerKind are the users' bounds of the servers that may
	// end under one request, and under requests with one part at fault.
	maxServersPerRequest = 3
	maxServersPerKind    = 5
	// boundTime is below firstTrialDelay, so that no trial ends a server.
	boundTime = 9 * time.Second
	// maxSendsPerAttempt is the number of servers that one attempt of a caller may end
	// (maxLostAttempts of core/gateway).
	maxSendsPerAttempt = 2
	// longestTravel is the time of the slowest report, from its evidence on.
	longestTravel = 500 * time.Millisecond
	crashTime     = 20 * time.Millisecond
	// repeatPause is the least time after which callers repeat a request.
	repeatPause = 500 * time.Millisecond
)

// boundPlay plays requests that end each server, among sound ones, at a fleet whose reports
// take 200 to 500 ms.
type boundPlay struct {
	instances int
	// kinds is the number of parts at fault. The requests of a kind are one that its caller
	// repeats, or new ones.
	kinds    int
	repeated bool
	// unrelated is the time between crashes that have other causes, restarts that between
	// restarts of instances, which forget all; 0 for none.
	unrelated, restarts time.Duration
}

type delivery struct {
	at, sent time.Time
	to       int
	// known is set if the sender knew that the receiver had started.
	known    bool
	evidence []Evidence
}

// sighting is a crash that an instance saw.
type sighting struct {
	at   time.Time
	seer int
}

// start is the news of a start on its way to a peer.
type start struct {
	at            time.Time
	peer, started int
}

type deadlyCaller struct {
	kind  int
	next  time.Time // of its next send
	at    int       // its instance, while sends > 0
	sends int
	parts []placement.Part
	id    uint64
}

type boundFleet struct {
	boundPlay
	rng     *rand.Rand
	now     time.Time
	live    []fleet.InstanceID
	at      []*Tracker
	nextOut []time.Time
	way     []delivery
	starts  []start
	// knows tells which peers know of the start of which instance. An instance without the
	// store has its configuration, and takes requests, only after a report of one that does.
	knows   [][]bool
	serving []bool
	crashes int
	ids     uint64
	// seen are the crashes by kind, with the instance that saw each, and lost counts those
	// that no other instance heard of before it restarted.
	seen [][]sighting
	lost []int
	// ended counts the servers that ended, by kind; refused the sound requests refused.
	ended   []int
	refused int
	sound   int
}

func (p boundPlay) run(seed uint64) *boundFleet {
	f := &boundFleet{boundPlay: p, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), ended: make([]int, p.kinds), lost: make([]int, p.kinds), seen: make([][]sighting, p.kinds)}
	for i := range p.instances {
		f.live = append(f.live, fleet.InstanceID(fmt.Sprint("i", i)))
	}
	for i := range p.instances {
		f.at = append(f.at, f.fresh(i))
		f.serving = append(f.serving, true)
		f.knows = append(f.knows, make([]bool, p.instances))
		for j := range p.instances {
			f.knows[i][j] = true
		}
		f.nextOut = append(f.nextOut, f.now.Add(time.Duration(f.rng.IntN(200))*time.Millisecond))
	}
	var callers []*deadlyCaller
	for k := range p.kinds {
		callers = append(callers, &deadlyCaller{kind: k, next: f.now.Add(time.Duration(1000+f.rng.IntN(300)) * time.Millisecond)})
	}
	const step = 10 * time.Millisecond
	for t := time.Duration(0); t < boundTime; t += step {
		f.now = f.now.Add(step)
		f.exchange()
		f.answerSound()
		if p.unrelated > 0 && t%p.unrelated == 0 {
			f.crashUnrelated()
		}
		if p.restarts > 0 && t > 0 && t%p.restarts == 0 {
			i := int(t/p.restarts) % p.instances
			f.restart(i)
			for _, c := range callers {
				if c.sends > 0 && c.at == i { // the caller's connection ends
					c.sends, c.next = 0, f.now.Add(repeatPause)
				}
			}
		}
		for _, c := range callers {
			if !f.now.Before(c.next) {
				f.send(c)
			}
		}
	}
	return f
}

func (f *boundFleet) fresh(i int) *Tracker {
	tr := New(f.live[i])
	tr.SetInstances(f.live)
	return tr
}

// restart starts an instance again. What was on its way to it is lost.
func (f *boundFleet) restart(i int) {
	for kind, list := range f.seen {
		for _, s := range list {
			if s.seer == i && f.now.Sub(s.at) < longestTravel {
				f.lost[kind]++
			}
		}
	}
	f.at[i], f.serving[i] = f.fresh(i), false
	f.way = slices.DeleteFunc(f.way, func(d delivery) bool { return d.to == i })
	for peer := range f.at {
		f.knows[peer][i] = peer == i
		if peer != i {
			f.starts = append(f.starts, start{f.now.Add(f.travel()), peer, i})
		}
	}
}

// travel returns the time of a report on its way.
func (f *boundFleet) travel() time.Duration { return time.Duration(f.rng.IntN(300)) * time.Millisecond }

// exchange sends the reports that are due and delivers those that have arrived.
func (f *boundFleet) exchange() {
	f.starts = slices.DeleteFunc(f.starts, func(s start) bool {
		if f.now.Before(s.at) {
			return false
		}
		f.knows[s.peer][s.started] = true
		f.at[s.peer].ReportAgain(f.now)
		return true
	})
	for i, tr := range f.at {
		if f.now.Before(f.nextOut[i]) {
			continue
		}
		f.nextOut[i] = f.now.Add(200 * time.Millisecond)
		report := tr.Report(f.now)
		for to := range f.at {
			if to != i && (len(report) > 0 || !f.serving[to]) {
				f.way = append(f.way, delivery{f.now.Add(f.travel()), f.now, to, f.knows[i][to], report})
			}
		}
	}
	rest := f.way[:0]
	for _, d := range f.way {
		if f.now.Before(d.at) {
			rest = append(rest, d)
			continue
		}
		f.at[d.to].Merge(f.now, aged(d.evidence, f.now.Sub(d.sent)))
		f.serving[d.to] = f.serving[d.to] || d.known
	}
	f.way = rest
}

// aged returns the evidence after a time on the way.
func aged(list []Evidence, by time.Duration) []Evidence {
	out := make([]Evidence, len(list))
	for i, e := range list {
		e.ClearedAge += by
		e.Strikes = append([]Strike(nil), e.Strikes...)
		for j := range e.Strikes {
			e.Strikes[j].Age += by
		}
		out[i] = e
	}
	return out
}

func (f *boundFleet) parts(names ...string) []placement.Part {
	var out []placement.Part
	for _, n := range names {
		out = append(out, placement.Part{ID: fleet.HashID(n), Tokens: 1})
	}
	return out
}

func (f *boundFleet) own() string {
	f.ids++
	return fmt.Sprint("own", f.ids)
}

func (f *boundFleet) answerSound() {
	i, parts := f.rng.IntN(f.instances), f.parts("shared", f.own())
	if !f.serving[i] {
		return
	}
	f.sound++
	if f.at[i].Check(f.now, testPool, uint64(f.rng.IntN(4)), f.ids, parts).Blocked {
		f.refused++
		return
	}
	f.at[i].Answered(f.now, testPool, parts)
}

// crashUnrelated ends a server under sound requests of two instances.
func (f *boundFleet) crashUnrelated() {
	f.crashes++
	for range 2 {
		f.at[f.rng.IntN(f.instances)].Crashed(f.now, testPool, Crash(f.crashes), uint64(f.rng.IntN(4)), f.parts("shared", f.own()))
	}
}

// send sends the request of a caller to a server, which ends, as often as one attempt may.
func (f *boundFleet) send(c *deadlyCaller) {
	if c.sends == 0 {
		for c.at = f.rng.IntN(f.instances); !f.serving[c.at]; {
			c.at = f.rng.IntN(f.instances)
		}
		f.ids++
		c.id = f.ids
		if !f.repeated || c.parts == nil {
			c.parts = f.parts("shared", fmt.Sprint("deadly", c.kind), f.own())
			if f.repeated {
				c.parts = f.parts("shared", fmt.Sprint("deadly", c.kind))
			}
		}
	}
	tr := f.at[c.at]
	account := uint64(10 + c.kind)
	refused := c.sends > 0 && !tr.MayRepeat(testPool, c.parts) || tr.Check(f.now, testPool, account, c.id, c.parts).Blocked
	if !refused {
		f.crashes++
		f.ended[c.kind]++
		f.seen[c.kind] = append(f.seen[c.kind], sighting{f.now, c.at})
		tr.Crashed(f.now, testPool, Crash(f.crashes), account, c.parts)
		if c.sends++; c.sends < maxSendsPerAttempt {
			c.next = f.now.Add(crashTime)
			return
		}
	}
	c.sends = 0
	c.next = f.now.Add(repeatPause + time.Duration(f.rng.IntN(500))*time.Millisecond)
}

// Guards against more servers ended by one request, or one kind, than the users' bounds.
func TestFleetStaysWithinServersPerRequest(t *testing.T) {
	for name, p := range map[string]boundPlay{
		"alone":                {kinds: 1},
		"two kinds":            {kinds: 2},
		"unrelated crashes":    {kinds: 1, unrelated: 600 * time.Millisecond},
		"restarts":             {kinds: 1, restarts: 500 * time.Millisecond},
		"many kinds, restarts": {kinds: 20, restarts: 500 * time.Millisecond},
		"all together":         {kinds: 2, unrelated: 600 * time.Millisecond, restarts: 500 * time.Millisecond},
	} {
		for _, instances := range []int{9, 60} {
			for _, repeated := range []bool{true, false} {
				t.Run(fmt.Sprint(name, "/", instances, "/repeated=", repeated), func(t *testing.T) {
					p.instances, p.repeated = instances, repeated
					bound := maxServersPerKind
					if repeated {
						bound = maxServersPerRequest
					}
					most, refused, sound := 0, 0, 0
					for seed := range uint64(max(1, 36/instances)) {
						f := p.run(seed)
						refused, sound = refused+f.refused, sound+f.sound
						for kind, n := range f.ended {
							if most = max(most, n); n > bound+f.lost[kind] {
								t.Errorf("seed %d: %d servers ended under kind %d, want at most %d, and %d more whose evidence ended with its instance", seed, n, kind, bound, f.lost[kind])
							}
						}
					}
					if refused*1000 > sound {
						t.Errorf("%d of %d sound requests were refused", refused, sound)
					}
					t.Logf("at most %d servers ended, %d of %d sound requests were refused", most, refused, sound)
				})
			}
		}
	}
}
