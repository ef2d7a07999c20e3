package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/httpstatus"
)

var errAnswerSignature = errors.New("peer answer has no valid signature")

// Client calls other instances. It implements the HTTPClient interface of twirp
// clients. It uses fasthttp only to encode and decode messages, and starts no
// goroutine per call.
type Client struct {
	key     KeyProvider
	traffic *Traffic
	conns   pool
	readers sync.Pool // of *bufio.Reader; idle connections hold none
	writers sync.Pool // of *bufio.Writer
}

// NewClient returns a client. Each call takes its deadline from its context. Unless t
// is nil, connections use mutual TLS although URLs have the scheme http.
func NewClient(key KeyProvider, t TLS, traffic *Traffic) *Client {
	return &Client{
		key: key, traffic: traffic, conns: pool{tls: t},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }},
		writers: sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4096) }},
	}
}

// Do signs and sends one call, and verifies the signature of the answer. The response
// has no header fields.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var message []byte
	if req.Body != nil {
		var err error
		if message, err = io.ReadAll(req.Body); err != nil {
			return nil, err
		}
	}
	path := wirePath(req.URL.Path)
	out, in := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	// The server signs the answer with the key of the call, so that instances at
	// different steps of a key rotation can call each other.
	key := c.key.Bytes()
	body := sign(make([]byte, 0, callAuthBytes+len(message)), key, path, message, time.Now())
	auth := body[:callAuthBytes]
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.SetHost(host)
	out.Header.SetNoDefaultContentType(true)
	if t := req.Header.Get("Content-Type"); t != protobufType {
		out.Header.SetContentType(t)
	}
	out.SetRequestURI(path)
	out.SetBodyRaw(append(body, message...))
	c.traffic.Calls.Add(1)
	c.traffic.SentBytes.Add(int64(CallBytes(path, len(message))))
	if err := c.exchange(req.Context(), req.URL.Host, out, in); err != nil {
		return nil, err
	}
	status := httpstatus.Of(&in.Header)
	signed, ok := verifyAnswer(key, auth, status, in.Body())
	if !ok {
		return nil, errAnswerSignature
	}
	c.traffic.ReceivedBytes.Add(int64(AnswerBytes(len(signed))))
	answer := bytes.Clone(signed)
	return &http.Response{
		StatusCode: status, Status: http.StatusText(status), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(answer)), ContentLength: int64(len(answer)), Request: req,
	}, nil
}

// exchange sends a call and reads its answer until ctx is done. A connection is reused
// only if the answer was complete and no bytes follow it.
func (c *Client) exchange(ctx context.Context, addr string, out *fasthttp.Request, in *fasthttp.Response) error {
	cn, err := c.conns.acquire(ctx, addr)
	if err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	if err := cn.SetDeadline(deadline); err != nil {
		_ = cn.Close()
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	reusable, err := c.roundTrip(cn, out, in)
	if !stop() || !reusable {
		_ = cn.Close()
	} else {
		c.conns.release(cn)
	}
	var timeout interface{ Timeout() bool } // fasthttp's timeout error is not a net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(ctx.Err(), context.Canceled):
		return ctx.Err()
	case ctx.Err() != nil, errors.As(err, &timeout) && timeout.Timeout(): // the context's timer may fire after the connection's
		err = context.DeadlineExceeded
	}
	c.conns.drop(addr)
	return err
}

func (c *Client) roundTrip(cn net.Conn, out *fasthttp.Request, in *fasthttp.Response) (reusable bool, err error) {
	bw := c.writers.Get().(*bufio.Writer)
	bw.Reset(cn)
	err = out.Write(bw)
	if err == nil {
		err = bw.Flush()
	}
	bw.Reset(nil)
	c.writers.Put(bw)
	if err != nil {
		return false, err
	}
	br := c.readers.Get().(*bufio.Reader)
	br.Reset(cn)
	err = in.ReadLimitBody(br, maxCallBytes+macBytes)
	reusable = err == nil && br.Buffered() == 0 && !in.ConnectionClose()
	br.Reset(nil)
	c.readers.Put(br)
	return reusable, err
}
