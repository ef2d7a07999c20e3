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

// sizes are the servers of today, of the grown sites and of the target.
var sizes = []int{13, 95, 600}

const peers = 8

func board(n int) *core.Balancer {
	b := core.NewBalancer()
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
	for i := range peers {
		b.SetPeerLoads(fleet.InstanceID(fmt.Sprint("peer", i)), time.Unix(1, 0), loads)
	}
	return b
}

func ask(i int) *core.Request {
	return &core.Request{
		Parts:        []core.Part{{ID: uint64(i % 4), Tokens: 2500}, {ID: uint64(100 + i%46), Tokens: 6100}, {ID: uint64(1<<32 + i), Tokens: 580}},
		PromptTokens: 9180, Objective: 800 * time.Millisecond,
	}
}

// BenchmarkPlace is one choice of a server with its place, opened and given back.
func BenchmarkPlace(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			bd := board(n)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for i := range b.N {
				a := ask(i)
				ranked, _ := bd.Rank(now, "p", a, nil)
				if len(ranked) == 0 {
					b.Fatal("no candidate")
				}
				t := bd.Reserve(now, "p", ranked[0], a)
				t.OnFirstOutput(now)
				t.Release(now, core.Ended)
				if i%1000 == 0 {
					bd.DrainReport()
				}
			}
		})
	}
}

// BenchmarkLease is the check before each send.
func BenchmarkLease(b *testing.B) {
	l := freshness.NewLease(5 * time.Second)
	l.Confirm(1, 0)
	b.ReportAllocs()
	for range b.N {
		if !l.Valid(time.Second) {
			b.Fatal("not valid")
		}
	}
}

// BenchmarkReport is a report with a load for each server, written and read.
func BenchmarkReport(b *testing.B) {
	for _, n := range sizes {
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
