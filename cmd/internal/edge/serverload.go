package edge

import (
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/engine"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/placement"
)

// serverLoads returns a receiver of the loads that servers state in their responses. It
// passes their pace to the placement. The numbers of requests are known from the reports of
// the instances; those that servers state count while the servers are brittle.
func serverLoads(board *placement.Balancer) func(fleet.PoolID, fleet.ServerID, engine.ServerLoad) {
	return func(pool fleet.PoolID, server fleet.ServerID, l engine.ServerLoad) {
		board.NoteStatedLoad(time.Now(), pool, server, l.Running, l.Waiting, l.Slots)
		if l.PacePercent > 0 {
			board.NotePace(time.Now(), pool, server, l.PacePercent)
		}
	}
}

// longLimits logs when long prompts are limited and when no longer. It is used by one
// goroutine.
type longLimits map[fleet.PoolID]bool

func (l longLimits) log(board *placement.Balancer, log *zap.Logger) {
	if !board.Policy().On(placement.PromptIsolation) {
		return
	}
	for pool, s := range board.Summary(time.Now()) {
		if limited := s.LongTokensPerMilli > 0; limited != l[pool] {
			l[pool] = limited
			log.Info("limit of long prompts changed", zap.String(logging.FieldPool, string(pool)), zap.Bool("limited", limited),
				zap.Float64("tokens_per_ms", s.LongTokensPerMilli))
		}
	}
}
