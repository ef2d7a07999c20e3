// Package platform implements an in-memory test server for the platform services:
// a table service with the subset of the DynamoDB JSON protocol that the router
// uses, an object store with the S3 operations GET, PUT, DELETE and ListObjectsV2,
// and a membership list. It can inject outages, delays and lost responses.
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

// attribute is a DynamoDB attribute value, keyed by its type: S, N or B.
type attribute map[string]string

type item map[string]attribute

// Fault configures the faults injected into calls.
type Fault struct {
	// Down closes the connection of each call without executing the call.
	Down bool
	// Delay is the delay before each call is executed.
	Delay time.Duration
	// DropReplies is the number of writes whose responses are dropped after the
	// write took effect.
	DropReplies int
}

// Counts holds the number of calls served since the start, by kind.
type Counts struct{ TableReads, TableWrites, ObjectReads, ObjectWrites, ListReads int64 }

// Server serves the platform services. The zero value is not usable; call Start.
type Server struct {
	srv *fasthttp.Server
	ln  net.Listener

	mu      sync.Mutex
	rows    map[string]map[string]item // by partition key, then sort key
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

// Start listens on addr; "127.0.0.1:0" picks a free port.
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

// URL returns the base URL of all three services. The membership list is at
// URL()+"/members".
func (s *Server) URL() string { return "http://" + s.ln.Addr().String() }

// Close shuts the server down.
func (s *Server) Close() { _ = s.srv.Shutdown() }

// SetFault sets the faults injected into subsequent calls.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetMember adds or replaces an instance in the membership list.
func (s *Server) SetMember(instance string, m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[instance] = m
}

// RemoveMember removes an instance from the membership list.
func (s *Server) RemoveMember(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, instance)
}

// Counts returns a snapshot of the call counters.
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

// listObjects serves a ListObjectsV2 call for the bucket in path. The caller must
// hold s.mu.
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
