package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/claims"
)

// maxSweepInterval limits the delay before this instance sweeps a partition that it
// newly owns.
const maxSweepInterval = time.Minute

// sweep deletes old objects of the partitions that this instance owns until ctx ends.
// It makes one call at a time, which leaves the remaining concurrent store calls to
// claims.
func (c *claimsComponent) sweep(ctx context.Context) {
	sweepers := map[int]*claims.Sweeper{}
	for ctx.Err() == nil {
		idle := maxSweepInterval
		for p := range claims.Partitions {
			if !c.isSelf(c.ownerCandidates(p, "")[0]) {
				delete(sweepers, p)
				continue
			}
			s := sweepers[p]
			if s == nil {
				s = claims.NewSweeper(p, rand.New(rand.NewPCG(randomUint64(), randomUint64())), time.Now())
				sweepers[p] = s
			}
			op, wait := s.Next(time.Now())
			if op != nil {
				rep := claims.ExecuteSweep(ctx, c.d.store, c.d.store, *op)
				if op.Kind == claims.OpDeleteObject && rep.Err == nil {
					metricObjectsDeleted.Add(1)
				}
				if rep.Err != nil {
					c.d.log.Debug("failed to delete old claim objects", zap.Int("partition", p), zap.Error(rep.Err))
				}
				s.Reply(op, rep, time.Now())
				_, wait = s.Next(time.Now())
			}
			idle = min(idle, wait)
		}
		select {
		case <-ctx.Done():
		case <-time.After(idle):
		}
	}
}
