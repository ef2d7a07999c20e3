package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/membership"
)

// confirmTimeout bounds one query to another instance. It is under the time
// for which support lasts.
const confirmTimeout = 500 * time.Millisecond

// stepTakeover sends the queries that are due, which answer on their own.
func (c *admissionComponent) stepTakeover(ctx context.Context, st *admissionState) {
	now := time.Now()
	q, to := c.takeover.Step(now)
	for _, id := range to {
		if m := st.table.View.Find(id); m != nil {
			go c.confirm(ctx, m, q)
		}
	}
	if c.takeover.PollDue(now) {
		wakeLoop(c.pollWake)
	}
}

func (c *admissionComponent) confirm(ctx context.Context, m *membership.Member, q admission.Query) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r := &permitpb.ConfirmRequest{Holder: string(q.Holder), Digest: q.Digest}
	for _, s := range q.Servers {
		r.Servers = append(r.Servers, string(s))
	}
	sent := time.Now()
	reply, err := c.client(m).Confirm(ctx, r)
	if err != nil {
		c.d.log.Debug("no confirmation", zap.String("of", string(m.ID)), zap.Error(err))
		return
	}
	a := admission.QueryAnswer{Supports: reply.Supports, Confirmed: reply.Confirmed, Held: map[fleet.ServerID][]admission.HeldPermit{}}
	for _, l := range reply.Lists {
		a.Held[fleet.ServerID(l.Server)] = decodeHeld(l.Held)
	}
	c.takeover.HandleAnswer(time.Now(), sent, m.ID, q, a)
}

// recordSupport takes the support that the answer to a call carried.
func (c *admissionComponent) recordSupport(supports bool, sent time.Time, from fleet.InstanceID) {
	if supports {
		c.takeover.RecordSupport(time.Now(), sent, from)
	}
}
