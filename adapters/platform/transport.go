package platform

import (
	"io"
	"net/http"
	"time"
)

// idleConnTimeout is how long an unused connection to a service stays open.
const idleConnTimeout = 30 * time.Second

// newTransport returns the HTTP transport of both services. It keeps up to maxIdle unused
// connections to each.
func newTransport(maxIdle int) *bodyTransport {
	return &bodyTransport{base: &http.Transport{MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleConnTimeout}}
}

// bodyTransport hides the WriteTo method of request bodies. smithy-go closes a body as soon
// as it has the response headers, and WriteTo of a closed body returns io.EOF. http.Transport
// may still check that the body has no further bytes; it takes that error for a failed write
// and closes the connection while the response is read. Read is not affected.
type bodyTransport struct{ base *http.Transport }

type readOnlyBody struct{ io.ReadCloser }

// RoundTrip implements http.RoundTripper.
func (t *bodyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Body != nil && req.Body != http.NoBody {
		req = req.WithContext(req.Context()) // a RoundTripper must not modify the caller's request
		req.Body = readOnlyBody{req.Body}
	}
	resp, err := t.base.RoundTrip(req)
	if err == nil && req.Method == http.MethodGet && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		resp.Body = unframedBody{resp.Body}
	}
	return resp, err
}

// unframedBody is a body that only the end of the connection ends. It has no end, since an object
// that was cut would be used as a whole one. Responses of the table service need no such check:
// the beginning of a JSON object is not valid JSON.
type unframedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
