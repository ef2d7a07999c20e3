package engine

import (
	"context"
	"io"
	"syscall"
	"time"

	"cyclamenhitch/core/connend"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/liveness"
	"cyclamenhitch/core/result"
)

const (
	// maxConfirmTime limits how long the end of a response without a length waits for evidence
	// that the server ended it, if the response can be requested again.
	maxConfirmTime = 500 * time.Millisecond
	// maxOnceConfirmTime limits the wait of other responses. A sound server may pause for a second or
	// so, and callers give a stream up after 2 s without an event.
	maxOnceConfirmTime = 2 * time.Second
	// maxStartWait limits the wait for a server to state its start, and for its entry to state the
	// same one, before a request is sent there. With the wait at the end of the response before, it
	// adds up to maxOnceConfirmTime.
	maxStartWait = maxOnceConfirmTime - maxConfirmTime
	// reportTimeout limits one call for a report.
	reportTimeout = 500 * time.Millisecond
	// minConfirmRetryDelay is the time before a server is asked again, which doubles up to
	// maxConfirmRetryDelay. A server that has reached its connection limit resets new
	// connections, as the host of a server that ends does.
	minConfirmRetryDelay, maxConfirmRetryDelay = 50 * time.Millisecond, 200 * time.Millisecond
)

// ServerState is what the instance knows of a server from its entry.
type ServerState struct {
	// StartMillis is when the server started, in Unix ms; 0 if that is unknown.
	StartMillis int64
	// Leaving is set if the server is leaving or is not listed.
	Leaving bool
}

// ServerReport is the outcome of asking a server for its report.
type ServerReport struct {
	Contact connend.Contact
	// StartMillis is when the process at the address started, in Unix ms; 0 if not stated.
	StartMillis int64
	// EventsMade holds the number of events made of each running request, by request id.
	EventsMade map[string]int
}

// ConnectionEnd describes how it was decided whether a response that ended with its connection
// is complete.
type ConnectionEnd struct {
	Server             fleet.ServerID
	Pool               fleet.PoolID
	Address, RequestID string
	Evidence           connend.Evidence
	Verdict            connend.Verdict
	Reason             connend.Reason
	// Waited is the time from the end of the connection to the decision.
	Waited time.Duration
}

// endOfConnection returns nil if a response without a length, whose connection has ended in
// order, is complete, and an error otherwise.
func (r *response) endOfConnection() *result.Error {
	if r.endDecided {
		return r.endErr
	}
	if r.x.client.Report == nil || r.stream != nil && len(r.stream.buf) > 0 {
		return nil
	}
	limit := maxOnceConfirmTime
	if r.mayRepeat() {
		limit = maxConfirmTime
		r.timeLeft = maxOnceConfirmTime - maxConfirmTime
	}
	r.endDecided = true
	r.endErr = r.confirmEnd(limit)
	return r.endErr
}

// confirmEnd asks the server for evidence that it ended the response.
func (r *response) confirmEnd(limit time.Duration) *result.Error {
	began := time.Now()
	report := r.askServer(began.Add(limit))
	e := connend.Evidence{
		Contact: report.Contact, StartMillis: report.StartMillis, EntryMillis: r.entryStart, ReportMillis: r.reportedStart,
		EventsMade: -1, Leaving: r.leaving(),
	}
	made, listed := report.EventsMade[r.x.attemptID]
	e.RunListed = listed && !r.sentAgain
	if listed && r.stream != nil && r.stream.resumes == 0 && r.x.req.LastEventID == "" {
		e.EventsMade, e.Events = made, r.stream.count
	}
	verdict, reason := connend.Judge(e)
	if f := r.x.client.OnConnectionEnd; f != nil {
		f(ConnectionEnd{
			Server: r.srv.Name, Pool: r.srv.Pool, Address: r.srv.Address, RequestID: r.x.req.ID,
			Evidence: e, Verdict: verdict, Reason: reason, Waited: time.Since(began),
		})
	}
	r.noContact = reason == connend.NoContact
	if verdict == connend.Complete {
		return nil
	}
	if r.noContact {
		if err := r.givenUp(); err != nil {
			return err
		}
	}
	return result.New(result.AnswerTruncated, "the connection ended after %d bytes of a response without a length: %s", r.received, reason)
}

// isCompleteLater reports whether the server of a stream, which did not answer in time and
// which no other server continues, confirms the end of the stream after all.
func (r *response) isCompleteLater() bool {
	return r.noContact && r.timeLeft > 0 && r.x.ctx.Err() == nil && r.confirmEnd(r.timeLeft) == nil
}

// givenUp returns an error if the caller has left or the deadline has passed, which indicates
// nothing about the server.
func (r *response) givenUp() *result.Error {
	if !time.Now().Before(r.x.req.Deadline) {
		r.conn.action = liveness.Expire
	} else if r.x.ctx.Err() == nil {
		return nil
	}
	return r.readError(io.EOF)
}

