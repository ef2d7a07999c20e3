package budget

const (
	// reservedDescriptors are set aside for files (DEPLOY.md, "Memory and descriptors"); at
	// most a quarter of a smaller limit.
	reservedDescriptors = 200
	// fixedDescriptors are those that a process opens once: its listeners, the peer socket
	// and the pollers.
	fixedDescriptors = 16
	// minStoreDescriptors are needed for the long polls of all tables beside writes. With two,
	// an instance with 400 descriptors was not listed in the directory within a minute.
	minStoreDescriptors = 8
)

// Share is the part of a budget of descriptors that one purpose may take. A nil Share has
// no limit.
type Share struct {
	// Name is the purpose.
	Name string
	amount
	// common, unless nil, is what this share and others may take together.
	common *amount
}

// Take takes one descriptor. It reports false if none is left.
func (s *Share) Take() bool {
	switch {
	case s == nil:
		return true
	case !s.take(1):
		return false
	case s.common != nil && !s.common.take(1):
		s.used.Add(-1)
		s.refused.Add(1)
		return false
	}
	return true
}

// Give gives one descriptor back.
func (s *Share) Give() {
	if s == nil {
		return
	}
	s.used.Add(-1)
	if s.common != nil {
		s.common.used.Add(-1)
	}
}

// IsFull reports whether the share has reached its own limit.
func (s *Share) IsFull() bool { return s != nil && s.Used() >= s.limit }

// Descriptors is the budget of descriptors of an instance. Callers, servers and tunnels have one
// part in common; otherwise no share can take what belongs to another, so that a burst of callers
// leaves the other listeners and the store theirs.
type Descriptors struct {
	// Callers and Servers are for connections that carry requests: one running request
	// takes one of each at most. Idle callers may take more than half of their common part.
	Callers, Servers *Share
	// Tunnels is for the connections of peers that reach servers through this instance: one from
	// the peer and one to the server each. They have a part in common with Callers and Servers.
	Tunnels *Share
	// Directory, Readiness, Peers and Metrics are for the connections that the listeners of
	// these names accept.
	Directory, Readiness, Peers, Metrics *Share
	// Calls is for connections to peers, and for probes and lists of servers.
	Calls *Share
	// Store is for connections to the store.
	Store *Share
}

// NewDescriptors divides the limit of open files of a process.
func NewDescriptors(limit int) *Descriptors {
	left := int64(limit - min(reservedDescriptors, limit/4) - fixedDescriptors)
	share := func(name string, percent int64) *Share {
		return &Share{Name: name, amount: amount{limit: max(1, left*percent/100)}}
	}
	store := share("store", 1)
	if store.limit < minStoreDescriptors {
		store.limit = minStoreDescriptors
		left -= minStoreDescriptors
	}
	d := &Descriptors{
		Callers: share("callers", 57), Servers: share("servers", 38), Directory: share("directory", 8), Readiness: share("readiness", 1),
		Peers: share("peers", 9), Metrics: share("metrics", 1), Calls: share("calls", 4), Store: store,
	}
	requests := &amount{limit: left * requestsPercent / 100}
	d.Tunnels = share("tunnels", 38)
	d.Callers.common, d.Servers.common, d.Tunnels.common = requests, requests, requests
	return d
}

// requestsPercent is the part that callers, servers and tunnels have in common.
const requestsPercent = 76

// Shares returns all shares.
func (d *Descriptors) Shares() []*Share {
	return []*Share{d.Callers, d.Servers, d.Tunnels, d.Directory, d.Readiness, d.Peers, d.Metrics, d.Calls, d.Store}
}
