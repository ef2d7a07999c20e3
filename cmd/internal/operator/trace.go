package operator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"cyclamenhitch/core/result"
)

// traceCmd explains a request from the logs of instances.
type traceCmd struct {
	Request string        `arg:"" help:"Id of the request."`
	Logs    []string      `arg:"" type:"existingfile" help:"Log files of the instances, JSON lines."`
	Around  time.Duration `default:"5s" help:"How much of what its instance believed to show, before and after."`
}

// maxLogLine bounds one log line, in bytes.
const maxLogLine = 1 << 20

// traceLine is a log line with the fields that the trace needs.
type traceLine struct {
	TS        time.Time `json:"ts"`
	Msg       string    `json:"msg"`
	Instance  string    `json:"instance"`
	Request   string    `json:"request_id"`
	Server    string    `json:"server"`
	Decisions []struct {
		Server string `json:"server"`
	} `json:"decisions"`
	raw string
}

// beliefs are the messages that tell what an instance believes, besides those that
// name a server.
var beliefs = []string{
	"instance started", "stop begins", "stopped", "configuration in force", "store lost", "store regained", "serving changed",
	"data centres out of service changed", "peer does not hand a table on",
}

func (c *traceCmd) Run(e *env) error {
	var lines []traceLine
	for _, name := range c.Logs {
		read, err := readTrace(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.TS.Compare(b.TS) })
	shown := c.selected(lines)
	if len(shown) == 0 {
		return result.New(result.BadRequest, "no line of the logs names request %s: it was served (one in log.sample_decisions of these has a line), reached no instance, or its line was dropped", c.Request)
	}
	for _, l := range shown {
		fmt.Fprintln(e.out, l.raw)
	}
	return nil
}

// selected returns the lines of the request and, of its instance, what was believed
// around them of its servers and of the store.
func (c *traceCmd) selected(lines []traceLine) []traceLine {
	servers, own := map[string]bool{}, []traceLine{}
	for _, l := range lines {
		if l.Request != c.Request {
			continue
		}
		own = append(own, l)
		for _, d := range l.Decisions {
			servers[d.Server] = true
		}
	}
	var out []traceLine
	for _, l := range lines {
		near := slices.ContainsFunc(own, func(o traceLine) bool {
			return o.Instance == l.Instance && l.TS.Sub(o.TS).Abs() <= c.Around
		})
		belief := l.Request == "" && (servers[l.Server] || slices.Contains(beliefs, l.Msg))
		if l.Request == c.Request || near && belief {
			out = append(out, l)
		}
	}
	return out
}

// readTrace reads the lines of a file. What stands before the JSON of a line, such as
// the name of a collector, is kept; lines without JSON are left out.
func readTrace(name string) ([]traceLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "log file %s", name)
	}
	defer f.Close()
	return parseTrace(f)
}

func parseTrace(r io.Reader) ([]traceLine, error) {
	var out []traceLine
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLogLine)
	for sc.Scan() {
		i := bytes.IndexByte(sc.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := traceLine{raw: strings.Clone(sc.Text())}
		if json.Unmarshal(sc.Bytes()[i:], &l) == nil {
			out = append(out, l)
		}
	}
	return out, sc.Err()
}
