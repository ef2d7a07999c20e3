package placement

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhitch/adapters/gossip"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/freshness"
	core "cyclamenhitch/core/placement"
	"cyclamenhitch/core/roster"
)

// serverCounts are the numbers of servers of the present sites, of the grown sites and
// of the target size.
var serverCounts = []int{13, 95, 600}

const peerCount = 8

func newBalancer(n int) *core.Balancer {
	b := core.NewBalancer(core.DefaultPolicy())
	servers := make([]core.Server, n)
	loads := map[fleet.ServerID]core.Load{}
	for i := range servers {
		servers[i] = core.Server{
			ID: fleet.ServerID(fmt.Sprint("i-", i)), Address: fmt.Sprint("10.0.0.1:", i), DataCentre: fleet.DataCentreID(fmt.Sprint("d", i%4)),
			Slots: 64, Engine: true, CacheTokens: 280_000, FetchTokensPerMs: 100,
		}
		loads[servers[i].ID] = core.Load{Running: i % 7, Unread: 300 * (i % 5)}
	}
	b.SetServers("p", servers)
	// The cost of a decision depends on what the engines cache, which is the same whatever
	// the decisions are.
	for i := range servers {
		b.AddPeerCached(time.Unix(1, 0), servers[i].ID, []core.Part{{ID: uint64(i % 4), Tokens: 2500}, {ID: uint64(100 + i%46), Tokens: 6100}})
	}
	all := make([]fleet.InstanceID, 75)
	for i := range all {
		all[i] = fleet.InstanceID(fmt.Sprint("r", i))
	}
	b.SetInstances("r0", all)
	for i := range peerCount {
		b.SetPeerLoads(fleet.InstanceID(fmt.Sprint("peer", i)), time.Unix(1, 0), loads)
	}
	return b
}

func newRequest(i int) *core.Request {
	return &core.Request{
		Parts:        []core.Part{{ID: uint64(i % 4), Tokens: 2500}, {ID: uint64(100 + i%46), Tokens: 6100}, {ID: uint64(1<<32 + i), Tokens: 580}},
		PromptTokens: 9180, Objective: 800 * time.Millisecond,
	}
}

// BenchmarkPlace measures choosing a server, reserving a slot on it and releasing the
// slot after the first output.
func BenchmarkPlace(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			balancer := newBalancer(n)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for i := range b.N {
				req := newRequest(i)
				ranked, _ := balancer.Rank(now, "p", req, nil)
				if len(ranked) == 0 {
					b.Fatal("Rank returned no server")
				}
				reservation := balancer.Reserve(now, "p", ranked[0], req)
				reservation.OnFirstOutput(now)
				reservation.Release(now, core.Ended)
				if i%1000 == 0 {
					balancer.DrainReport(1000)
				}
			}
		})
	}
}

// BenchmarkLease measures the lease check that precedes each request to a server.
func BenchmarkLease(b *testing.B) {
	l := freshness.NewLease(5 * time.Second)
	l.Confirm(1, 0)
	b.ReportAllocs()
	for range b.N {
		if !l.Valid(time.Second) {
			b.Fatal("lease is not valid")
		}
	}
}

// BenchmarkReport measures encoding and decoding a report with the load of each server.
func BenchmarkReport(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			r := gossip.Report{From: roster.Peer{ID: "front-cordon-1", Caller: "10.1.0.40:8227", Peer: "10.1.0.40:7340"}, Loads: map[fleet.ServerID]core.Load{}}
			for i := range n {
				r.Loads[fleet.ServerID(fmt.Sprint("i-a598d96b", i))] = core.Load{Running: 3, Unread: 900}
			}
			size := 0
			b.ReportAllocs()
			for range b.N {
				body, err := gossip.Marshal(&r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
				if _, err := gossip.Unmarshal(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
