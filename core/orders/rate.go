package orders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Row that holds the fleet's budget of loads from the weight store.
const (
	ratePartition = "rates"
	rateSort      = "weight_store"
)

// rateBurst is the largest unused budget, in minutes of the rate. Ten seconds of
// budget let a few engines begin at once after a quiet time.
const rateBurst = 1.0 / 6

// rateTries bounds the attempts of one reservation when holders of several pools
// write the row at the same time.
const rateTries = 4

// bucket is the content of the rate row. AtMillis never goes back, so an
// instance whose clock is behind gets nothing extra; one whose clock is ahead by
// d can take the rate times d earlier, once.
type bucket struct {
	Tokens   float64 `json:"tokens"`
	AtMillis int64   `json:"at_ms"`
}

// ReserveLoads takes up to n loads from the budget of perMinute for the whole fleet
// and returns how many it took. When the fate of the write is not known the
// loads count as taken and none is granted, which is below the rate in any case.
func ReserveLoads(ctx context.Context, t store.Table, n, perMinute int, now func() time.Time, nonce func() string) (int, error) {
	for range rateTries {
		row, err := t.Get(ctx, ratePartition, rateSort)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return 0, err
		}
		burst := max(1, float64(perMinute)*rateBurst)
		ms := now().UnixMilli()
		b := bucket{Tokens: burst, AtMillis: ms}
		if err == nil {
			if err := json.Unmarshal(row.Data, &b); err != nil {
				return 0, result.Wrap(result.Internal, err, "rate row cannot be decoded")
			}
		}
		if d := ms - b.AtMillis; d > 0 {
			b.Tokens, b.AtMillis = b.Tokens+float64(d)*float64(perMinute)/60000, ms
		}
		b.Tokens = min(b.Tokens, burst)
		granted := min(n, int(b.Tokens))
		if granted == 0 {
			return 0, nil
		}
		b.Tokens -= float64(granted)
		data, err := json.Marshal(b)
		if err != nil {
			return 0, result.As(err)
		}
		err = t.Put(ctx, store.Row{Partition: ratePartition, Sort: rateSort, Version: row.Version + 1, Writer: nonce(), Data: data}, row.Version)
		if !errors.Is(err, store.ErrConditionFailed) {
			if err != nil {
				return 0, err
			}
			return granted, nil
		}
	}
	return 0, nil
}
