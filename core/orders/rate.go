package orders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

// Key of the row that holds the fleet's budget of loads from the weight store.
const (
	ratePartition = "rates"
	rateSort      = "weight_store"
)

// rateBurstMinutes is the largest unused budget, in minutes of the rate. Ten
// seconds of budget let a few engines start loading at once after an idle period.
const rateBurstMinutes = 1.0 / 6

// maxRateAttempts bounds the attempts of one reservation under contention between
// the lease holders of several pools.
const maxRateAttempts = 4

// rateBucket is the content of the rate row. AtMillis never decreases, so an
// instance whose clock is behind adds no tokens. An instance whose clock is ahead
// by d can use the budget of d in advance, once.
type rateBucket struct {
	Tokens   float64 `json:"tokens"`
	AtMillis int64   `json:"at_ms"`
}

// ReserveLoads reserves up to n loads from the fleet's budget of perMinute and
// returns how many it reserved. If the outcome of the write is unknown, it grants
// none although the loads may be deducted, so the rate is never exceeded.
func ReserveLoads(ctx context.Context, t store.Table, n, perMinute int, now func() time.Time, nonce func() string) (int, error) {
	for range maxRateAttempts {
		row, err := t.Get(ctx, ratePartition, rateSort)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return 0, err
		}
		burst := max(1, float64(perMinute)*rateBurstMinutes)
		ms := now().UnixMilli()
		b := rateBucket{Tokens: burst, AtMillis: ms}
		if err == nil {
			if err := json.Unmarshal(row.Data, &b); err != nil {
				return 0, result.Wrap(result.Internal, err, "decoding the weight store rate row")
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