// mayRepeat reports whether the response can be requested again, or its rest, so that nothing
// is lost if its end is not confirmed.
func (r *response) mayRepeat() bool {
	if r.stream != nil {
		return r.x.req.Resumable && r.stream.consecutive && r.stream.resumes < maxResumes
	}
	return r.x.req.Idempotent && !r.x.req.LastAttempt && !r.passedOn
}

// leaving reports whether the server has announced that it leaves, or is not listed.
func (r *response) leaving() bool {
	if name := r.x.client.dialect().Leaving; name != "" && r.resp != nil && string(r.resp.Header.Peek(name)) == "1" {
		return true
	}
	state := r.x.client.ServerState
	return state != nil && state(r.srv.Name).Leaving
}

// noteStarts records which process is known to run at the address before the request is sent.
// What is learned later may be of a process that has replaced the one that answers.
func (r *response) noteStarts() {
	c := r.x.client
	if c.Report == nil {
		return
	}
	r.reportedStart = r.conn.host.reportedStart.Load()
	if c.ServerState != nil {
		r.entryStart = c.ServerState(r.srv.Name).StartMillis
	}
}

// askServer asks the server for its report until it answers or its port is closed.
func (r *response) askServer(limit time.Time) ServerReport {
	return r.conn.host.ask(r.x.ctx, r.x.client, r.conn.opened, earlier(limit, r.x.req.Deadline))
}

// isDoubtful reports whether the request is sent while servers may start again: a stream is continued,
// or an attempt has failed whose request may have run. The process that answers is then often stated by
// neither the entry nor an earlier report, so that its version would be unknown, or the end of a
// response without a length could not be confirmed.
func (x *exchange) isDoubtful() bool {
	return x.req.LastEventID != "" || x.req.MayHaveRun && x.client.host(x.srv.Address).omitsLengths.Load()
}

// confirmServer asks the server which process runs at its address, before a request is sent there. An
// error has outcome not_run.
func (x *exchange) confirmServer() error {
	if x.client.Report == nil {
		return nil
	}
	limit := earlier(time.Now().Add(maxStartWait), x.req.Deadline)
	report := x.client.host(x.srv.Address).ask(x.ctx, x.client, time.Now(), limit)
	switch {
	case x.req.ConfirmServer == nil:
		return nil
	case report.Contact == connend.Refused:
		// The process that may listen by now was not asked.
		return result.Wrap(result.ConnectFailed, syscall.ECONNREFUSED, "server %s", x.srv.Name)
	case report.Contact == connend.Answered && report.StartMillis == 0:
		return nil // it is known by its entry only
	}
	ctx, cancel := context.WithDeadline(x.ctx, limit)
	defer cancel()
	if e := x.req.ConfirmServer(ctx, report.StartMillis); e != nil {
		return e
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ask asks the server for its report until it answers or its port is closed, or until the limit. A
// process is known to have listened at opened.
func (h *host) ask(ctx context.Context, c *Client, opened, limit time.Time) ServerReport {
	for delay := minConfirmRetryDelay; ; delay = min(2*delay, maxConfirmRetryDelay) {
		report := h.report(ctx, c, opened, time.Now(), limit)
		if report.Contact == connend.Answered || report.Contact == connend.Refused || time.Until(limit) <= delay {
			return report
		}
		select {
		case <-ctx.Done():
			return report
		case <-time.After(delay):
		}
	}
}

// reportCall is a call for a server's report that several responses may wait for.
type reportCall struct {
	asked  time.Time
	done   chan struct{}
	report ServerReport
}

// wait returns the report, or a silent one if there is none at the limit or when ctx ends.
func (q *reportCall) wait(ctx context.Context, limit time.Time) ServerReport {
	timer := time.NewTimer(time.Until(limit))
	defer timer.Stop()
	select {
	case <-q.done:
		return q.report
	case <-timer.C:
	case <-ctx.Done():
	}
	return ServerReport{Contact: connend.Silent}
}

func (q *reportCall) call(c *Client, h *host) {
	defer close(q.done)
	q.report = c.Report(h.addr, reportTimeout)
	if q.report.StartMillis != 0 {
		h.reportedStart.Store(q.report.StartMillis)
	}
}

func (q *reportCall) finished() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// report returns a report that was asked for after a point in time, or a refusal after opened, when a
// process listened. Responses that end at the same time share a call, and at most one call to an
// address is in progress.
func (h *host) report(ctx context.Context, c *Client, opened, after, limit time.Time) ServerReport {
	for {
		h.mu.Lock()
		q := h.reportCall
		if q == nil || q.asked.Before(after) && q.finished() {
			q = &reportCall{asked: time.Now(), done: make(chan struct{})}
			h.reportCall = q
			// Apart from the request: others may wait for the call, and a connect to a host that
			// drops packets takes longer than its timeout.
			go q.call(c, h)
		}
		h.mu.Unlock()
		report := q.wait(ctx, limit)
		// The port of a process that has closed it stays closed to that process.
		if !q.asked.Before(after) || report.Contact == connend.Refused && !q.asked.Before(opened) {
			return report
		}
		if ctx.Err() != nil || !time.Now().Before(limit) {
			return ServerReport{Contact: connend.Silent}
		}
	}
}
