// Package gateway processes one request from parsing to the end of its response:
// it ranks servers, obtains a permit, claims requests that are not idempotent,
// opens the response, retries where that is safe, and releases the permit. It
// keeps no state beyond the request; each step is an interface that another
// package implements.
package gateway

import (
	"context"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// Field is one HTTP header field that is forwarded.
type Field struct{ Name, Value string }

// Request is one caller request after parsing and authentication.
type Request struct {
	// ID is unique for the request; the ID of an attempt is ID with a suffix.
	ID      string
	Account *manifest.Account
	Pool    *manifest.Pool
	// Route is nil for chat requests.
	Route *manifest.Route
	// RouteName names the route of a request whose configuration has no Route; empty
	// otherwise.
	RouteName string
	// Chat is the key by which the servers of the pool are ranked.
	Chat   fleet.ChatKey
	Method string
	// Path is the path and query sent to the backend server.
	Path   string
	Fields []Field
	Body   []byte
	// ReleaseBody, unless nil, is called once a large body has been sent and no other server
	// may run the request. Body is empty from then on.
	ReleaseBody  func()
	bodyReleased bool
	// Stream requests server-sent events.
	Stream bool
	// Idempotent allows retries after bytes may have reached a server.
	Idempotent     bool
	IdempotencyKey string
	// Priority is 0 (lowest) to 9.
	Priority int
	// PromptTokens and OutputTokens are estimates, in tokens.
	PromptTokens, OutputTokens int
	// CachedTokens is the number of prompt tokens expected in the cache of the first
	// ranked server; Rank sets it. If it is above 0, the chat may use that server up
	// to the hard load bound.
	CachedTokens int
	Deadline     time.Time
	// Server is the server of the last attempt, nil before the first.
	Server *manifest.Server

	// Host is the host name that the caller requested; if it is empty, the backend
	// server's address is sent instead.
	Host string
	// Parts is the chain of prompt prefix blocks that requests can share.
	Parts []placement.Part
	// Objective is the target time to the first part of the response; 0 means none.
	Objective time.Duration
	// Arrived is when the request was read; zero if unknown.
	Arrived time.Time
	// Urgency orders waiting requests, 0 first.
	Urgency int
	// UrgencyShift is added to Urgency at the server chosen last; a placer sets it.
	UrgencyShift int
	// Resumable allows a broken stream to be continued by another server.
	Resumable bool
	// LastEventID is the ID of the event after which a stream resumes; empty means
	// that it begins at the start.
	LastEventID string
	// Resumes is the ID of the request in whose response the stream began that resumes after
	// LastEventID; empty if the caller names none.
	Resumes string
	// Origin is the software version at which the stream began.
	Origin Origin
	// CheckServer, unless nil, returns an error if the server selected last to continue a
	// stream may have started again with another version. The Placer sets it.
	CheckServer func() *result.Error
	// ConfirmServer, unless nil, is called before a stream is continued at the server selected
	// last, with the start of the process there as its report states it, in Unix ms, or 0 if it did
	// not answer. It returns an error, with outcome not_run, if the process may have another
	// version. The Placer sets it.
	ConfirmServer func(ctx context.Context, startMillis int64) *result.Error
	// MaxRuns limits how many servers may run the request; 0 means maxAttempts.
	MaxRuns int
	// FetchFrom is the address of a server from which the selected one may fetch
	// cached prompt blocks that it lacks; empty means none. The Placer sets it.
	FetchFrom string
	// FirstPartTimeout is how long an idempotent request waits for the first part of
	// a response if another server can take it then; 0 means until the deadline.
	// The Placer sets it.
	FirstPartTimeout time.Duration
	// Recheck, unless nil, is called right before each send, because the configuration
	// that authorized the request may have expired meanwhile. An error from it, with
	// outcome not_run, ends the attempt.
	Recheck func() *result.Error
	// Decisions are the placement decisions for the request, in order, for the log
	// entry written when it ends. The Placer adds them.
	Decisions []Decision
	// TriedServers are the servers of earlier attempts.
	TriedServers []fleet.ServerID
	// Resuming is set while a response that has begun is to be continued at another server.
	Resuming bool
	// MayHaveRun is set once an attempt has failed that may have run.
	MayHaveRun bool
	// LastAttempt is set while no further server may run the request if the current one fails.
	LastAttempt bool
	// Failover selects another server for a broken stream; nil if the stream must not
	// be resumed. cause is the error that broke the stream at the previous server.
	Failover func(cause error) (*manifest.Server, error)
	// OnFailoverError is called with the error of a server selected by Failover that does not
	// continue the stream. Set if Failover is.
	OnFailoverError func(err error)
}

// Decision records the selection of a server and its inputs.
type Decision struct {
	Server fleet.ServerID
	// Elapsed is the time since the request arrived, Waited the part of it spent
	// waiting for a server.
	Elapsed, Waited time.Duration
	// Cost and ExpectedWait are the estimates for the server. Cached and
	// Fetched are the prompt tokens that it was estimated to have cached and to
	// fetch from another server.
	Cost            float64
	ExpectedWait    time.Duration
	Cached, Fetched int
	// Running is the number of requests that the server ran. NominalWait is the estimate of
	// the wait at a server of usual speed.
	Running     int
	NominalWait time.Duration
	// Candidates is the number of servers that were eligible.
	Candidates int
	// ConfigVersion is the version of the active configuration, and ConfigAge the time
	// since the start of the read that confirmed it.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// Stopping is set for a request that was accepted in a planned stop. StopLeft was the time
	// until the stop would cut it, StopRisk the probability that a stream takes longer.
	Stopping bool
	StopLeft time.Duration
	StopRisk float64
	// Through is the peer instance through which the server was reached; empty for a direct
	// connection.
	Through fleet.InstanceID
	// EndReason is why the attempt failed; empty for the last one.
	EndReason string
}

// Response is an open response of a backend server. It is not safe for concurrent use.
type Response interface {
	// Status is the HTTP status.
	Status() int
	// Fields are the header fields to forward to the caller.
	Fields() []Field
	// Next returns the next part of the body, valid until the following call.
	// It returns io.EOF only after a complete and verified response, and a
	// *result.Error otherwise.
	Next() ([]byte, error)
	// Close closes the response; it cancels the request at the server if the
	// response is incomplete. It may be called more than once.
	Close()
}

// Router ranks the servers that may receive a request.
type Router interface {
	// Rank appends the eligible servers to dst, best first.
	Rank(req *Request, dst []*manifest.Server) []*manifest.Server
}

// Placer selects a server and reserves capacity on it in one step, for pools whose
// ranking depends on the current load. It waits while all servers are full.
type Placer interface {
	// Place returns a server that is not among req.TriedServers, or an error with
	// outcome not_run.
	Place(ctx context.Context, req *Request) (*manifest.Server, Permit, error)
	// HasAlternative reports whether another server than req.TriedServers can take req, which
	// may be running at the last of them. It runs beside the attempt, with a copy of the
	// request, and may wait for servers.
	HasAlternative(req *Request) bool
}

// Permit allows one request to run on one server.
type Permit interface {
	// Opened records the time from the send to the first part of the
	// response, which is the first token of a stream.
	Opened(took time.Duration)
	// Part records a further part of the response.
	Part()
	// Release returns the reserved capacity. It may be called more than once. err is
	// the result of the attempt: nil or io.EOF for a response that was complete or
	// was closed by the caller.
	Release(err error)
}

// Admitter grants permits.
type Admitter interface {
	// Admit requests a permit for the ranked servers and returns the index of the
	// server for which it was granted, or an error with outcome not_run. first is
	// false after a failed attempt: the expected cache is then not on ranked[0].
	Admit(ctx context.Context, req *Request, ranked []*manifest.Server, first bool) (int, Permit, error)
}

// Upstream sends a request to a backend server.
type Upstream interface {
	// Open sends the request and waits for the first part of the response. The
	// outcome of an error states whether the request may have run.
	Open(ctx context.Context, srv *manifest.Server, req *Request, attemptID string) (Response, error)
}

// Claimer durably records requests that are not idempotent before they run.
type Claimer interface {
	// Claim stores a claim durably. If a request with the key has already run, it
	// returns the stored response or an error instead.
	Claim(ctx context.Context, req *Request) (Claim, Response, error)
	// Lookup reads the state of the request's key without a write. It returns the
	// stored response, or the error that Claim would return for a key that another
	// attempt holds. If it returns neither, known is true if the key was never
	// claimed or was released, and false if its state could not be determined.
	Lookup(ctx context.Context, req *Request) (resp Response, known bool, err error)
}

// Claim is a durable claim that this request holds.
type Claim interface {
	// Finish records the outcome. A nil err means that the response was complete;
	// an error with outcome not_run releases the key for another attempt.
	Finish(status int, fields []Field, body []byte, err error)
}

// RetryBudget limits the retries of each pool.
type RetryBudget interface {
	// OnRequest counts a first attempt.
	OnRequest(pool fleet.PoolID)
	// TryRetry takes one retry from the budget and reports whether one was available.
	TryRetry(pool fleet.PoolID) bool
}

// Clock returns the current time.
type Clock func() time.Time

// releasableBytes is the size in bytes from which a body is released once it is sent.
const releasableBytes = 256 << 10

// BodySent tells that the whole body has been handed to the connection to a server.
func (r *Request) BodySent() {
	if r.ReleaseBody == nil || len(r.Body) < releasableBytes || r.Idempotent || r.Resumable || r.MaxRuns != 1 {
		return
	}
	r.Body, r.bodyReleased = nil, true
	r.ReleaseBody()
}
