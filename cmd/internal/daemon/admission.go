package daemon

import (
	"context"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
)

// admissionComponent grants permits and retries.
type admissionComponent struct{}

func newAdmissionComponent(*Daemon) *admissionComponent { return &admissionComponent{} }

type freePermit struct{}

func (freePermit) Release() {}

// Admit implements gateway.Admitter.
func (*admissionComponent) Admit(context.Context, *gateway.Request, *manifest.Server) (gateway.Permit, error) {
	return freePermit{}, nil
}

// OnRequest implements gateway.RetryBudget.
func (*admissionComponent) OnRequest(fleet.PoolID) {}

// TryRetry implements gateway.RetryBudget.
func (*admissionComponent) TryRetry(fleet.PoolID) bool { return false }
