package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpcall"
	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/fleet"
)

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	// Instance is the name of this instance, which peers log.
	Instance fleet.InstanceID
	// ConnectTimeout limits the connect to a peer; the peer's answer may take as long, and
	// answerMargin more. Default 1 s.
	ConnectTimeout time.Duration
	// KeepAlive is the TCP keep-alive configuration of the connection to a peer.
	KeepAlive net.KeepAliveConfig
	// UserTimeout is the TCP user timeout of that connection. 0 selects the system default.
	// Linux only.
	UserTimeout time.Duration
	// Descriptors is taken by each tunnel; nil means no limit.
	Descriptors *budget.Share
	// Relieve, unless nil, frees a descriptor, and reports whether it did.
	Relieve func() bool

	// Opened and Failed count the tunnels that were opened, and those that could not be.
	Opened, Failed atomic.Int64
}

// Dial opens a tunnel to a server through a peer, which is a host:port address. Errors are of
// type *Error, or wrap sockets.ErrNoDescriptor or the error of ctx; no byte of a request has been
// sent then. Reads from the connection return io.EOF only if the server ended its output in order after it had received all that
// was written; other ends are errors that wrap syscall.ECONNRESET.
func (d *Dialer) Dial(ctx context.Context, peer string, server fleet.ServerID) (net.Conn, error) {
	c, err := d.dial(ctx, peer, server)
	if err == nil {
		d.Opened.Add(1)
		return c, nil
	}
	d.Failed.Add(1)
	if ctx.Err() != nil {
		return nil, fmt.Errorf("tunnel to server %s through %s: %w", server, peer, ctx.Err())
	}
	return nil, err
}

func (d *Dialer) dial(ctx context.Context, peer string, server fleet.ServerID) (*conn, error) {
	timeout := d.ConnectTimeout
	if timeout == 0 {
		timeout = defaultConnectTimeout
	}
	nd := net.Dialer{Timeout: timeout, KeepAliveConfig: d.KeepAlive}
	if d.UserTimeout > 0 {
		nd.Control = func(_, _ string, raw syscall.RawConn) error { return sockets.SetUserTimeout(raw, d.UserTimeout) }
	}
	nc, err := sockets.Dial(d.Descriptors, d.Relieve, func() (net.Conn, error) {
		nc, err := nd.DialContext(ctx, "tcp", peer)
		if tc, ok := nc.(*net.TCPConn); ok {
			_ = tc.SetReadBuffer(budget.ReceiveBuffer) // fails for a closed connection, which the write tells
		}
		return nc, err
	})
	switch {
	case errors.Is(err, sockets.ErrNoDescriptor):
		return nil, err
	case err != nil:
		return nil, &Error{Reason: PeerUnreachable, Peer: peer, Server: server, Detail: err}
	}
	c, err := d.open(ctx, nc, peer, server, timeout)
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	return c, nil
}

// open asks the peer for the server's connection and waits for its answer.
func (d *Dialer) open(ctx context.Context, nc net.Conn, peer string, server fleet.ServerID, timeout time.Duration) (*conn, error) {
	if err := nc.SetDeadline(time.Now().Add(timeout + answerMargin)); err != nil {
		return nil, &Error{Reason: PeerUnreachable, Peer: peer, Server: server, Detail: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	_, err := fmt.Fprintf(nc, "GET %s?%s=%s&%s=%s HTTP/1.1\r\nHost: %s\r\n\r\n",
		Path, queryServer, url.QueryEscape(string(server)), queryFrom, url.QueryEscape(string(d.Instance)), peer)
	if err != nil {
		return nil, &Error{Reason: PeerUnreachable, Peer: peer, Server: server, Detail: err}
	}
	head, rest, err := readHead(nc)
	switch {
	case errors.Is(err, httpcall.ErrForeign):
		return nil, &Error{Reason: PeerForeign, Peer: peer, Server: server, Detail: err}
	case err != nil:
		return nil, &Error{Reason: PeerUnreachable, Peer: peer, Server: server, Detail: err}
	}
	if reason, address, err := checkHead(head, server); reason != "" {
		return nil, &Error{Reason: reason, Peer: peer, Server: server, Address: address, Detail: err}
	}
	if !stop() {
		return nil, ctx.Err()
	}
	if err := nc.SetDeadline(time.Time{}); err != nil {
		return nil, &Error{Reason: PeerUnreachable, Peer: peer, Server: server, Detail: err}
	}
	return newConn(nc, rest)
}

// readHead reads the header of a response. rest is what was read after it.
func readHead(nc net.Conn) (head, rest []byte, err error) {
	buf := make([]byte, maxHeadBytes)
	for n := 0; ; {
		m, err := nc.Read(buf[n:])
		n += m
		if before, after, found := bytes.Cut(buf[:n], []byte("\r\n\r\n")); found {
			return buf[:len(before)+4], bytes.Clone(after), nil
		}
		switch {
		case err == io.EOF && n == 0:
			return nil, nil, errNoAnswer
		case err == io.EOF || n == len(buf):
			return nil, nil, httpcall.ErrForeign
		case err != nil:
			return nil, nil, err
		}
	}
}

var errNoAnswer = errors.New("the connection was closed without an answer")

// checkHead returns an empty reason if the header opens a tunnel to the server, and otherwise the address
// that the peer could not connect to, if it states one.
func checkHead(head []byte, server fleet.ServerID) (reason Reason, address string, err error) {
	var h fasthttp.ResponseHeader
	err = h.Read(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err == nil {
		err = httpstatus.CheckHeader(&h)
	}
	if err != nil || string(h.ContentType()) != httpcall.PeerContentType {
		return PeerForeign, "", errors.Join(httpcall.ErrForeign, err)
	}
	status := httpstatus.Of(&h)
	switch result := string(h.Peek(resultHeader)); Reason(result) {
	case resultOpen:
		if status != fasthttp.StatusOK || string(h.Peek(serverHeader)) != url.QueryEscape(string(server)) {
			return PeerForeign, "", fmt.Errorf("%w: status %d, server %.200q", httpcall.ErrForeign, status, h.Peek(serverHeader))
		}
		return "", "", nil
	case PeerFull, PeerNoLink, ServerUnknown, ServerRefused, ServerSilent, ServerFailed:
		return Reason(result), string(h.Peek(addressHeader)), nil
	default:
		return PeerUnsupported, "", fmt.Errorf("status %d, result %.200q", status, result)
	}
}
