// Package gateway carries one request from parsing to the end of its answer:
// it ranks servers, obtains a permit, claims requests that are not idempotent,
// opens the answer, retries where that is safe, and releases what it took. It
// keeps no state beyond the request; each step is a port with its own owner.
package gateway

import (
	"context"
	"time"

	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// Field is one header field that is passed on to a backend server.
type Field struct{ Name, Value string }

// Request is one caller request after parsing and authentication.
type Request struct {
	// ID is unique for the request; attempts add a suffix to it.
	ID      string
	Account *manifest.Account
	Pool    *manifest.Pool
	// Route is nil for chat requests.
	Route *manifest.Route
	// Chat ranks the servers of the pool.
	Chat   fleet.ChatKey
	Method string
	// Path is the path and query sent to the backend server.
	Path   string
	Fields []Field
	Body   []byte
	// Stream asks for server-sent events.
	Stream bool
	// Idempotent allows retries after bytes may have reached a server.
	Idempotent     bool
	IdempotencyKey string
	// Priority is 0 (lowest) to 9.
	Priority int
	// PromptTokens and OutputTokens are estimates, in tokens.
	PromptTokens, OutputTokens int
	// CachedTokens is the part of the prompt expected in the cache of the first
	// ranked server; Rank sets it. Above 0, the chat may use that server up to
	// the hard load bound.
	CachedTokens int
	Deadline     time.Time
	// Server is the server of the last attempt, nil before the first.
	Server *manifest.Server

	// Host is the host name that the caller asked for; empty means that the backend
	// server's address is sent instead.
	Host string
	// Parts is the chain of prompt parts that requests share.
	Parts []placement.Part
	// Objective is the time to the first part of the answer that counts as on time;
	// 0 means none.
	Objective time.Duration
	// Arrived is when the request was read; zero means that it is not known.
	Arrived time.Time
	// Urgency orders waiting requests, 0 first.
	Urgency int
	// Resumable says that the stream may go on at another server.
	Resumable bool
	// LastEventID is the event after which a stream begins; empty means at the start.
	LastEventID string
	// MaxRuns bounds how many servers may run the request; 0 means maxAttempts.
	MaxRuns int
	// FetchFrom is the address of a server from which the chosen one may fetch what
	// it does not keep of the prompt; empty means none. The Placer sets it.
	FetchFrom string
	// FirstPartTimeout is how long a request that may be repeated waits for the first part of
	// an answer while another server may still be tried; 0 means to the deadline. The
	// Placer sets it.
	FirstPartTimeout time.Duration
	// Recheck, unless nil, is called right before each send. An error from it, with
	// outcome not_run, ends the attempt: what allowed the request may be out of date.
	Recheck func() *result.Error
	// Decisions are the places that were chosen for the request, in order, for the
	// log line of its end. The Placer adds them.
	Decisions []Decision
	// TriedServers are the servers of earlier attempts.
	TriedServers []fleet.ServerID
	// Failover finds another server for a resumed stream, nil when it may not be
	// resumed there. cause ended the run at the server before.
	Failover func(cause error) (*manifest.Server, error)
}

// Decision is the choice of a server with the inputs that decided it.
type Decision struct {
	Server fleet.ServerID
	// Elapsed is the time since the request arrived, Waited the part of it spent in the
	// placement.
	Elapsed, Waited time.Duration
	// Cost and Expected are the server's estimates, Cached and Fetched the prompt
	// tokens that it was believed to keep and to fetch from another one.
	Cost            float64
	ExpectedWait    time.Duration
	Cached, Fetched int
	// Candidates is how many servers could have been chosen.
	Candidates int
	// ConfigVersion is the configuration that was in force and ViewAge the time since the
	// read that confirmed it.
	ConfigVersion uint64
	ConfigAge     time.Duration
	// EndReason is why the attempt did not lead to the answer; empty for the last one.
	EndReason string
}

// Response is an open answer of a backend server. It is used by one goroutine.
type Response interface {
	// Status is the HTTP status.
	Status() int
	// Fields are the header fields to pass on to the caller.
	Fields() []Field
	// Next returns the next part of the body, valid until the following call.
	// It returns io.EOF only after a complete and verified answer, and a
	// *result.Error otherwise.
	Next() ([]byte, error)
	// Close ends the answer; it cancels the request at the server when the
	// answer is not complete. It may be called more than once.
	Close()
}

// Router ranks the servers that may receive a request.
type Router interface {
	// Rank appends the eligible servers to dst, best first.
	Rank(req *Request, dst []*manifest.Server) []*manifest.Server
}

// Placer chooses a server and takes a place there in one step, for pools whose
// ranking follows the load of the moment. It waits while all servers are full.
type Placer interface {
	// Place returns a server that is not among req.Tried, or an error with outcome
	// not_run.
	Place(ctx context.Context, req *Request) (*manifest.Server, Permit, error)
}

// Permit is the right to put one request on one server.
type Permit interface {
	// Opened tells how long the server took to the first part of its answer,
	// which is the first token of a stream.
	Opened(took time.Duration)
	// Release returns the load. It may be called more than once. err says how
	// the attempt ended: nil or io.EOF for an answer that ended well or was
	// closed by the caller.
	Release(err error)
}

// Admitter grants permits.
type Admitter interface {
	// Admit asks for a permit at the ranked servers and returns the index of the
	// one that granted, or an error with outcome not_run. first is false after a
	// failed attempt: the expected cache is then not on ranked[0].
	Admit(ctx context.Context, req *Request, ranked []*manifest.Server, first bool) (int, Permit, error)
}

// Upstream sends a request to a backend server.
type Upstream interface {
	// Open sends the request and waits for the first part of the answer. An
	// error's outcome says whether the request may have run.
	Open(ctx context.Context, srv *manifest.Server, req *Request, attemptID string) (Response, error)
}

// Claimer records requests that are not idempotent before they run.
type Claimer interface {
	// Claim makes the claim durable. It returns a stored answer instead when
	// the key has run before, or an error.
	Claim(ctx context.Context, req *Request) (Claim, Response, error)
	// Lookup tells the state of the request's key without a write. It returns
	// the stored answer, or the error that Claim would give for a key that is
	// held by another attempt. Neither of them means that the key was never
	// claimed or has been freed, if known is true, and that its state could not
	// be found out otherwise.
	Lookup(ctx context.Context, req *Request) (ans Response, known bool, err error)
}

// Claim is a durable claim held by this request.
type Claim interface {
	// Finish records the outcome. A nil err means that the answer was complete;
	// an error with outcome not_run frees the key for another attempt.
	Finish(status int, fields []Field, body []byte, err error)
}

// RetryBudget bounds retries for each pool.
type RetryBudget interface {
	// OnRequest counts a first attempt.
	OnRequest(pool fleet.PoolID)
	// TryRetry takes one retry from the budget and reports whether there was one.
	TryRetry(pool fleet.PoolID) bool
}

// Clock gives the current time.
type Clock func() time.Time
