// Package feed serves replicated tables to other instances, so that only a few
// instances read the store. It owns the connections to peers and a cache of compressed
// responses.
package feed

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/feed/feedpb"
	"cyclamenhitch/adapters/httpcall"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

//go:generate protoc --go_out=feedpb --go_opt=paths=source_relative -I feedpb feed.proto

const (
	// Path is the URL path of the feed endpoint.
	Path = "/feed"
	// maxLongPoll limits how long a request may wait for changes.
	maxLongPoll = 30 * time.Second
	// callTimeout limits a call, not counting the time it waits for changes.
	callTimeout = 400 * time.Millisecond
	// maxResponseBytes limits a response of a peer. A configuration of 1,300 routes takes
	// 320 KB before compression.
	maxResponseBytes = 8 << 20
)

// Server serves this instance's replicas to other instances.
type Server struct {
	// Log returns the replica of a table, or nil if the replica may be out of date.
	Log func(table string) *feedlog.Log
	// ReadStart returns the start time, on the clock of Now, of the store read that the
	// replica of a table reflects.
	ReadStart func(table string) freshness.Instant
	Now       func() freshness.Instant
	// Refresh, unless nil, confirms the replica of a table by a read of the store that begins
	// now, if that is possible within a call.
	Refresh func(table string)
	// Extra, unless nil, returns the rows of further tables, which are no replicas of the
	// store's and can only be read as a whole. known is false for other names; rows is nil
	// while they cannot be served.
	Extra func(table string) (rows []store.Entry, known bool)

	responseCache responseCache
}

