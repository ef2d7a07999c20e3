package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/core/claims"
)

// maxSweepInterval bounds the time to notice that a partition came to this instance.
const maxSweepInterval = time.Minute

// sweep deletes old objects of the partitions that this instance owns until ctx
// ends, one call at a time, so that claims keep the other calls of the cap.
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
					c.d.log.Debug("old objects of claims not deleted", zap.Int("partition", p), zap.Error(rep.Err))
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
