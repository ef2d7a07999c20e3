package slopes

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/datagram"
	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/membership"
	"cyclamenhitch/core/routing"
)

type staticKey []byte

func (k staticKey) Bytes() []byte { return k }

func (k staticKey) Accepted() [][]byte { return [][]byte{k} }

var testKey = staticKey("shared key of the measured instances")

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// exchangeStub implements Exchange only; the benchmark makes no other calls.
type exchangeStub struct{ permitpb.Permits }

func (exchangeStub) Exchange(_ context.Context, r *permitpb.ExchangeRequest) (*permitpb.ExchangeReply, error) {
	return &permitpb.ExchangeReply{Totals: []*permitpb.PoolTotal{{Pool: r.Pools[0].Pool, Load: 1, Weight: 1}}}, nil
}

// BenchmarkSlopePeerCall measures the CPU time of calls between instances, of
// client, server and their system calls, for a range of call counts.
func BenchmarkSlopePeerCall(b *testing.B) {
	var traffic peer.Traffic
	srv := peer.NewServer(testKey, nil, &traffic)
	h := permitpb.NewPermitsServer(exchangeStub{})
	srv.Mount(h.PathPrefix(), h)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }()
	defer func() { _ = srv.Shutdown(context.Background()) }()
	client := permitpb.NewPermitsProtobufClient("http://"+ln.Addr().String(), peer.NewClient(testKey, nil, &traffic))
	req := &permitpb.ExchangeRequest{Pools: []*permitpb.PoolLoads{{Pool: "pool-1", Loads: []*permitpb.EngineLoad{{Server: "engine-1", Load: 1000, Weight: 1}}}}}
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("calls=%d", n), func(b *testing.B) {
			for b.Loop() {
				begin := processorTime()
				for range n {
					if _, err := client.Exchange(context.Background(), req); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64((processorTime() - begin).Microseconds()), "cpu-µs")
			}
		})
	}
}

// BenchmarkSlopeDatagram measures the CPU time of sending, receiving and verifying
// datagrams of about 1,000 bytes, for a range of datagram counts.
func BenchmarkSlopeDatagram(b *testing.B) {
	var traffic datagram.Traffic
	var received atomic.Int64
	recv, err := datagram.Listen("127.0.0.1:0", testKey, &traffic, zap.NewNop(), func(*membership.Packet) { received.Add(1) })
	if err != nil {
		b.Fatal(err)
	}
	defer recv.Close()
	send, err := datagram.Listen("127.0.0.1:0", testKey, &traffic, zap.NewNop(), func(*membership.Packet) {})
	if err != nil {
		b.Fatal(err)
	}
	defer send.Close()
	p := &membership.Packet{Kind: membership.Probe, From: memberUpdate(0), SentMillis: uint64(time.Now().UnixMilli())}
	for i := 1; p.WireBytes() < 900; i++ {
		p.Updates = append(p.Updates, memberUpdate(i))
	}
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("datagrams=%d", n), func(b *testing.B) {
			for b.Loop() {
				received.Store(0)
				begin := processorTime()
				for i := range n {
					if err := send.Send(recv.Address(), p); err != nil {
						b.Fatal(err)
					}
					if i%50 == 49 {
						time.Sleep(time.Millisecond) // the receive buffer holds a few hundred datagrams
					}
				}
				b.ReportMetric(float64((processorTime() - begin).Microseconds()), "cpu-µs")
				b.ReportMetric(float64(received.Load())/float64(n), "received")
			}
		})
	}
}

func memberUpdate(i int) membership.Update {
	m := member(i)
	return membership.Update{ID: m.ID, Incarnation: m.Incarnation, Full: true, Info: membership.Info{
		DataCentre: m.DataCentre, Region: m.Region, Caller: m.Caller, Admin: m.Admin, Peer: m.Peer, Datagram: m.Datagram,
	}}
}

