package edge

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/core/fleet"
	"cyclamenhitch/core/gateway"
	"cyclamenhitch/core/result"
)

// originStore knows at which software versions streams began.
type originStore interface {
	// started records that a stream began at a server.
	started(now time.Time, req *gateway.Request, server fleet.ServerID, version string)
	// origin returns the version at which the stream of an earlier request began. Without an
	// ID it is known only if a single version can have begun the stream.
	origin(ctx context.Context, req *gateway.Request, streamID string) (version string, known bool)
	// doubtful reports whether what was learned since a stream began here contradicts its version.
	doubtful(req *gateway.Request) bool
	// retryAfter is the time after which the origin of a stream may be known that is not now.
	retryAfter() time.Duration
}

// entryLag is the time after its first answers within which the entry of a server that has
// started again reaches the instances, unless the store is away.
const entryLag = time.Second

// entryPollInterval is the time between two looks for the entry of a server that has started again.
const entryPollInterval = 20 * time.Millisecond

// streamVersions keeps streams at the software version at which they began. All methods do
// nothing on nil.
type streamVersions struct {
	pools   atomic.Pointer[map[fleet.PoolID]*poolVersions]
	origins originStore
	meters  *meters
	log     *zap.Logger
}

// serverStart is what a server's entry says of its process. A server may start again under its
// ID with another version.
type serverStart struct {
	startMillis int64
	version     string
	// out is set if the server gets no new requests.
	out bool
	// restartedAt is when the entry replaced that of an earlier start; zero if it did not.
	restartedAt time.Time
}

// poolVersions are the servers of a pool. It does not change once it is published.
type poolVersions struct {
	servers map[fleet.ServerID]serverStart
	// single is set if all servers have the version only, which may be empty.
	single bool
	only   string
}

// setServers publishes the servers of all pools.
func (s *streamVersions) setServers(pools map[fleet.PoolID]*poolVersions) {
	if s != nil {
		s.pools.Store(&pools)
	}
}

func newPoolVersions() *poolVersions {
	return &poolVersions{servers: map[fleet.ServerID]serverStart{}, single: true}
}

// add adds a server to a pool that is not published yet.
func (p *poolVersions) add(id fleet.ServerID, start serverStart) {
	if len(p.servers) == 0 {
		p.only = start.version
	}
	p.single = p.single && start.version == p.only
	p.servers[id] = start
}

var noVersions = newPoolVersions()

// pool returns the servers of a pool as last published.
func (s *streamVersions) pool(id fleet.PoolID) *poolVersions {
	if all := s.pools.Load(); all != nil && (*all)[id] != nil {
		return (*all)[id]
	}
	return noVersions
}

// lookUp determines the version of a stream that began in an earlier response.
func (s *streamVersions) lookUp(ctx context.Context, req *gateway.Request) *result.Error {
	if s == nil || req.LastEventID == "" || req.Origin.Begun {
		return nil
	}
	version, known := s.origins.origin(ctx, req, req.Resumes)
	if ctx.Err() != nil {
		return result.Wrap(result.CallerGone, ctx.Err(), "the caller left while the version of its stream was looked up").WithOutcome(result.NotRun)
	}
	if !known {
		req.Origin.Source = gateway.OriginNotFound
		return s.originUnknown("it is not known at which version stream %.100q began", req.Resumes)
	}
	req.Origin = gateway.Origin{Begun: true, Known: true, Version: version, Source: gateway.OriginLookedUp}
	return nil
}

func (s *streamVersions) originUnknown(format string, args ...any) *result.Error {
	return result.New(result.StreamOriginUnknown, format, args...).WithRetryAfter(s.origins.retryAfter())
}

// filter returns which servers may not continue the stream of a request, nil if all may or if
// no stream has begun. It returns an error if none may.
func (s *streamVersions) filter(req *gateway.Request) (func(fleet.ServerID) bool, *result.Error) {
	if s == nil || !req.Origin.Begun {
		return nil, nil
	}
	p, version := s.pool(req.Pool.Name), req.Origin.Version
	if !req.Origin.Known || version == "" && !p.single || p.restartedAround(req.Origin) || req.Resuming && s.origins.doubtful(req) {
		return nil, s.originUnknown("it is not known at which version the stream began")
	}
	matching, taking := 0, 0
	for _, server := range p.servers {
		if server.version != version {
			continue
		}
		matching++
		if !server.out {
			taking++
		}
	}
	switch {
	case p.single && matching > 0:
		return nil, nil
	case taking == 0 && len(p.servers) > 0:
		return nil, result.New(result.StreamVersionGone, "the last server of version %q, at which the stream began, has left", version)
	}
	return func(id fleet.ServerID) bool {
		server, ok := p.servers[id]
		return !ok || server.version != version
	}, nil
}

// restartedAround reports whether the server of a first event may have been a process of another
// version, whose entry arrived after the event.
func (p *poolVersions) restartedAround(o gateway.Origin) bool {
	now, listed := p.servers[o.Server]
	return listed && now.version != o.Version && !now.restartedAt.Before(o.At) && now.restartedAt.Sub(o.At) < entryLag
}

