// Package feed hands followed tables on between instances, so that a few of them
// read the store for all. It owns the connections to the peers and the compressed
// forms of large answers.
package feed

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"cyclamenhitch/adapters/feed/feedpb"
	"cyclamenhitch/core/feedlog"
	"cyclamenhitch/core/freshness"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/store"
)

//go:generate protoc --go_out=feedpb --go_opt=paths=source_relative -I feedpb feed.proto

const (
	// Path is the path of the calls.
	Path = "/feed"
	// maxLongPoll bounds the wait that a caller may ask for.
	maxLongPoll = 30 * time.Second
	// callTimeout bounds a call without its wait.
	callTimeout     = 400 * time.Millisecond
	idleConnTimeout = 10 * time.Second
)

// Server answers other instances from this one's copies.
type Server struct {
	// Log returns the copy of a table, or nil when this instance cannot vouch for it.
	Log func(table string) *feedlog.Log
	// ReadStart returns when this instance began the read of the store that its copy
	// reflects, on the clock of Now.
	ReadStart func(table string) freshness.Instant
	Now       func() freshness.Instant

	responseCache responseCache
}

// Handle serves one call.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	table := string(args.Peek("table"))
	log := s.Log(table)
	if log == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	// What began is read before the rows: they may only be newer than it says.
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
	after, err := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
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

func (s *Server) writeResponse(ctx *fasthttp.RequestCtx, key responseKey, rows []store.Entry, version uint64, readStart freshness.Instant) {
	key.version = version
	m := &feedpb.Changes{}
	if m.Packed = s.responseCache.get(key); m.Packed == nil {
		m.Version = version
		for _, e := range rows {
			m.Rows = append(m.Rows, &feedpb.Row{Key: e.Key, Value: e.Value, Removed: e.Value == nil, Version: e.Version})
		}
		if proto.Size(m) >= minCompressBytes {
			b, err := proto.Marshal(m)
			if err != nil {
				ctx.SetStatusCode(fasthttp.StatusInternalServerError)
				return
			}
			m = &feedpb.Changes{Packed: s.responseCache.compress(key, b)}
		}
	}
	m.AgeMs = uint32((s.Now() - readStart + time.Millisecond - 1) / time.Millisecond)
	b, err := proto.Marshal(m)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}

// Client reads tables from one other instance. It is used by one goroutine.
type Client struct {
	Address string
	// Age is, after a call that succeeded, the time between the begin of the peer's
	// read of the store and its answer.
	Age  time.Duration
	http *fasthttp.Client
}

// Pool makes clients that share their connections.
type Pool struct{ http *fasthttp.Client }

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{&fasthttp.Client{
		MaxIdleConnDuration: idleConnTimeout, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, callTimeout) },
	}}
}

// NewClient returns a client for an instance.
func (p *Pool) NewClient(address string) *Client { return &Client{Address: address, http: p.http} }

// Snapshot reads a whole table.
func (c *Client) Snapshot(_ context.Context, table string) ([]store.Entry, uint64, error) {
	return c.call("table="+table+"&whole=1", callTimeout)
}

// Changes reads the changes after a version and waits for one.
func (c *Client) Changes(_ context.Context, table string, after uint64, wait time.Duration) ([]store.Entry, uint64, error) {
	q := "table=" + table + "&after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	return c.call(q, wait+callTimeout)
}

func (c *Client) call(query string, timeout time.Duration) ([]store.Entry, uint64, error) {
	status, body, err := c.http.GetTimeout(nil, "http://"+c.Address+Path+"?"+query, timeout)
	if err != nil {
		return nil, 0, result.Wrap(result.StoreUnavailable, err, "peer %s", c.Address)
	}
	switch status {
	case fasthttp.StatusOK:
	case fasthttp.StatusGone:
		return nil, 0, store.ErrHistoryTruncated
	default:
		return nil, 0, result.New(result.StoreUnavailable, "peer %s answered status %d", c.Address, status)
	}
	var m feedpb.Changes
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, 0, result.Wrap(result.StoreUnavailable, err, "peer %s", c.Address)
	}
	c.Age = time.Duration(m.AgeMs) * time.Millisecond
	if len(m.Packed) > 0 {
		if err := decompress(m.Packed, &m); err != nil {
			return nil, 0, result.Wrap(result.StoreUnavailable, err, "peer %s", c.Address)
		}
	}
	out := make([]store.Entry, len(m.Rows))
	for i, r := range m.Rows {
		out[i] = store.Entry{Key: r.Key, Version: r.Version}
		if !r.Removed {
			out[i].Value = append([]byte{}, r.Value...)
		}
	}
	return out, m.Version, nil
}
