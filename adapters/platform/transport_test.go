package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// lateWriteConn holds back the return of the write that ends a request until the client
// reads the response body. That read waits until the client has handled the write.
type lateWriteConn struct {
	net.Conn
	bodyRead chan struct{}
	reads    int
}

func (c *lateWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if bytes.HasSuffix(p, []byte("}")) {
		<-c.bodyRead
	}
	return n, err
}

func (c *lateWriteConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		close(c.bodyRead)
		synctest.Wait()
	}
	return c.Conn.Read(p)
}

// Guards against closing a connection whose response arrives before the request's write returns.
func TestResponseBeforeEndOfWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer server.Close()
		s := NewStore(Config{
			TableURL: "http://table.test", TableName: "t", ObjectsURL: "http://objects.test", Bucket: "b",
			AccessKeyID: "router", SecretKey: testSecret, CallTimeout: time.Minute, MaxConcurrent: 1,
		})
		transport := s.table.Options().HTTPClient.(*http.Client).Transport.(*bodyTransport).base
		defer transport.CloseIdleConnections()
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return &lateWriteConn{Conn: client, bodyRead: make(chan struct{})}, nil
		}
		var wg sync.WaitGroup
		wg.Go(func() { serveQuery(server, 100) })
		rows, err := s.Query(context.Background(), "p", "", 100)
		if err != nil || len(rows) != 100 {
			t.Errorf("%d rows, %v", len(rows), err)
		}
		server.Close()
		wg.Wait()
	})
}

// serveQuery answers one request with the given number of rows, more than fit into the
// client's read buffer.
func serveQuery(conn net.Conn, rows int) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	item := `{"pk":{"S":"p"},"sk":{"S":"` + strings.Repeat("0", 100) + `"},"ver":{"N":"1"}}`
	body := `{"Items":[` + strings.Repeat(item+",", rows-1) + item + `]}`
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/x-amz-json-1.0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
