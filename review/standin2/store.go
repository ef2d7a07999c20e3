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

// row is a row of the platform's store.
type row struct {
	Table     string  `json:"table"`
	Part      string  `json:"part"`
	Key       string  `json:"key"`
	Value     []byte  `json:"value,omitempty"`
	Ver       *uint64 `json:"ver,omitempty"`
	Tombstone bool    `json:"tombstone,omitempty"`
}

type transaction struct {
	Precondition []row `json:"precondition"`
	SetKeys      []row `json:"set_keys"`
	Remove       []row `json:"remove"`
}

// store is a stand-in of the platform's store: rows-get, rows-feed and rows-tx.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]row
	ver     uint64
	start   time.Time
	changed chan struct{}
}

func newStore() *store {
	return &store{rows: map[[3]string]row{}, start: time.Now(), changed: make(chan struct{})}
}

// set writes a row as the operator or a server does.
func (s *store) set(table, key string, value []byte) {
	s.apply(transaction{SetKeys: []row{{Table: table, Key: key, Value: value}}})
}

func (s *store) apply(tx transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range tx.Precondition {
		have, ok := s.rows[[3]string{p.Table, p.Part, p.Key}]
		ver := uint64(0)
		if ok && !have.Tombstone {
			ver = *have.Ver
		}
		if p.Ver == nil || *p.Ver != ver {
			return false
		}
	}
	s.ver++
	ver := s.ver
	for _, r := range tx.SetKeys {
		r.Ver = &ver
		s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	}
	for _, r := range tx.Remove {
		r.Ver, r.Tombstone, r.Value = &ver, true, nil
		s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// listen opens a listener of the store.
func (s *store) listen() (address string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, s) }()
	return ln.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var out []row
	switch r.URL.Path {
	case "/rows-tx":
		var tx transaction
		if json.NewDecoder(r.Body).Decode(&tx) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if !s.apply(tx) {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	case "/rows-get":
		s.mu.Lock()
		for k, v := range s.rows {
			if k[0] == q.Get("table") && k[1] == q.Get("part") && k[2] >= q.Get("from") && !v.Tombstone {
				out = append(out, v)
			}
		}
		s.mu.Unlock()
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	case "/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after_rev"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		end := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer end.Stop()
		for expired := false; !expired && len(out) == 0; {
			s.mu.Lock()
			for k, v := range s.rows {
				if k[0] == q.Get("table") && *v.Ver > after {
					out = append(out, v)
				}
			}
			changed := s.changed
			s.mu.Unlock()
			if len(out) > 0 {
				break
			}
			select {
			case <-changed:
			case <-end.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		sort.Slice(out, func(i, j int) bool { return *out[i].Ver < *out[j].Ver })
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	ver := s.ver
	s.mu.Unlock()
	if out == nil {
		out = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": out, "has_more": false, "ver": ver, "now_ms": time.Since(s.start).Milliseconds()})
}
