package edge

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhitch/standins/runner"
)

// maxBrokenRounds limits the rounds of TestStreamsWithInvalidChunks.
const maxBrokenRounds = 500

// Guards against a stream that ends as complete for its caller, or with other events, because
// its server sent chunks that are not valid, and against one that is not resumed although it
// may be.
func TestStreamsWithInvalidChunks(t *testing.T) {
	const (
		head  = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		first = "f\r\nid: 1\ndata: 1\n\n\r\n"
		rest  = "f\r\nid: 3\ndata: 3\n\n\r\n0\r\n\r\n"
	)
	for name, second := range map[string]string{
		"size 0":                     "0\r\nid: 2\ndata: 2\n\n\r\n",
		"size 0, lines end with CR":  "0\r\nid: 2\r\ndata: 2\r\n\r\n\r\n",
		"ends with a line feed":      "f\r\nid: 2\ndata: 2\n\n\n0\r\n\r\n",
		"ends with another byte":     "f\r\nid: 2\ndata: 2\n\nx0\r\n\r\n",
		"last chunk without its end": "0\r\n\nf\r\nid: 2\ndata: 2\n\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const (
				events     = 3
				spoilEvery = 4
				minSpoiled = 2
				work       = 5 * time.Millisecond
				// perRound is more than one of the two servers has slots for.
				perRound = 20
			)
			bad := &runner.Runner{ID: "bad", Events: events, ProcessingTime: work, Spoiled: []string{head + first + second + rest}, SpoilEvery: spoilEvery}
			f := startFleet(t, 1, bad, &runner.Runner{ID: "a", Events: events, ProcessingTime: work})
			var calls []*foreignCall
			for round := 0; len(bad.Runs()) < minSpoiled*spoilEvery; round++ {
				if round == maxBrokenRounds {
					t.Fatalf("the server got %d requests in %d rounds", len(bad.Runs()), round)
				}
				var wg sync.WaitGroup
				for i := range perRound {
					path := []string{"/stream/once/1", "/stream/go-on/1"}[i%2]
					c := &foreignCall{method: "POST", path: path, id: fmt.Sprintf("f%d-%d", round, i)}
					calls = append(calls, c)
					wg.Go(func() { f.callForeign(c) })
				}
				wg.Wait()
			}
			want := ""
			for n := 1; n <= events; n++ {
				want += fmt.Sprintf("id: %d\ndata: %d\n\n", n, n)
			}
			for _, c := range calls {
				switch whole := c.body == want; {
				case c.err == nil && !whole:
					t.Errorf("%s, seal %q: status %d, complete with %q", c.path, c.seal, c.status, c.body)
				case !strings.HasPrefix(want, c.body):
					t.Errorf("%s, seal %q: %q", c.path, c.seal, c.body)
				case c.err != nil && strings.Contains(c.path, "go-on"):
					t.Errorf("%s, seal %q was not resumed: %q, %v", c.path, c.seal, c.body, c.err)
				case c.err != nil && c.seal != "s":
					t.Errorf("%s, seal %q: %q, %v", c.path, c.seal, c.body, c.err)
				}
			}
		})
	}
}
