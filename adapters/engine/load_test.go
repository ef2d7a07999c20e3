package engine

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cyclamenhitch/core/fleet"
)

// Guards against a load with a fourth figure that is dropped, an invalid field that takes the
// others with it, and refusals whose load is not read.
func TestServerLoad(t *testing.T) {
	const none = UnknownLoad
	for _, c := range []struct {
		value string
		want  ServerLoad
	}{
		{"3,1,16", ServerLoad{3, 1, 16, none}},
		{"3, 1, 16, 240", ServerLoad{3, 1, 16, 240}},
		{"3,1,16,87.5,9", ServerLoad{3, 1, 16, 87.5}},
		{"x,1,-16,100", ServerLoad{none, 1, none, 100}},
		{"3,1,16,NaN", ServerLoad{3, 1, 16, none}},
		{"3,1,16,-5", ServerLoad{3, 1, 16, none}},
		{"99999999999999999999,1,16,1e999", ServerLoad{none, 1, 16, none}},
		{"7", ServerLoad{7, none, none, none}},
	} {
		for _, status := range []int{200, 503, 421} {
			server := serveRaw(t, false, func(conn net.Conn, _ int, id string) bool {
				notRun := ""
				if status != 200 {
					notRun = "X-Not-Run: 1\r\n"
				}
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Load: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, c.value, notRun)
				return true
			})
			client, got := refusingClient(), []ServerLoad(nil)
			client.Dialect.Load = "X-Load"
			client.OnLoad = func(_ fleet.PoolID, _ fleet.ServerID, l ServerLoad) { got = append(got, l) }
			sendRequest(client, server, "order", "r-1", time.Minute)
			if status == 421 {
				if len(got) > 0 {
					t.Errorf("%q: the load of another server was read: %+v", c.value, got)
				}
				continue
			}
			if len(got) != 1 || got[0] != c.want {
				t.Errorf("%q, status %d: %+v, want %+v", c.value, status, got, c.want)
			}
		}
	}
}
