package policy

import (
	"time"

	"cyclamenhitch/adapters/peer"
	"cyclamenhitch/adapters/peer/permitpb"
	"cyclamenhitch/core/admission"

	"google.golang.org/protobuf/proto"
)

const (
	// takeoverInterval is the daemon's tick interval.
	takeoverInterval = 100 * time.Millisecond
	// callTime is the round-trip time of a call between two instances.
	callTime = 2 * time.Millisecond
)

// recordSupport records the support that the reply to a call carries.
func (r *routers) recordSupport(in, to *instance) {
	if now := r.w.time(); in != to && to.takeoverState.Supports(now, in.id) {
		in.takeoverState.RecordSupport(now, now, to.id)
	}
}

// takeover models the daemon's takeover step on each tick.
func (r *routers) takeover(in *instance) {
	if in.down {
		return
	}
	now := r.w.time()
	q, to := in.takeoverState.Step(now)
	for _, id := range to {
		r.confirm(in, r.byID[id], q)
	}
	if in.takeoverState.PollDue(now) {
		r.poll(in)
	}
}

func (r *routers) confirm(in, to *instance, q admission.Query) {
	now := r.w.time()
	req := &permitpb.ConfirmRequest{Holder: string(q.Holder), Digest: q.Digest}
	for _, s := range q.Servers {
		req.Servers = append(req.Servers, string(s))
	}
	if r.lost() || !r.reaches(in, to) {
		in.controlBytes += int64(peer.CallBytes(permitpb.PermitsPathPrefix+"Confirm", proto.Size(req)))
		return
	}
	a := to.takeoverState.Answer(now, q, to.holds)
	r.countBytes("Confirm", in, to, proto.Size(req), answerSize(a))
	if r.lost() {
		return
	}
	r.w.after(callTime, func() { in.takeoverState.HandleAnswer(r.w.time(), now, to.id, q, a) })
}

// answerSize returns the size of the ConfirmReply of an answer, in bytes.
func answerSize(a admission.QueryAnswer) int {
	m := &permitpb.ConfirmReply{Supports: a.Supports, Confirmed: a.Confirmed}
	for s, held := range a.Held {
		m.Lists = append(m.Lists, serverList(admission.PermitUpdate{Server: s, Held: held}))
	}
	return proto.Size(m)
}

func serverList(l admission.PermitUpdate) *permitpb.ServerList {
	out := &permitpb.ServerList{Server: string(l.Server), Ended: l.Ended, Full: l.Full}
	for _, p := range l.Held {
		out.Held = append(out.Held, &permitpb.Held{Id: p.ID, Account: string(p.Account), Weight: p.Weight, Tokens: p.Tokens})
	}
	return out
}
