package edge

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/quarantine"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/verdict"
)

// abandonedCheckDelay is the time after which a server is checked on which a request with a
// suspect part was abandoned. It is below the time in which servers start again.
const abandonedCheckDelay = 300 * time.Millisecond

// crashWatch sends requests and records under which of them servers crash. Requests that
// are known to crash servers are refused.
type crashWatch struct {
	gateway.Upstream
	tracker *quarantine.Tracker
	// off lets all requests through; crashes are recorded all the same.
	off bool
	// entry returns what the entry of a server states.
	entry func(fleet.ServerID) quarantine.EntryState
	// unconfirmed holds the crashes that only the links of the instance show.
	unconfirmed quarantine.Unconfirmed
	// onEvidence is called after new evidence. It must not block.
	onEvidence func()
	// portState returns whether a process listens at a server's address, which tells a crashed
	// server from a lost connection.
	portState func(server fleet.ServerID, addr string) portState
	meters    *meters
	log       *zap.Logger
}

// portState is whether a process listens at a server's address.
type portState int

const (
	// portNotRefused means that a process listens, that the host does not answer, or that no connect
	// was tried.
	portNotRefused portState = iota
	// portRefused means that the host answers and no process listens.
	portRefused
	// portUnconfirmed means that a direct connect was refused, by the host or by a lost link.
	portUnconfirmed
)

// Open implements gateway.Upstream. After a crash it returns once the crash is recorded,
// so that a decision on a retry takes it into account.
func (w *crashWatch) Open(ctx context.Context, srv *manifest.Server, req *gateway.Request, attemptID string) (gateway.Response, error) {
	resp, err := w.Upstream.Open(ctx, srv, req, attemptID)
	switch {
	case len(req.Parts) == 0:
	case err != nil:
		w.onUnanswered(req, srv, err)
	case verdict.Judge(verdict.Attempt{Begun: true, Status: resp.Status()}).Parts == verdict.PartsAnswered:
		w.tracker.Answered(time.Now(), srv.Pool, req.Parts)
	}
	return resp, err
}

func (w *crashWatch) onUnanswered(req *gateway.Request, srv *manifest.Server, err error) {
	a := verdict.Of(result.As(err))
	switch verdict.Judge(a).Check {
	case verdict.CheckNow:
		w.checkCrash(req, srv, a)
	case verdict.CheckLater:
		if w.tracker.HasSuspect(srv.Pool, req.Parts) {
			time.AfterFunc(abandonedCheckDelay, func() { w.checkCrash(req, srv, a) })
		}
	}
}

// checkCrash records a crash of the server under the request if the server has crashed. If only the
// links of the instance show that, the server's entry decides later.
func (w *crashWatch) checkCrash(req *gateway.Request, srv *manifest.Server, a verdict.Attempt) {
	// A server that starts again soon may have written its new entry when the port's state is known.
	entry, at := w.entry(srv.Name), time.Now()
	state := w.portState(srv.Name, srv.Address)
	a.PortRefuses = state != portNotRefused
	if verdict.Judge(a).Parts != verdict.PartsStruck {
		return
	}
	c := &requestCrash{
		request: req.ID, account: accountName(req), accountHash: accountHash(req), parts: req.Parts,
		pool: srv.Pool, server: srv.Name, address: srv.Address, start: entry.StartMillis,
	}
	if state == portRefused {
		w.record(c, time.Now())
		return
	}
	if w.unconfirmed.Add(quarantine.UnconfirmedCrash{Server: srv.Name, Entry: entry, At: at, Record: func() { w.record(c, at) }}) {
		time.AfterFunc(unconfirmedInterval, w.decideUnconfirmed)
	}
}

// unconfirmedInterval is the interval at which unconfirmed crashes are compared with the entries of
// their servers.
const unconfirmedInterval = 100 * time.Millisecond

func (w *crashWatch) decideUnconfirmed() {
	confirmed, remain := w.unconfirmed.Decide(time.Now(), w.entry)
	if remain {
		time.AfterFunc(unconfirmedInterval, w.decideUnconfirmed)
	}
	for _, c := range confirmed {
		c.Record()
	}
}

// requestCrash is a crash of a server under a request. It holds no body of the request.
type requestCrash struct {
	request, account string
	accountHash      uint64
	parts            []placement.Part
	pool             fleet.PoolID
	server           fleet.ServerID
	address          string
	// start is that of the server, in Unix ms.
	start int64
}

// record records a crash that happened at a time.
func (w *crashWatch) record(c *requestCrash, at time.Time) {
	if w.tracker.CrashedAt(time.Now(), at, c.pool, quarantine.CrashOf(c.server, c.start), c.accountHash, c.parts) {
		w.onEvidence()
	}
	w.meters.serverCrashes.Add(string(c.pool), 1)
	w.log.Warn("server crashed before it answered a request", zap.String(logging.FieldRequest, c.request), zap.String(logging.FieldAccount, c.account),
		zap.String(logging.FieldPool, string(c.pool)), zap.String(logging.FieldServer, string(c.server)), zap.String(logging.FieldAddress, c.address),
		zap.Array("prompt_parts", partIDs(c.parts)))
}

// refusal returns the refusal of a request that is known to crash servers, or of another
// attempt of one that may. The outcome is that of an attempt that was not made; if an
// earlier one may have run, the gateway reports that one.
func (w *crashWatch) refusal(now time.Time, req *gateway.Request) *result.Error {
	if len(req.Parts) == 0 || w.off {
		return nil
	}
	if req.MayHaveRun && !w.mayRepeat(req) {
		return result.New(result.PromptBlocked, "servers crashed on requests with this prompt")
	}
	d := w.tracker.Check(now, req.Pool.Name, accountHash(req), fleet.HashID(req.ID), req.Parts)
	if d.Trial {
		w.log.Info("trying a blocked prompt part", zap.String(logging.FieldRequest, req.ID), zap.String("part", strconv.FormatUint(d.Part.ID, 16)))
	}
	if !d.Blocked {
		return nil
	}
	w.meters.promptsBlocked.Add(string(req.Pool.Name), 1)
	return result.New(result.PromptBlocked, "servers crashed on requests with prompt part %x", d.Part.ID).WithRetryAfter(d.RetryAfter)
}

// mayRepeat reports whether a request that may have run may be sent to another server.
func (w *crashWatch) mayRepeat(req *gateway.Request) bool {
	return len(req.Parts) == 0 || w.off || w.tracker.MayRepeat(req.Pool.Name, req.Parts)
}

func accountName(req *gateway.Request) string {
	if req.Account == nil {
		return ""
	}
	return string(req.Account.Name)
}

// accountHash returns the hash of the request's account, 0 for none.
func accountHash(req *gateway.Request) uint64 {
	if req.Account == nil {
		return 0
	}
	return fleet.HashID(string(req.Account.Name))
}

// maxLoggedParts limits the prompt parts in a log line.
const maxLoggedParts = 16

// partIDs logs the ids of prompt parts in hexadecimal, as callers state them.
type partIDs []placement.Part

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (p partIDs) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for _, part := range p[:min(len(p), maxLoggedParts)] {
		enc.AppendString(strconv.FormatUint(part.ID, 16))
	}
	return nil
}
