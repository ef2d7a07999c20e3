package orders

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhitch/core/store"
)

// TestMain fixes the seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// rateTable holds the rate row; writes fail, and lose their replies.
type rateTable struct {
	store.Table
	t   *rapid.T
	row store.Row
}

func (r *rateTable) Get(context.Context, string, string) (store.Row, error) {
	if r.row.Version == 0 {
		return r.row, store.ErrNotFound
	}
	return r.row, nil
}

func (r *rateTable) Put(_ context.Context, row store.Row, expect uint64) error {
	fault := rapid.SampledFrom([]string{"", "", "", "down", "lost", "other"}).Draw(r.t, "fault")
	if fault == "other" && expect > 0 { // another holder writes in between
		r.row.Version++
	}
	if fault == "down" || r.row.Version != expect {
		if fault == "down" {
			return errors.New("store down")
		}
		return store.ErrConditionFailed
	}
	r.row = row
	if fault == "lost" {
		return errors.New("reply lost")
	}
	return nil
}

// Guards against loads beyond the weight store's rate, and against engines that
// never reach the wanted state, when reports lag and the store fails.
func TestOrdersReachTheWantWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		item := rapid.Custom(func(t *rapid.T) Item {
			return Item{Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"), Adapter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter"), Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")}
		})
		items := rapid.SliceOfNDistinct(item, 0, 5, Item.name)
		w := DesiredState{Items: items.Draw(t, "want"), Role: rapid.SampledFrom([]string{"", "decode"}).Draw(t, "role")}
		perMinute := rapid.IntRange(1, 120).Draw(t, "rate")
		table := &rateTable{t: t}
		start := time.UnixMilli(1_790_000_000_000)
		now, n := start, 0
		nonce := func() string { n++; return fmt.Sprint(n) }
		engine := Report{Engine: "e", Items: items.Draw(t, "loaded")}
		lagged, loads := engine, 0
		var sent UnconfirmedOrders
		for step := 0; step < 2000 && Compare(w, engine).Needed; step++ {
			now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
			if rapid.Bool().Draw(t, "report") {
				lagged = engine
			}
			s := Compare(w, lagged)
			if !s.Needed || !sent.Due(lagged, w, now) {
				continue
			}
			granted := 0
			if s.Loads > 0 {
				granted, _ = ReserveLoads(context.Background(), table, s.Loads, perMinute, func() time.Time { return now }, nonce)
			}
			loads += granted
			o := s.Order(lagged, granted)
			if !o.DiffersFrom(lagged) {
				continue
			}
			sent.Record(lagged, w, o, now)
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue // the order never reaches the engine
			}
			engine.Items, engine.Role = slices.Clone(o.Items), o.Role
		}
		if Compare(w, engine).Needed {
			t.Fatalf("engine has %+v, want %+v", engine, w)
		}
		burst := max(1, float64(perMinute)*rateBurst)
		if limit := burst + now.Sub(start).Minutes()*float64(perMinute) + 1e-6; float64(loads) > limit {
			t.Fatalf("%d loads in %v, the limit at %d per minute is %.1f", loads, now.Sub(start), perMinute, limit)
		}
	})
}