// mayContinue reports whether a candidate may continue the stream of a request. Servers may have
// been published since the filter was made.
func (s *streamVersions) mayContinue(req *gateway.Request, id fleet.ServerID) bool {
	if s == nil || !req.Origin.Begun {
		return true
	}
	server, ok := s.pool(req.Pool.Name).servers[id]
	return ok && server.version == req.Origin.Version
}

// versionedAttempt is an attempt at a server, for the version at which its stream begins.
type versionedAttempt struct {
	versions *streamVersions
	req      *gateway.Request
	server   fleet.ServerID
	start    serverStart
	listed   bool
}

// selected returns the attempt at a server that was just selected.
func (s *streamVersions) selected(req *gateway.Request, id fleet.ServerID) versionedAttempt {
	if s == nil || !req.Stream || !req.Resumable {
		return versionedAttempt{}
	}
	a := versionedAttempt{versions: s, req: req, server: id}
	a.start, a.listed = s.pool(req.Pool.Name).servers[id]
	req.CheckServer, req.ConfirmServer = nil, nil
	if req.Origin.Begun {
		req.ConfirmServer = func(ctx context.Context, startMillis int64) *result.Error { return a.confirm(ctx, startMillis) }
		req.CheckServer = func() *result.Error {
			if version, known := a.version(); !known || version != req.Origin.Version {
				return s.originUnknown("server %s may have started again with another version", id).WithOutcome(result.Unknown)
			}
			return nil
		}
	}
	return a
}

// confirm waits until the entry of the server states the given start, and returns an error if it does
// not in time, or has another version than the stream that is to be continued. A start of 0 means that
// the server did not answer; its entry counts then unless several versions serve.
func (a *versionedAttempt) confirm(ctx context.Context, startMillis int64) *result.Error {
	ctx, cancel := context.WithTimeout(ctx, entryLag)
	defer cancel()
	for {
		p := a.versions.pool(a.req.Pool.Name)
		now, listed := p.servers[a.server]
		if !listed { // it is leaving
			now = a.start
		}
		switch {
		case startMillis == 0 && p.single:
			return nil
		case startMillis == 0:
			return a.versions.originUnknown("server %s did not answer, so that its version is unknown", a.server)
		case now.startMillis == 0: // nor does its entry
			return nil
		case now.startMillis == startMillis && now.version == a.req.Origin.Version:
			a.start = now
			return nil
		case now.startMillis == startMillis:
			return a.versions.originUnknown("server %s has started again with another version", a.server)
		}
		select {
		case <-ctx.Done():
			return a.versions.originUnknown("the entry of server %s does not state the start that its report states", a.server)
		case <-time.After(entryPollInterval):
		}
	}
}

// version returns the version of the server that sent the first event just now. It is unknown
// if the server's entry has changed since the server was selected, unless all servers have one
// version.
func (a versionedAttempt) version() (version string, known bool) {
	p := a.versions.pool(a.req.Pool.Name)
	now, listed := p.servers[a.server]
	switch {
	case !listed: // it is leaving
		return a.start.version, a.listed
	case p.single && (!a.listed || now.version == a.start.version):
		return now.version, true
	}
	return now.version, a.listed && now.startMillis == a.start.startMillis && now.version == a.start.version
}

// opened records that the first event has arrived.
func (a versionedAttempt) opened(now time.Time) {
	s := a.versions
	if s == nil {
		return
	}
	if !a.req.Origin.Begun {
		version, known := a.version()
		a.req.Origin = gateway.Origin{Begun: true, Known: known, Version: version, Server: a.server, At: now, Source: gateway.OriginObserved}
		if !known {
			a.req.Origin.Source = gateway.OriginChanged
			s.log.Info("version of a stream is unknown", zap.String(logging.FieldRequest, a.req.ID), zap.String(logging.FieldServer, string(a.server)),
				zap.String("selected", a.start.version), zap.Bool("listed", a.listed), zap.String("now", version))
		}
	}
	if !a.req.Origin.Known {
		return
	}
	s.origins.started(now, a.req, a.server, a.req.Origin.Version)
	if a.req.LastEventID != "" && a.req.Resumes != "" {
		first := *a.req
		first.ID = a.req.Resumes
		s.origins.started(now, &first, a.server, a.req.Origin.Version)
	}
}

// Kinds of continuations in the metrics.
const (
	takenUp = "taken_up" // by the caller, with another request
	resumed = "resumed"  // by the instance, within the response
)

// placed counts the end of the placement of a stream that had begun. A take-up is counted once,
// not for each further attempt.
func (s *streamVersions) placed(req *gateway.Request, err error) {
	kind := takenUp
	switch {
	case s == nil || !req.Resuming && (req.LastEventID == "" || len(req.TriedServers) > 0):
		return
	case req.Resuming:
		kind = resumed
	}
	outcome := "sent"
	if err != nil {
		outcome = result.As(err).Code.Info().Name
		if req.Resuming {
			s.log.Info("stream not resumed", zap.String(logging.FieldRequest, req.ID), zap.String("stream_version", req.Origin.Version),
				zap.Bool("version_known", req.Origin.Known), zap.Error(err))
		}
	}
	s.meters.streamsContinued.Add(kind+"/"+outcome, 1)
}
