// Package catalog resolves requests against one accepted configuration: routes by
// host and path, client accounts by key, pools by name. A Catalog is immutable
// and read without locks; its owner replaces it as a whole.
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
	// Stream says that answers are event streams.
	Stream bool
	// Idempotent says that requests may run more than once.
	Idempotent bool
	// Resumable says that a stream may go on at another server after its last event.
	Resumable bool
	// Anonymous says that requests need no key.
	Anonymous bool
	// Timeout bounds a request from its arrival to the end of its answer; 0 means no bound.
	Timeout time.Duration
	// Objective is the time to the first part of an answer that counts as on time.
	Objective time.Duration
	// MaxAttempts bounds the servers that may run one request.
	MaxAttempts int
	// Urgency orders waiting requests, 0 first.
	Urgency int
	// Targets share the requests by weight. There is at least one.
	Targets []Target
}

// Target is a pool's share of the requests of a route.
type Target struct {
	Pool   *Pool
	Weight int
}

// Pool is a declared pool with what the placement has to know of its servers.
type Pool struct {
	manifest.Pool
	// MaxConnections bounds the connections to one server, all callers together.
	MaxConnections int
	// ColdTime is how long a server stays cold after its start.
	ColdTime time.Duration
	// ColdRate is how many requests a second a cold server bears; 0 means no bound.
	ColdRate float64
	// Engine says that the servers are model engines.
	Engine bool
	// Slots is how many requests a model engine runs at once.
	Slots int
	// CacheTokens is the memory of a model engine, in tokens.
	CacheTokens int
	// FetchTokensPerMs is how many prompt tokens a ms a model engine fetches from
	// another one; 0 means that it cannot.
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

// Account returns the client account that holds the key, or nil.
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

// PoolFor returns the pool for a request. The same hash gives the same pool, so that
// a repeated request stays where it was.
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
