// Package catalog resolves requests against one accepted configuration: routes by
// host and path, client accounts by key, pools by name. A Catalog is immutable and
// read without locks; a new configuration replaces it as a whole.
package catalog

import (
	"slices"
	"strings"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
)

// Route sends the requests of a host and a path prefix to pools.
type Route struct {
	// Name identifies the route.
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Stream is set if responses are event streams.
	Stream bool
	// Idempotent is set if requests may run more than once.
	Idempotent bool
	// Resumable is set if another server can continue a stream after its last event.
	Resumable bool
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// Timeout limits the time from a request's arrival to the end of its response; 0 means no limit.
	Timeout time.Duration
	// Objective is the target for the time to the first part of a response.
	Objective time.Duration
	// MaxAttempts limits the number of servers that may run one request.
	MaxAttempts int
	// Urgency orders queued requests, 0 first.
	Urgency int
	// Targets split the requests by weight. There is at least one.
	Targets []Target
}

// Target is a pool's share of the requests of a route.
type Target struct {
	Pool   *Pool
	Weight int
}

// Pool is a declared pool with the server properties that placement needs.
type Pool struct {
	manifest.Pool
	// MaxConnections limits the connections to one server over all callers.
	MaxConnections int
	// ColdTime is the duration of a server's cold start.
	ColdTime time.Duration
	// ColdRate limits the requests per second to a server in cold start; 0 means no limit.
	ColdRate float64
	// Engine is set if the servers are model engines.
	Engine bool
	// Slots is the number of requests that a model engine runs concurrently.
	Slots int
	// CacheTokens is the KV cache size of a model engine, in tokens.
	CacheTokens int
	// FetchTokensPerMs is the rate, in prompt tokens per ms, at which a model engine fetches
	// KV cache from another one; 0 means that it cannot.
	FetchTokensPerMs float64
}

// Catalog is one version of the configuration.
type Catalog struct {
	Version  uint64
	routes   map[string][]*Route
	accounts map[string]*manifest.Account
	pools    map[fleet.PoolID]*Pool
}

// New returns the catalog of a version. accounts maps keys to their accounts.
func New(version uint64, routes []*Route, pools []*Pool, accounts map[string]*manifest.Account) *Catalog {
	c := &Catalog{
		Version: version, accounts: accounts,
		routes: map[string][]*Route{}, pools: make(map[fleet.PoolID]*Pool, len(pools)),
	}
	for _, p := range pools {
		c.pools[p.Name] = p
	}
	for _, r := range routes {
		c.routes[r.Host] = append(c.routes[r.Host], r)
	}
	for _, rs := range c.routes {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// Route returns the route of the host with the longest prefix of path, or nil.
// The host may carry a port and any case.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account with the API key, or nil.
func (c *Catalog) Account(key []byte) *manifest.Account {
	if len(key) == 0 {
		return nil
	}
	return c.accounts[string(key)]
}

// Pool returns the pool with the name, or nil.
func (c *Catalog) Pool(id fleet.PoolID) *Pool { return c.pools[id] }

// Pools returns all pools, unordered.
func (c *Catalog) Pools() []*Pool {
	out := make([]*Pool, 0, len(c.pools))
	for _, p := range c.pools {
		out = append(out, p)
	}
	return out
}

// StreamTimes returns, for each pool that serves streams which may be resumed, the longest
// time that a stream may take; unlimited stands for routes without a timeout.
func (c *Catalog) StreamTimes(unlimited time.Duration) map[fleet.PoolID]time.Duration {
	out := map[fleet.PoolID]time.Duration{}
	for _, routes := range c.routes {
		for _, r := range routes {
			if !r.Stream || !r.Resumable {
				continue
			}
			limit := r.Timeout
			if limit == 0 {
				limit = unlimited
			}
			for _, t := range r.Targets {
				out[t.Pool.Name] = max(out[t.Pool.Name], limit)
			}
		}
	}
	return out
}

// RoutesOnly returns the routes of the catalog without its accounts and its index of pools.
func (c *Catalog) RoutesOnly() *Catalog { return &Catalog{Version: c.Version, routes: c.routes} }

// MovedStreams returns the pools between which a later configuration moves streams that may be
// resumed under it: those that had or get the streams of a path, or that get another share of them.
func (c *Catalog) MovedStreams(later *Catalog) []fleet.PoolID {
	var out []fleet.PoolID
	for host, routes := range later.routes {
		// Paths between two prefixes have the route of the shorter one in both configurations.
		for _, r := range slices.Concat(routes, c.routes[host]) {
			before, after := c.Route(host, r.Prefix), later.Route(host, r.Prefix)
			if before == nil || after == nil || !before.Stream || !after.Stream || !after.Resumable || sameTargets(before, after) {
				continue
			}
			for _, t := range slices.Concat(before.Targets, after.Targets) {
				if !slices.Contains(out, t.Pool.Name) {
					out = append(out, t.Pool.Name)
				}
			}
		}
	}
	return out
}

func sameTargets(a, b *Route) bool {
	return slices.EqualFunc(a.Targets, b.Targets, func(x, y Target) bool { return x.Pool.Name == y.Pool.Name && x.Weight == y.Weight })
}

// PoolFor returns the pool for a request. The same hash gives the same pool, so that a
// repeated request reaches the same pool.
func (r *Route) PoolFor(hash uint64) *Pool {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	if sum == 0 {
		return r.Targets[0].Pool
	}
	n := int(hash % uint64(sum))
	for _, t := range r.Targets {
		if n < max(0, t.Weight) {
			return t.Pool
		}
		n -= max(0, t.Weight)
	}
	return r.Targets[len(r.Targets)-1].Pool
}
