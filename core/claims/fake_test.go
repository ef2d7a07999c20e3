package claims

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/store"
)

// TestMain fixes the seed of the property tests, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := "20261204" // CLAIMS_SEED overrides it
	if v := os.Getenv("CLAIMS_SEED"); v != "" {
		seed = v
	}
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true", "rapid.steps": "120", "rapid.checks": "500", "rapid.shrinktime": "10s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// memTable is an in-memory table and object store.
type memTable struct {
	rows    map[string]store.Row
	objects map[string][]byte
	writes  int
	// segmentListDown makes writes of the segment list fail.
	segmentListDown bool
}

func newMemTable() *memTable {
	return &memTable{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (t *memTable) Get(_ context.Context, p, s string) (store.Row, error) {
	if r, ok := t.rows[p+"/"+s]; ok {
		return r, nil
	}
	return store.Row{}, store.ErrNotFound
}

func (t *memTable) Put(_ context.Context, row store.Row, expect uint64) error {
	t.writes++
	if t.segmentListDown && row.Partition == segmentListPartition {
		return errDown
	}
	k := row.Partition + "/" + row.Sort
	if old, ok := t.rows[k]; ok != (expect != 0) || ok && old.Version != expect {
		return store.ErrConditionFailed
	}
	t.rows[k] = row
	return nil
}

func (t *memTable) Query(_ context.Context, p, from string, limit int) ([]store.Row, error) {
	var out []store.Row
	for _, r := range t.rows {
		if r.Partition == p && r.Sort >= from {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Sort < out[j].Sort })
	return out[:min(limit, len(out))], nil
}

func (t *memTable) Delete(_ context.Context, p, s string) error {
	t.writes++
	delete(t.rows, p+"/"+s)
	return nil
}

func (t *memTable) GetObject(_ context.Context, name string) ([]byte, error) {
	if b, ok := t.objects[name]; ok {
		return b, nil
	}
	return nil, store.ErrNotFound
}

func (t *memTable) PutObject(_ context.Context, name string, body []byte) error {
	t.objects[name] = body
	return nil
}

func (t *memTable) ListObjectsAfter(_ context.Context, prefix, after string, limit int) ([]string, error) {
	var out []string
	for name := range t.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out[:min(limit, len(out))], nil
}

func (t *memTable) DeleteObject(_ context.Context, name string) error {
	delete(t.objects, name)
	return nil
}

var testStart = time.UnixMilli(1_790_000_000_000)

var nonces int

func testConfig() Config {
	return Config{
		Rate: 0, SegmentRows: 8, Rand: rand.New(rand.NewPCG(1, 2)),
		NewNonce: func() string { nonces++; return fmt.Sprintf("n%d", nonces) },
	}
}
