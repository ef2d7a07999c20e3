// Package httpcall makes short GET calls to peers and backend servers, with limits on their
// time and on the size of the response. A Client owns its connections.
package httpcall

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
	"cyclamenhitch/adapters/sockets"
	"cyclamenhitch/core/budget"
)

// idleTimeout limits the idle time of a connection.
const idleTimeout = 10 * time.Second

// Client is a client for GET calls. It is safe for concurrent use.
type Client struct {
	http        *fasthttp.Client
	descriptors atomic.Pointer[budget.Share]
	// contentType, unless empty, is that of every response; another one is an error.
	contentType string
	// oneCall is set if each call opens a connection of its own.
	oneCall bool
}

// PeerContentType is the content type of the responses of instances to each other, also of
// empty ones. Another program that has taken over an instance's address does not send it.
const PeerContentType = "application/vnd.cyclamenhitch.peer"

// ErrForeign is the error of a response that is not known to be an instance's.
var ErrForeign = errors.New("response is not known to be an instance's")

// New returns a client. maxResponse limits the body of a response in bytes, connectTimeout
// a connect. It opens no connections.
func New(maxResponse int, connectTimeout time.Duration) *Client {
	c := &Client{}
	c.http = &fasthttp.Client{
		MaxIdleConnDuration: idleTimeout, MaxResponseBodySize: maxResponse, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		Dial: func(addr string) (net.Conn, error) {
			return sockets.Dial(c.descriptors.Load(), nil, func() (net.Conn, error) { return fasthttp.DialTimeout(addr, connectTimeout) })
		},
	}
	return c
}

// NewUnpooled returns a client like New that opens a connection for each call, so that a call
// shows whether a process listens at the address now.
func NewUnpooled(maxResponse int, connectTimeout time.Duration) *Client {
	c := New(maxResponse, connectTimeout)
	c.oneCall = true
	return c
}

// NewOver returns a client like NewUnpooled whose connections dial opens, to a host:port address.
func NewOver(maxResponse int, dial func(addr string) (net.Conn, error)) *Client {
	c := NewUnpooled(maxResponse, 0)
	c.http.Dial = dial
	return c
}

// NewForPeers returns a client like New whose responses must have PeerContentType and a length
// or chunks: the beginning of an encoded message may be a valid message with fewer rows.
func NewForPeers(maxResponse int, connectTimeout time.Duration) *Client {
	c := New(maxResponse, connectTimeout)
	c.contentType = PeerContentType
	dial := c.http.Dial
	c.http.Dial = func(addr string) (net.Conn, error) {
		nc, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return framedConn{nc}, nil
	}
	return c
}

// framedConn is a connection whose end does not end a response.
type framedConn struct{ net.Conn }

// Read implements net.Conn.
func (c framedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// SetDescriptors makes each new connection take a descriptor of share.
func (c *Client) SetDescriptors(share *budget.Share) { c.descriptors.Store(share) }

// Get returns the status and the body of a response that is complete within timeout. When
// it returns, nothing is read any more: the library's own Get goes on after a timeout until
// the response ends. A response of another protocol version is an error.
func (c *Client) Get(url string, timeout time.Duration) (status int, body []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if c.oneCall {
		req.SetConnectionClose()
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil, err
	}
	if err := httpstatus.CheckHeader(&resp.Header); err != nil {
		return 0, nil, err
	}
	if c.contentType != "" && string(resp.Header.ContentType()) != c.contentType {
		return 0, nil, ErrForeign
	}
	return httpstatus.Of(&resp.Header), bytes.Clone(resp.Body()), nil
}
