package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store, as PROTOCOL.md spells it.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// store stands in for the platform's metadata store: rows-tx, rows-get and rows-feed.
type store struct {
	addr  string
	start time.Time

	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	changed chan struct{}
}

func newStore() *store {
	s := &store{start: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// set writes a row as the operator or a server does. Its return is the acknowledgement.
func (s *store) set(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: []byte(value)}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

// apply performs a transaction. The caller holds mu.
func (s *store) apply(set, remove []row) {
	s.ver++
	ver := s.ver
	for _, r := range set {
		r.Ver = &ver
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range remove {
		r.Ver, r.Tombstone, r.Value = &ver, true, nil
		s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []row `json:"precondition"`
		SetKeys      []row `json:"set_keys"`
		Remove       []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var have []row
	failed := false
	for _, p := range in.Precondition {
		cur, ok := s.rows[rowKey{p.Table, p.Part, p.Key}]
		ok = ok && !cur.Tombstone
		want := uint64(0)
		if p.Ver != nil {
			want = *p.Ver
		}
		if ok {
			have = append(have, cur)
		}
		if want == 0 && ok || want != 0 && (!ok || *cur.Ver != want) {
			failed = true
		}
	}
	if failed {
		s.write(w, http.StatusPreconditionFailed, have)
		return
	}
	s.apply(in.SetKeys, in.Remove)
	s.write(w, http.StatusOK, nil)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && !x.Tombstone && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	s.write(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for expired := false; ; {
		s.mu.Lock()
		var out []row
		for _, x := range s.rows {
			if x.Table == q.Get("table") && *x.Ver > after {
				out = append(out, x)
			}
		}
		sort.Slice(out, func(i, j int) bool { return *out[i].Ver < *out[j].Ver })
		if len(out) > 0 || expired {
			s.write(w, http.StatusOK, out)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			expired = true
		}
	}
}

// write answers with rows. The caller holds mu.
func (s *store) write(w http.ResponseWriter, status int, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds()})
}