// Handle serves one snapshot or long-poll request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(httpcall.PeerContentType)
	args := ctx.QueryArgs()
	table := string(args.Peek("table"))
	if s.Extra != nil {
		if rows, known := s.Extra(table); known {
			s.writeExtra(ctx, rows)
			return
		}
	}
	log := s.Log(table)
	if log == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	// The start time is taken before the rows, so that the reported age is never less
	// than the age of the rows.
	readStart := s.ReadStart(table)
	if args.Has("whole") {
		rows, version, known := log.Snapshot()
		if !known {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		s.writeResponse(ctx, responseKey{table: table, snapshot: true}, rows, version, readStart)
		return
	}
	after, ok := parseVersion(args, log)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if s.Refresh != nil && args.Has("fresh") {
		s.Refresh(table)
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	timer := time.NewTimer(min(wait, maxLongPoll))
	defer timer.Stop()
	for expired := false; ; {
		readStart = s.ReadStart(table)
		rows, version, changed, err := log.Since(after)
		if err != nil {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		if len(rows) > 0 || expired {
			s.writeResponse(ctx, responseKey{table: table, after: after}, rows, version, readStart)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		}
	}
}

// parseVersion returns the version after which changes are requested. Instances of earlier
// builds state no era: they get the changes of the replica's, as before.
func parseVersion(args *fasthttp.Args, log *feedlog.Log) (store.Version, bool) {
	number, err := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	if err != nil || !args.Has("era") {
		return store.Version{Era: log.Era(), Number: number}, err == nil
	}
	era, err := strconv.ParseUint(string(args.Peek("era")), 10, 64)
	return store.Version{Era: era, Number: number}, err == nil
}

// writeExtra responds with rows that are no replica of a table.
func (s *Server) writeExtra(ctx *fasthttp.RequestCtx, rows []store.Entry) {
	if rows == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	b, err := proto.Marshal(changesOf(rows))
	if err == nil && len(b) >= minCompressBytes {
		b, err = proto.Marshal(&feedpb.Changes{Packed: encoder().EncodeAll(b, nil)})
	}
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

func changesOf(rows []store.Entry) *feedpb.Changes {
	m := &feedpb.Changes{}
	for _, e := range rows {
		m.Rows = append(m.Rows, &feedpb.Row{Key: e.Key, Value: e.Value, Removed: e.Value == nil, Version: e.Version})
	}
	return m
}

func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, key responseKey, rows []store.Entry, version store.Version, readStart freshness.Instant) {
	key.version = version
	m := &feedpb.Changes{}
	if m.Packed = s.responseCache.get(key); m.Packed == nil {
		m = changesOf(rows)
		m.Version = version.Number
		if proto.Size(m) >= minCompressBytes {
			b, err := proto.Marshal(m)
			if err != nil {
				ctx.SetStatusCode(fasthttp.StatusInternalServerError)
				return
			}
			m = &feedpb.Changes{Packed: s.responseCache.compress(key, b)}
		}
	}
	m.Era = version.Era
	m.AgeMs = uint32((s.Now() - readStart + time.Millisecond - 1) / time.Millisecond)
	b, err := proto.Marshal(m)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// Client reads tables from one peer. It is not safe for concurrent use.
type Client struct {
	Address string
	// Age is the time from the start of the peer's store read to its response, as of the
	// last successful call.
	Age  time.Duration
	http *httpcall.Client
}

// Pool creates clients that share connections.
type Pool struct{ http *httpcall.Client }

// NewPool returns a pool. It opens no connections.
func NewPool() *Pool {
	return &Pool{httpcall.NewForPeers(maxResponseBytes, callTimeout)}
}

// SetDescriptors makes each new connection take a descriptor of share.
func (p *Pool) SetDescriptors(share *budget.Share) { p.http.SetDescriptors(share) }

// NewClient returns a client for the instance at a host:port address.
func (p *Pool) NewClient(address string) *Client { return &Client{Address: address, http: p.http} }

// Snapshot reads a whole table.
func (c *Client) Snapshot(_ context.Context, table string) ([]store.Entry, store.Version, error) {
	return c.call("table="+table+"&whole=1", callTimeout)
}

// Changes reads the changes after a version. Without any, it waits up to wait for one.
func (c *Client) Changes(_ context.Context, table string, after store.Version, wait time.Duration) ([]store.Entry, store.Version, error) {
	q := "table=" + table + "&after=" + strconv.FormatUint(after.Number, 10) + "&era=" + strconv.FormatUint(after.Era, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.call(q, wait+callTimeout)
}

// FreshChanges reads the changes after a version without waiting for one. The peer confirms its
// copy first; Age tells whether it could.
func (c *Client) FreshChanges(table string, after store.Version) ([]store.Entry, store.Version, error) {
	return c.call("table="+table+"&after="+strconv.FormatUint(after.Number, 10)+"&era="+strconv.FormatUint(after.Era, 10)+"&fresh=1", callTimeout)
}

func (c *Client) call(query string, timeout time.Duration) ([]store.Entry, store.Version, error) {
	status, body, err := c.http.Get("http://"+c.Address+Path+"?"+query, timeout)
	if err != nil {
		return nil, store.Version{}, result.Wrap(result.StoreUnavailable, err, "feed request to peer %s failed", c.Address)
	}
	switch status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return nil, store.Version{}, store.ErrHistoryTruncated
	default:
		return nil, store.Version{}, result.New(result.StoreUnavailable, "peer %s answered status %d", c.Address, status)
	}
	var m feedpb.Changes
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, store.Version{}, result.Wrap(result.StoreUnavailable, err, "response of peer %s cannot be decoded", c.Address)
	}
	c.Age = time.Duration(m.AgeMs) * time.Millisecond
	era := m.Era // decoding resets the message
	if len(m.Packed) > 0 {
		if err := decompress(m.Packed, &m); err != nil {
			return nil, store.Version{}, result.Wrap(result.StoreUnavailable, err, "response of peer %s cannot be decompressed", c.Address)
		}
	}
	out := make([]store.Entry, len(m.Rows))
	for i, r := range m.Rows {
		out[i] = store.Entry{Key: r.Key, Version: r.Version}
		if !r.Removed {
			out[i].Value = append([]byte{}, r.Value...)
		}
	}
	return out, store.Version{Era: era, Number: m.Version}, nil
}
