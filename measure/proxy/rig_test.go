// Package proxy measures what the router adds to a direct call to a backend
// server: latency, memory per open stream, CPU time and allocations.
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

// stubPorts implements the gateway's ports with minimal work, so that the results
// show the cost of the proxy path and not that of the routing policy.
type stubPorts struct{ servers []*manifest.Server }

func (p *stubPorts) Rank(_ *gateway.Request, dst []*manifest.Server) []*manifest.Server {
	return append(dst, p.servers...)
}

type noopPermit struct{}

func (noopPermit) Opened(time.Duration) {}
func (noopPermit) Part()                {}
func (noopPermit) Release(error)        {}

func (p *stubPorts) Admit(context.Context, *gateway.Request, []*manifest.Server, bool) (int, gateway.Permit, error) {
	return 0, noopPermit{}, nil
}
func (p *stubPorts) OnRequest(fleet.PoolID)     {}
func (p *stubPorts) TryRetry(fleet.PoolID) bool { return false }
func (p *stubPorts) Check() error               { return nil }
func (p *stubPorts) Addresses(*manifest.Pool, fleet.ChatKey) []string {
	return nil
}

// startRouter starts a router with the backend server at address backend and returns
// the router's address.
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
	p := &stubPorts{servers: []*manifest.Server{&x.Manifest.Servers[0]}}
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

// processorTime returns the user and system CPU time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
