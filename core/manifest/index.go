package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"cyclamenhitch/core/fleet"
)

// Index gives constant-time access to the entries of a manifest version. It is
// built once for each version and read without locks.
type Index struct {
	Version  uint64
	Manifest *Manifest

	accountsByKeyHash map[[32]byte]*Account
	models            map[string]*Pool
	pools             map[fleet.PoolID]*Pool
	routes            map[string]*Route
	dataCentres       map[fleet.DataCentreID]*DataCentre
	servers           map[fleet.PoolID][]*Server

	serversByName map[fleet.ServerID]*Server
	accounts      map[fleet.ClientAccountID]*Account
}

// NewIndex builds the index of m, which must come from Decode.
func NewIndex(version uint64, m *Manifest) *Index {
	x := &Index{
		Version: version, Manifest: m,
		accountsByKeyHash: make(map[[32]byte]*Account, len(m.Accounts)),
		models:            map[string]*Pool{},
		pools:             map[fleet.PoolID]*Pool{},
		routes:            map[string]*Route{},
		dataCentres:       map[fleet.DataCentreID]*DataCentre{},
		servers:           map[fleet.PoolID][]*Server{},

		serversByName: make(map[fleet.ServerID]*Server, len(m.Servers)),
		accounts:      make(map[fleet.ClientAccountID]*Account, len(m.Accounts)),
	}
	for i := range m.Accounts {
		x.accounts[m.Accounts[i].Name] = &m.Accounts[i]
		for _, k := range m.Accounts[i].KeySHA256 {
			var h [32]byte
			if _, err := hex.Decode(h[:], []byte(strings.ToLower(k))); err == nil {
				x.accountsByKeyHash[h] = &m.Accounts[i]
			}
		}
	}
	for i := range m.Pools {
		p := &m.Pools[i]
		x.pools[p.Name] = p
		for _, name := range p.Models {
			x.models[name] = p
		}
	}
	for i := range m.Routes {
		x.routes[m.Routes[i].Name] = &m.Routes[i]
	}
	for i := range m.DataCentres {
		x.dataCentres[m.DataCentres[i].Name] = &m.DataCentres[i]
	}
	for i := range m.Servers {
		s := &m.Servers[i]
		x.servers[s.Pool] = append(x.servers[s.Pool], s)
		x.serversByName[s.Name] = s
	}
	return x
}

// AccountByKey returns the account whose key hash matches the bearer key, or nil.
func (x *Index) AccountByKey(key []byte) *Account { return x.accountsByKeyHash[sha256.Sum256(key)] }

// PoolByModel returns the pool that serves the model, or nil.
func (x *Index) PoolByModel(model string) *Pool { return x.models[model] }

// Pool returns the pool with the id, or nil.
func (x *Index) Pool(id fleet.PoolID) *Pool { return x.pools[id] }

// Route returns the service route with the name, or nil.
func (x *Index) Route(name string) *Route { return x.routes[name] }

// DataCentre returns the data centre with the id, or nil.
func (x *Index) DataCentre(id fleet.DataCentreID) *DataCentre { return x.dataCentres[id] }

// Servers returns the servers of a pool in manifest order.
func (x *Index) Servers(id fleet.PoolID) []*Server { return x.servers[id] }

// Server returns the server with the name, or nil.
func (x *Index) Server(id fleet.ServerID) *Server { return x.serversByName[id] }

// Account returns the account with the name, or nil.
func (x *Index) Account(id fleet.ClientAccountID) *Account { return x.accounts[id] }

// AcceptsNewRequests reports whether a server may get new work: it is not leaving and
// its data centre is not out.
func (x *Index) AcceptsNewRequests(s *Server) bool {
	dc := x.dataCentres[s.DataCentre]
	return s.State == StateIn && dc != nil && dc.State == StateIn
}

// MayUse reports whether the account may use the pool.
func (a *Account) MayUse(pool fleet.PoolID) bool {
	if len(a.Pools) == 0 {
		return true
	}
	for _, p := range a.Pools {
		if p == pool {
			return true
		}
	}
	return false
}
