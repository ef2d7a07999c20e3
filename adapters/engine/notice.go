package engine

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/brittle"
	"cyclamenhitch/core/fleet"
)

// Notice is what a server announced in the header of a response.
type Notice struct {
	Server fleet.ServerID
	Pool   fleet.PoolID
	// Address is the host:port address that responded. Misdirected is set if the process
	// there is another server than Server.
	Address     string
	Misdirected bool
	// RequestID is the id of the request.
	RequestID string
	// Leaving is set if the server is about to leave.
	Leaving bool
	// Pause is how long the server wants no requests from this instance; 0 means that it
	// did not say.
	Pause time.Duration
	// InvalidPause is the value of the field if it is not a usable time; empty otherwise.
	InvalidPause string
}

// Brittleness is what a response says on whether its server is brittle.
type Brittleness struct {
	Server fleet.ServerID
	Pool   fleet.PoolID
	// RequestID is the id of the request.
	RequestID string
	// Limit is the number of refusals within one second that the server bears; 0 means that it
	// is not brittle.
	Limit int
	// Invalid is the value of the field if it is no whole number; empty otherwise.
	Invalid string
}

// notify reports what the server announced, before any part of the response is used.
func (r *response) notify() {
	c := r.x.client
	d := c.dialect()
	r.notifyBrittle(d.Brittle)
	if c.OnNotice == nil {
		return
	}
	n := Notice{
		Server: r.x.srv.Name, Pool: r.x.srv.Pool, Address: r.x.srv.Address, RequestID: r.x.req.ID,
		Misdirected: r.status == fasthttp.StatusMisdirectedRequest,
		Leaving:     d.Leaving != "" && string(r.resp.Header.Peek(d.Leaving)) == "1",
	}
	if d.Pause != "" && r.status == fasthttp.StatusServiceUnavailable {
		if v := string(r.resp.Header.Peek(d.Pause)); v != "" {
			n.Pause, n.InvalidPause = parsePause(v, c.maxPause())
		}
	}
	if n.Leaving || n.Pause > 0 || n.InvalidPause != "" {
		c.OnNotice(n)
	}
}

// notifyBrittle reports whether the server is brittle, also if it is not. Misdirected responses
// say nothing on the named server.
func (r *response) notifyBrittle(field string) {
	if r.x.client.OnBrittle == nil || field == "" || r.status == fasthttp.StatusMisdirectedRequest {
		return
	}
	b := Brittleness{Server: r.x.srv.Name, Pool: r.x.srv.Pool, RequestID: r.x.req.ID}
	if v := r.resp.Header.Peek(field); len(v) > 0 {
		valid := false
		if b.Limit, valid = brittle.ParseLimit(string(v)); !valid {
			b.Invalid = string(v)
		}
	}
	r.x.client.OnBrittle(b)
}

// parsePause parses a number of seconds, which may have a fraction. A value that is too
// long counts as the maximum, one that is no positive number as none; both are returned as
// invalid.
func parsePause(v string, most time.Duration) (pause time.Duration, invalid string) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	switch {
	case math.IsInf(seconds, 1), seconds > most.Seconds():
		return most, v
	case err != nil || math.IsNaN(seconds) || seconds < 0:
		return 0, v
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

// defaultMaxPause limits the pause that a server may ask for if the client sets no limit.
const defaultMaxPause = 10 * time.Minute

func (c *Client) maxPause() time.Duration {
	if c.MaxPause > 0 {
		return c.MaxPause
	}
	return defaultMaxPause
}
