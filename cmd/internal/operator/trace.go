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

// traceCmd prints the log lines of instances that explain a request.
type traceCmd struct {
	Request string        `arg:"" help:"Id of the request."`
	Logs    []string      `arg:"" type:"existingfile" help:"Log files of the instances, JSON lines."`
	Around  time.Duration `default:"5s" help:"How much of what its instance believed to show, before and after."`
}

// maxLogLineBytes is the maximum length of a log line, in bytes.
const maxLogLineBytes = 1 << 20

// traceLine is a log line with the fields that trace uses.
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

// stateMessages are the messages that report changes in the view of an instance, besides
// those about a server.
var stateMessages = []string{
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
	shown := c.selectLines(lines)
	if len(shown) == 0 {
		return result.New(result.BadRequest, "no log line names request %s: it was served without a sampled log line (see log.sample_decisions), reached no instance, or its line was dropped", c.Request)
	}
	for _, l := range shown {
		fmt.Fprintln(e.out, l.raw)
	}
	return nil
}

// selectLines returns the lines of the request and, from the same instance and within
// c.Around of these, the lines about the candidate servers of the request and the
// state of the instance.
func (c *traceCmd) selectLines(lines []traceLine) []traceLine {
	servers, requestLines := map[string]bool{}, []traceLine{}
	for _, l := range lines {
		if l.Request != c.Request {
			continue
		}
		requestLines = append(requestLines, l)
		for _, d := range l.Decisions {
			servers[d.Server] = true
		}
	}
	var out []traceLine
	for _, l := range lines {
		near := slices.ContainsFunc(requestLines, func(o traceLine) bool {
			return o.Instance == l.Instance && l.TS.Sub(o.TS).Abs() <= c.Around
		})
		stateChange := l.Request == "" && (servers[l.Server] || slices.Contains(stateMessages, l.Msg))
		if l.Request == c.Request || near && stateChange {
			out = append(out, l)
		}
	}
	return out
}

// readTrace reads the lines of a log file. A prefix before the JSON of a line, as added
// by log collectors, is kept; lines without JSON are skipped.
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
	sc.Buffer(nil, maxLogLineBytes)
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
