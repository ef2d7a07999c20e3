// Package platform is a small stand-in of the platform: a table service that
// speaks the subset of the DynamoDB JSON protocol that the router uses, an
// object store that speaks GET, PUT, DELETE and ListObjectsV2 of S3, and a membership list. It keeps
// everything in memory, and injects outages, delays and lost replies.
package platform

import (
	"encoding/json"
	"html"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// attribute is one DynamoDB attribute value; only S, N and B are used.
type attribute map[string]string

type item map[string]attribute

// Fault is the behaviour of the stand-in for the next calls.
type Fault struct {
	// Down closes the connection of each call without an effect.
	Down bool
	// Delay is added before each call.
	Delay time.Duration
	// DropReplies drops the replies of this many writes after they took effect.
	DropReplies int
}

// Counts are the calls served since the start.
type Counts struct{ TableReads, TableWrites, ObjectReads, ObjectWrites, ListReads int64 }

// Server is the stand-in. The zero value is not usable; call Start.
type Server struct {
	srv *fasthttp.Server
	ln  net.Listener

	mu      sync.Mutex
	rows    map[string]map[string]item // partition, sort
	objects map[string][]byte
	members map[string]Member
	fault   Fault

	tableReads, tableWrites, objectReads, objectWrites, listReads atomic.Int64
}

// Member is one entry of the membership list.
type Member struct {
	Target string
	Labels map[string]string
}

// Start listens on addr ("127.0.0.1:0" picks a port).
func Start(addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, rows: map[string]map[string]item{}, objects: map[string][]byte{}, members: map[string]Member{}}
	s.srv = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 64 << 20, NoDefaultServerHeader: true}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// URL is the base URL of all three services; the list is at URL()+"/members".
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Close stops the stand-in.
func (s *Server) Close() { _ = s.srv.Shutdown() }

// SetFault changes the behaviour of the next calls.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetMember adds or replaces an entry of the membership list.
func (s *Server) SetMember(instance string, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[instance] = m
}

// RemoveMember removes an entry of the membership list.
func (s *Server) RemoveMember(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, instance)
}

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	return Counts{s.tableReads.Load(), s.tableWrites.Load(), s.objectReads.Load(), s.objectWrites.Load(), s.listReads.Load()}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		dropConnection(ctx)
		return
	}
	target := string(ctx.Request.Header.Peek("X-Amz-Target"))
	write := ctx.IsPut() || ctx.IsDelete()
	switch {
	case target != "":
		_, op, _ := strings.Cut(target, ".")
		write = op == "PutItem" || op == "DeleteItem"
		s.handleTable(ctx, op)
	case string(ctx.Path()) == "/members":
		s.handleMembers(ctx)
	default:
		s.handleObject(ctx)
	}
	if write && s.consumeDroppedReply() {
		dropConnection(ctx)
	}
}

func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (s *Server) consumeDroppedReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.DropReplies == 0 {
		return false
	}
	s.fault.DropReplies--
	return true
}

func (s *Server) handleMembers(ctx *fasthttp.RequestCtx) {
	s.listReads.Add(1)
	type group struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	s.mu.Lock()
	groups := make([]group, 0, len(s.members))
	for _, m := range s.members {
		groups = append(groups, group{[]string{m.Target}, m.Labels})
	}
	s.mu.Unlock()
	sort.Slice(groups, func(i, j int) bool { return groups[i].Targets[0] < groups[j].Targets[0] })
	writeJSON(ctx, 200, groups)
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx) {
	name := string(ctx.Path())
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.IsPut() {
		s.objectWrites.Add(1)
		s.objects[name] = append([]byte(nil), ctx.PostBody()...)
		ctx.Response.Header.Set("ETag", `"0"`)
		return
	}
	if ctx.IsDelete() {
		s.objectWrites.Add(1)
		delete(s.objects, name)
		ctx.SetStatusCode(204)
		return
	}
	s.objectReads.Add(1)
	if args := ctx.QueryArgs(); args.Has("list-type") {
		limit, _ := args.GetUint("max-keys") // -1 when absent
		s.listObjects(ctx, name, string(args.Peek("prefix")), string(args.Peek("start-after")), limit)
		return
	}
	body, ok := s.objects[name]
	if !ok {
		ctx.SetStatusCode(404)
		ctx.SetContentType("application/xml")
		ctx.SetBodyString(`<?xml version="1.0"?><Error><Code>NoSuchKey</Code><Message>no such key</Message></Error>`)
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(body)
}

// listObjects answers a ListObjectsV2 call for the bucket in path. The caller
// holds the lock.
func (s *Server) listObjects(ctx *fasthttp.RequestCtx, path, prefix, after string, limit int) {
	bucket := strings.TrimSuffix(path, "/") + "/"
	var names []string
	for name := range s.objects {
		if key, ok := strings.CutPrefix(name, bucket); ok && strings.HasPrefix(key, prefix) && key > after {
			names = append(names, key)
		}
	}
	sort.Strings(names)
	truncated := limit >= 0 && len(names) > limit
	if truncated {
		names = names[:limit]
	}
	ctx.SetContentType("application/xml")
	ctx.SetBodyString("<ListBucketResult><IsTruncated>" + strconv.FormatBool(truncated) + "</IsTruncated>")
	for _, n := range names {
		ctx.Response.AppendBodyString("<Contents><Key>" + html.EscapeString(n) + "</Key></Contents>")
	}
	ctx.Response.AppendBodyString("</ListBucketResult>")
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = 500, nil
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/x-amz-json-1.0")
	ctx.SetBody(body)
}
