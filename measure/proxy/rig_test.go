// Package proxy measures what the router adds to a direct call to a backend
// server: latency, memory of open streams, processor time and allocations.
package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"sort"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/httpapi"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
)

const accountKey = "account-key-for-measures"

// ports are the cheapest implementations of the gateway's ports, so that the
// figures show the answer path and not the policy.
type ports struct{ servers []*manifest.Server }

func (p *ports) Rank(_ *gateway.Request, dst []*manifest.Server) []*manifest.Server {
	return append(dst, p.servers...)
}

type permit struct{}

func (permit) Opened(time.Duration) {}
func (permit) Release(error)        {}

func (p *ports) Admit(context.Context, *gateway.Request, []*manifest.Server, bool) (int, gateway.Permit, error) {
	return 0, permit{}, nil
}
func (p *ports) OnRequest(fleet.PoolID)     {}
func (p *ports) TryRetry(fleet.PoolID) bool { return false }
func (p *ports) Check() error               { return nil }
func (p *ports) Addresses(*manifest.Pool, fleet.ChatKey) []string {
	return nil
}

// startRouter serves callers in front of the server at backend.
func startRouter(tb testing.TB, backend string) string {
	tb.Helper()
	sum := sha256.Sum256([]byte(accountKey))
	m, err := manifest.Decode([]byte(fmt.Sprintf(`format = 1
[[data_centre]]
name = "cordon"
region = "montevideo"
[[pool]]
name = "taller-modelo"
[[server]]
name = "engine-0"
pool = "taller-modelo"
data_centre = "cordon"
address = %q
[[account]]
name = "workshops"
key_sha256 = [%q]
`, backend, hex.EncodeToString(sum[:]))))
	if err != nil {
		tb.Fatal(err)
	}
	x := manifest.NewIndex(1, m)
	p := &ports{servers: []*manifest.Server{&x.Manifest.Servers[0]}}
	var ids atomic.Int64
	srv := &httpapi.Server{
		Config: func() *manifest.Index { return x },
		Opener: &gateway.Gateway{
			Router: p, Admitter: p, Budget: p, Now: time.Now,
			Upstream: &engine.Client{MaxAnswerBytes: 8 << 20},
		},
		Directory: p, Admission: p, Log: zap.NewNop(),
		NewID: func() string { return "request-" + strconv.FormatInt(ids.Add(1), 36) },
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() {
		_ = srv.Serve(ln, httpapi.Limits{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 16 << 10, MaxConnections: 20000,
			ReadTimeout: 30 * time.Second, WriteTimeout: 30 * time.Second, IdleTimeout: 90 * time.Second,
		})
	}()
	tb.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = srv.Shutdown(ctx)
	})
	return ln.Addr().String()
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func sortDurations(d []time.Duration) []time.Duration {
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d
}

// processorTime is the user and system time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
