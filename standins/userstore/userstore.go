// Package userstore implements an in-memory test server for the store of the
// users' platform: versioned rows, transactions with preconditions, and a change
// feed.
package userstore

import (
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Row is the wire format of a row.
type Row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type response struct {
	Rows    []Row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

type transaction struct {
	Precondition []Row `json:"precondition"`
	SetKeys      []Row `json:"set_keys"`
	Remove       []Row `json:"remove"`
}

type key struct{ table, part, key string }

// Store is a running store server.
type Store struct {
	ln    net.Listener
	start time.Time

	mu           sync.Mutex
	rows         map[key]Row // includes tombstones
	ver          uint64
	compactedVer uint64 // feed reads from before this version are refused
	changed      chan struct{}
	down         bool
	versionLag   uint64
	calls        int
	tables       map[string]TableCalls
	era          uint64
	undo         []undo // oldest first
}

// undo restores one row to what it was before a change.
type undo struct {
	at  time.Time
	ver uint64 // of the change
	key key
	old Row
	had bool
}

// eraHeader names the era of the store in each answer.
const eraHeader = "Store-Era"

// Start listens on a free loopback port.
func Start() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{ln: ln, start: time.Now(), rows: map[key]Row{}, tables: map[string]TableCalls{}, changed: make(chan struct{}), era: 1}
	go func() { _ = fasthttp.Serve(ln, s.handle) }()
	return s, nil
}

// Address returns the host:port that the store listens on.
func (s *Store) Address() string { return s.ln.Addr().String() }

// Close closes the listener; open connections stay open.
func (s *Store) Close() { _ = s.ln.Close() }

// SetDown makes all calls fail with status 503 while down is true. Pending feed
// calls fail too.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWaiters()
}

// DropHistory makes feed calls from before the current version fail with status
// 410, so that readers have to read the whole table again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedVer = s.ver
	s.notifyWaiters()
}

// Rewind makes the store return as the copy that it was age ago: later writes are lost,
// versions continue from the copy's, and the era increases by one.
func (s *Store) Rewind(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Now().Add(-age)
	for n := len(s.undo); n > 0 && s.undo[n-1].at.After(since); n-- {
		u := s.undo[n-1]
		if s.rows[u.key] = u.old; !u.had {
			delete(s.rows, u.key)
		}
		s.ver, s.undo = u.ver-1, s.undo[:n-1]
	}
	s.compactedVer = min(s.compactedVer, s.ver)
	s.era++
	s.notifyWaiters()
}

// Era returns the current era, which is 1 at the start.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// SetVersionLag makes full reads report a version that is n below the current
// one, as a lagging replica does.
func (s *Store) SetVersionLag(n uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionLag = n
}

// Calls returns the number of calls received, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// TableCalls are the calls that read a table in full and those that write rows of it.
type TableCalls struct{ Reads, Writes int }

// TableCalls returns the calls for a table, without those refused while the store is down.
func (s *Store) TableCalls(table string) TableCalls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tables[table]
}

// Count returns the number of rows of a table in the empty partition.
func (s *Store) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k, row := range s.rows {
		if k.table == table && k.part == "" && !row.Tombstone {
			n++
		}
	}
	return n
}

// Value returns the value of a row in the empty partition, nil if there is none.
func (s *Store) Value(table, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key{table, "", name}].Value
}

// Set writes a row in the empty partition, as an operator or a backend server does.
func (s *Store) Set(table, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{SetKeys: []Row{{Table: table, Key: name, Value: value}}})
}

// Remove deletes a row in the empty partition and leaves a tombstone.
func (s *Store) Remove(table, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Remove: []Row{{Table: table, Key: name}}})
}

// notifyWaiters wakes pending feed calls; the caller must hold mu.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply executes a transaction; the caller must hold mu.
func (s *Store) apply(tx transaction) {
	s.ver++
	ver := s.ver
	put := func(r Row) {
		k := key{r.Table, r.Part, r.Key}
		old, had := s.rows[k]
		s.undo = append(s.undo, undo{time.Now(), ver, k, old, had})
		s.rows[k] = r
	}
	for _, r := range tx.SetKeys {
		r.Ver = &ver
		put(r)
	}
	for _, r := range tx.Remove {
		r.Ver, r.Tombstone, r.Value = &ver, true, nil
		put(r)
	}
	s.notifyWaiters()
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.calls++
	down := s.down
	ctx.Response.Header.Set(eraHeader, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if down {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case "/rows-tx":
		s.transact(ctx)
	case "/rows-get":
		s.get(ctx)
	case "/rows-feed":
		s.feed(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) transact(ctx *fasthttp.RequestCtx) {
	var tx transaction
	if err := json.Unmarshal(ctx.PostBody(), &tx); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range slices.Concat(tx.SetKeys, tx.Remove) {
		s.tables[r.Table] = TableCalls{s.tables[r.Table].Reads, s.tables[r.Table].Writes + 1}
	}
	for _, want := range tx.Precondition {
		have, ok := s.rows[key{want.Table, want.Part, want.Key}]
		exists := ok && !have.Tombstone
		if want.Ver == nil || *want.Ver == 0 && exists || *want.Ver != 0 && (!exists || *have.Ver != *want.Ver) {
			ctx.Response.Header.Set(eraHeader, strconv.FormatUint(s.era, 10))
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			return
		}
	}
	s.apply(tx)
	s.write(ctx, nil)
}

// selectRows returns the matching rows in the order of compare; the caller must
// hold mu.
func (s *Store) selectRows(match func(Row) bool, compare func(a, b Row) int) []Row {
	out := []Row{}
	for _, r := range s.rows {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func (s *Store) get(ctx *fasthttp.RequestCtx) {
	a := ctx.QueryArgs()
	table, part, from := string(a.Peek("table")), string(a.Peek("part")), string(a.Peek("from"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[table] = TableCalls{s.tables[table].Reads + 1, s.tables[table].Writes}
	defer func(ver uint64) { s.ver = ver }(s.ver)
	s.ver -= min(s.ver, s.versionLag)
	s.write(ctx, s.selectRows(func(r Row) bool {
		return r.Table == table && r.Part == part && r.Key >= from && !r.Tombstone
	}, func(a, b Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	}))
}

func (s *Store) feed(ctx *fasthttp.RequestCtx) {
	a := ctx.QueryArgs()
	table := string(a.Peek("table"))
	after, _ := strconv.ParseUint(string(a.Peek("after_rev")), 10, 64)
	end := time.NewTimer(time.Duration(a.GetUintOrZero("wait_ms")) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		ctx.Response.Header.Set(eraHeader, strconv.FormatUint(s.era, 10))
		if s.down || after < s.compactedVer || after > s.ver {
			status := fasthttp.StatusGone
			if s.down {
				status = fasthttp.StatusServiceUnavailable
			}
			s.mu.Unlock()
			ctx.SetStatusCode(status)
			return
		}
		rows := s.selectRows(func(r Row) bool { return r.Table == table && *r.Ver > after }, func(a, b Row) int { return int(*a.Ver) - int(*b.Ver) })
		if len(rows) > 0 {
			s.write(ctx, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			s.mu.Lock()
			s.write(ctx, nil)
			s.mu.Unlock()
			return
		}
	}
}

// write responds with rows and the current version; the caller must hold mu.
func (s *Store) write(ctx *fasthttp.RequestCtx, rows []Row) {
	b, err := json.Marshal(response{Rows: rows, Ver: s.ver, NowMS: time.Since(s.start).Milliseconds()})
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.Set(eraHeader, strconv.FormatUint(s.era, 10))
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}