func member(i int) membership.Member {
	return membership.Member{
		ID: fleet.InstanceID(fmt.Sprintf("router-%04d", i)), DataCentre: "dc-1", Region: "region-1",
		Caller: "10.0.0.1:8080", Admin: "10.0.0.1:8081", Peer: "10.0.0.1:8082", Datagram: "10.0.0.1:8083",
		Incarnation: 1764800000000,
	}
}

// newAdmitterTable returns the index of a manifest of the target size and the table of
// its engines' admitters among n instances.
func newAdmitterTable(b *testing.B, n int) (*manifest.Index, *admission.Table) {
	m, err := manifest.Decode(manifestSource(10))
	if err != nil {
		b.Fatal(err)
	}
	x := manifest.NewIndex(1, m)
	view := &membership.View{}
	for i := range n {
		u := member(i)
		u.Region, u.Eligible = fleet.RegionID(fmt.Sprintf("region-%d", i%3)), true
		view.Members = append(view.Members, u)
	}
	return x, admission.NewTable(view, x, admission.DefaultAdmitters)
}

// BenchmarkSlopeLedger measures the memory that an admitter uses for running requests
// and the CPU time of admitting them. Requests are not released.
func BenchmarkSlopeLedger(b *testing.B) {
	x, t := newAdmitterTable(b, 1)
	var own []fleet.ServerID
	for i := range x.Manifest.Servers {
		if s := x.Manifest.Servers[i].Name; t.Primary(s, "router-0000") {
			own = append(own, s)
		}
	}
	for _, n := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprintf("running=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := liveHeapBytes()
				l := admission.NewLedger("router-0000", admission.Params{})
				now := time.Unix(1764800000, 0)
				l.SetRoles(now, t, true)
				for i := range x.Manifest.Pools {
					// The pool total is large enough to keep every engine below its load bound.
					l.SetTotal(now, x.Manifest.Pools[i].Name, admission.Total{Load: 1 << 40, Weight: 24}, nil)
				}
				begin := processorTime()
				for i := range n {
					l.Admit(now, &admission.PermitRequest{
						Server: own[i%len(own)], Holder: "router-0000", ID: uint64(i), Account: "account-1",
						Weight: 1, Chat: fleet.ChatKey(i), Prompt: 100, Output: 300, Relaxed: true,
					})
				}
				b.ReportMetric(float64((processorTime() - begin).Microseconds()), "cpu-µs")
				b.ReportMetric(float64(liveHeapBytes()-before), "heap-B")
				runtime.KeepAlive(l)
			}
		})
	}
}

// BenchmarkSlopeTable measures the CPU time and memory of recomputing all admitters
// after a membership change, for a range of instance counts.
func BenchmarkSlopeTable(b *testing.B) {
	for _, n := range []int{9, 90, 370, 1000, 3700} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				before, begin := liveHeapBytes(), processorTime()
				x, t := newAdmitterTable(b, n)
				b.ReportMetric(float64((processorTime() - begin).Microseconds()), "cpu-µs")
				b.ReportMetric(float64(liveHeapBytes()-before), "heap-B")
				runtime.KeepAlive(t)
				runtime.KeepAlive(x)
			}
		})
	}
}

// BenchmarkSlopeLookup measures the CPU time of deciding a lookup: ranking the engines
// of the chat's pool and finding their admitters.
func BenchmarkSlopeLookup(b *testing.B) {
	x, t := newAdmitterTable(b, 370)
	now := time.Unix(1764800000, 0)
	view := routing.Build(x, nil, t.Regions(), now)
	for _, n := range []int{10000, 20000, 40000, 80000} {
		b.Run(fmt.Sprintf("lookups=%d", n), func(b *testing.B) {
			var buf [1]*manifest.Server
			for b.Loop() {
				begin := processorTime()
				for i := range n {
					for _, s := range view.RankAt("pool-1", fleet.ChatKey(fleet.Mix(uint64(i), 1)), now, buf[:0]) {
						_ = t.Of(s.Name)
					}
				}
				b.ReportMetric(float64((processorTime() - begin).Microseconds()), "cpu-µs")
			}
		})
	}
}
