package httpapi

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cyclamenhitch/core/budget"
	"cyclamenhitch/core/result"
)

// Guards against a body that is read for a key that is refused anyway, and against a refusal
// that the caller can't read.
func TestKeyIsCheckedBeforeBody(t *testing.T) {
	addr, bodies, _, _, _ := startWithBodies(t, 0)
	for _, head := range []string{"Content-Length: 4000000\r\n", "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n"} {
		resp, _, _ := exchange(t, addr, "POST /x HTTP/1.1\r\nHost: r\r\nAuthorization: unknown\r\n"+head+"\r\n")
		if resp.StatusCode != http.StatusUnauthorized || !resp.Close {
			t.Errorf("%q: status %d, close %v", head, resp.StatusCode, resp.Close)
		}
	}
	if bodies.Highest() != 0 {
		t.Errorf("%d bytes were taken", bodies.Highest())
	}
}

// Guards against a stalled body that keeps its room, also one that is sent byte by byte, and
// against another answer than that the request was not run.
func TestStalledBodyEnds(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes, l.Bodies = 4<<20, budget.NewBodies(bodyBudget)
	l.BodyPace = budget.Pace{Bytes: 64 << 10, Window: 50 * time.Millisecond, Pressed: 50 * time.Millisecond}
	addr := serve(t, &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: testFrontend{}}, l)
	for _, head := range []string{"Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\nfffff\r\n"} {
		for _, drip := range []bool{false, true} {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			_, _ = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: r\r\n"+head+strings.Repeat("x", 100_000))
			go func() {
				for err := error(nil); drip && err == nil; time.Sleep(time.Millisecond) {
					_, err = io.WriteString(c, "x")
				}
			}()
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("%q, drip %v: %+v, %v", head, drip, resp, err)
			}
		}
	}
	awaitEmpty(t, l.Bodies)
}

// Guards against bytes that are lost or passed on twice between a body that is read here and
// the request that follows it, and against a caller that waits for 100 Continue in vain.
func TestRequestsAfterBodies(t *testing.T) {
	addr, _, started, _, _ := startWithBodies(t, 0)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	const post = "POST /x HTTP/1.1\r\nHost: r\r\n"
	var all strings.Builder
	sizes := []int{3, 0, 20_000, 100_000, 1, 5}
	for i, n := range sizes {
		body := strings.Repeat("\n", n)
		switch {
		case i%2 == 1:
			fmt.Fprintf(&all, "%sContent-Length: %d\r\n\r\n%s", post, n, body)
		default:
			fmt.Fprintf(&all, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", post, n, body)
		}
	}
	go func() { _, _ = io.WriteString(c, all.String()) }()
	r := bufio.NewReader(c)
	answer := func(want int) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	for _, n := range sizes {
		answer(http.StatusOK)
		if got := <-started; got != n {
			t.Fatalf("a body has %d bytes, want %d", got, n)
		}
	}
	_, _ = io.WriteString(c, post+"Content-Length: 20000\r\nExpect: 100-continue\r\n\r\n")
	answer(http.StatusContinue)
	_, _ = io.WriteString(c, strings.Repeat("x", 20_000))
	answer(http.StatusOK)
}

// Guards against an end of a header that is missed or found elsewhere when it comes in parts.
func TestHeaderEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(rapid.StringOfN(rapid.SampledFrom([]rune("a\r\n")), 1, 30, -1).Draw(t, "bytes"))
		var in input
		lineFeed := false
		for i := 0; i < len(raw); {
			part := raw[i : i+rapid.IntRange(1, len(raw)-i).Draw(t, "read")]
			want, ended := len(part), false
			for j, x := range part {
				if x == '\n' && lineFeed {
					want, ended, lineFeed = j+1, true, false
					break
				}
				lineFeed = x == '\n' || x == '\r' && lineFeed
			}
			if got := in.headerEnd(part); got != want || in.atHeaderEnd != ended {
				t.Fatalf("%q in %q: %d, %v, want %d, %v", part, raw, got, in.atHeaderEnd, want, ended)
			}
			i += want
		}
	})
}

type panickingFrontend struct{ testFrontend }

func (panickingFrontend) Account(*fasthttp.RequestHeader) (string, *result.Error) { panic("account") }

// Guards against a panic before a body is read that ends the process.
func TestPanicBeforeBody(t *testing.T) {
	l := testLimits()
	l.MaxBodyBytes, l.Bodies = 4<<20, budget.NewBodies(bodyBudget)
	addr := serve(t, &Server{Opener: &fakeOpener{open: respondOK}, Admission: allowAll{}, Log: zap.NewNop(), Frontend: panickingFrontend{}}, l)
	for range 2 {
		if status := post(t, addr, 20_000, false); status != http.StatusInternalServerError {
			t.Errorf("status %d", status)
		}
	}
}
