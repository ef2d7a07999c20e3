package daemon

import (
	"context"

	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// claimsComponent records requests that are not idempotent.
type claimsComponent struct{}

func newClaimsComponent(*Daemon) *claimsComponent { return &claimsComponent{} }

// Claim implements gateway.Claimer. Until claims are stored, every request that
// needs one is refused, which keeps at-most-once true.
func (*claimsComponent) Claim(context.Context, *gateway.Request) (gateway.Claim, gateway.Answer, error) {
	return nil, nil, result.New(result.StoreUnavailable, "claims are not stored by this instance")
}
