// Package control measures membership and the spread of configuration in
// virtual time: the state machines and the datagram codec are the real ones,
// the network, the store and the clocks are simulated. Each simulation owns all
// its state.
package control

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cyclamenhitch/adapters/datagram"
	"cyclamenhitch/core/configstate"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

const (
	// oneWayLatency is the latency between data centres; jitter is added to it.
	oneWayLatency = 500 * time.Microsecond
	maxJitter     = 500 * time.Microsecond
	storeLatency  = 5 * time.Millisecond
	// ipHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
	ipHeaderBytes = 28
	// listEntryBytes is the size of one entry of the platform's list as the stand-in
	// writes it.
	listEntryBytes = 260
)

var key = []byte(strings.Repeat("k", 32))

var accepted = [][]byte{key}

// epoch is the start of virtual time.
var epoch = time.UnixMilli(1_790_000_000_000)

type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// node is one instance.
type node struct {
	index      int
	member     membership.Member
	detector   *membership.Detector
	config     *configstate.State
	up         bool
	generation int
	view       *membership.View
	// sent and received are bytes of datagrams and calls.
	sent, received int64
	inForce        time.Time
}

// sim is a fleet on a virtual network.
type sim struct {
	now         time.Time
	seq         uint64
	events      queue
	rng         *rand.Rand
	nodes       []*node
	byAddr      map[string]*node
	packetLoss  float64
	partitioned bool // region 0 cannot reach the others

	headVersion   uint64 // version of config/head
	storeDown     bool
	reads         int64
	bodies        *transferSizes
	falseRemovals int
	killed        map[fleet.InstanceID]bool
	err           error
	// list is the platform's list: all instances, also dead ones, which is the
	// longest possible lag.
	list []membership.Member
}

func newSim(n int, loss float64, seed uint64, b *transferSizes) *sim {
	s := &sim{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 0)), byAddr: map[string]*node{},
		packetLoss: loss, bodies: b, killed: map[fleet.InstanceID]bool{},
	}
	for i := range n {
		ip := fmt.Sprintf("10.%d.%d.%d", i%6, i/250, i%250)
		nd := &node{index: i, member: membership.Member{
			ID:         fleet.InstanceID(fmt.Sprintf("dc-%d-router-%04d", i%6, i)),
			DataCentre: fleet.DataCentreID(fmt.Sprintf("dc-%d", i%6)), Region: fleet.RegionID(fmt.Sprintf("region-%d", i%3)),
			Caller: ip + ":8080", Admin: ip + ":8081", Peer: ip + ":8082", Datagram: ip + ":8083",
		}}
		s.nodes = append(s.nodes, nd)
		s.byAddr[nd.member.Datagram] = nd
		s.byAddr[nd.member.Peer] = nd
		s.list = append(s.list, nd.member)
		s.after(time.Duration(s.rng.Int64N(int64(2*time.Second))), func() { s.start(nd) })
	}
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, fn})
}

// run advances virtual time by d.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

// start begins a life of the instance.
func (s *sim) start(nd *node) {
	nd.up, nd.view = true, nil
	nd.generation++
	delete(s.killed, nd.member.ID)
	nd.member.Incarnation = uint64(s.now.UnixMilli())
	nd.detector = membership.New(nd.member, s.now, s.rng.Uint64())
	nd.config = configstate.NewState(0, s.rng.Uint64())
	life := nd.generation
	alive := func() bool { return nd.up && nd.generation == life }
	s.every(membership.TickInterval, alive, func() { s.tick(nd) })
	s.every(100*time.Millisecond, alive, func() { s.runConfigActions(nd) })
	s.readList(nd, alive)
}

func (s *sim) readList(nd *node, alive func() bool) {
	if !alive() {
		return
	}
	if !s.storeDown {
		nd.detector.ApplyList(s.now, s.list)
		nd.received += int64(len(s.list) * listEntryBytes)
	}
	every := membership.ListReadInterval(len(s.list) * listEntryBytes)
	s.after(every/2+time.Duration(s.rng.Int64N(int64(every))), func() { s.readList(nd, alive) })
}

func (s *sim) every(d time.Duration, alive func() bool, fn func()) {
	var step func()
	step = func() {
		if alive() {
			fn()
			s.after(d, step)
		}
	}
	s.after(time.Duration(s.rng.Int64N(int64(d))), step)
}

func (s *sim) kill(nd *node) {
	nd.up = false
	s.killed[nd.member.ID] = true
}

func (s *sim) tick(nd *node) {
	nd.detector.Tick(s.now)
	s.flush(nd)
	if v := nd.detector.View(); v != nd.view {
		s.countFalseRemovals(nd.view, v)
		nd.view = v
	}
}

// countFalseRemovals counts live, reachable instances that left a view.
func (s *sim) countFalseRemovals(old, cur *membership.View) {
	if old == nil || s.partitioned {
		return
	}
	for i := range old.Members {
		id := old.Members[i].ID
		if !s.killed[id] && cur.Find(id) == nil {
			s.falseRemovals++
		}
	}
}

func (s *sim) reachable(a, b *node) bool {
	return !s.partitioned || (a.member.Region == "region-0") == (b.member.Region == "region-0")
}

func (s *sim) delay() time.Duration {
	return oneWayLatency + time.Duration(s.rng.Int64N(int64(maxJitter)))
}

// flush sends the datagrams of a machine through the real codec.
func (s *sim) flush(nd *node) {
	for _, out := range nd.detector.TakeOutgoing() {
		b, err := datagram.Encode(make([]byte, 0, membership.MaxPacketBytes), key, &out.Packet)
		if err != nil {
			s.err = err
			continue
		}
		nd.sent += int64(len(b) + ipHeaderBytes)
		to := s.byAddr[out.To]
		if to == nil || !s.reachable(nd, to) || s.rng.Float64() < s.packetLoss {
			continue
		}
		s.after(s.delay(), func() { s.deliver(to, b) })
	}
}

func (s *sim) deliver(nd *node, b []byte) {
	if !nd.up {
		return
	}
	p, err := datagram.Decode(accepted, b)
	if err != nil {
		s.err = err
		return
	}
	nd.received += int64(len(b) + ipHeaderBytes)
	nd.detector.Receive(s.now, p)
	s.flush(nd)
	if p.Version > nd.config.Version() {
		nd.config.HandleAnnouncement(configstate.Peer{ID: p.From.ID, Address: p.From.Info.Peer}, p.Version)
		s.runConfigActions(nd)
	}
}
