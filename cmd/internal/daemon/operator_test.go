package daemon

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/valyala/fasthttp"

	"cyclamenhitch/cmd/internal/operator"
	platformfake "cyclamenhitch/standins/platform"
)

// An operator's mistake must change nothing, and its error message must name the
// place and the remedy. An action whose reply is lost must neither be reported as
// failed nor run twice. The scripts run the command in process against an instance.
func TestOperatorCommand(t *testing.T) {
	datadriven.Walk(t, "testdata/operator", func(t *testing.T, path string) {
		f := newFixture(t)
		f.writeFile("m1.toml", f.manifest())
		proxy := startLossyProxy(t, f)
		placeholders := strings.NewReplacer("$dir", f.dir, "$admin", f.daemon.AdminAddress(), "$lossy", proxy.addr)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				text := strings.ReplaceAll(d.Input, "$manifest", f.manifest())
				f.writeFile(d.CmdArgs[0].Key, text+"\n")
				return ""
			case "lose":
				var replies int
				d.ScanArgs(t, "replies", &replies)
				proxy.set(replies, d.HasArg("then-dark"))
				return ""
			case "platform":
				f.platform.SetFault(parseFault(d))
				return ""
			case "settle":
				f.eventually("an admitter", func() bool {
					_, body := f.request("GET", f.daemon.AdminAddress(), "/admin/explain?model=taller-modelo&chat=c1", testOperatorKey, "")
					return strings.Contains(body, `"admitters":["r1"]`)
				})
				return ""
			case "confirm":
				f.eventually("a confirmed version", func() bool {
					_, body := f.request("GET", f.daemon.AdminAddress(), "/admin/status", testOperatorKey, "")
					return strings.Contains(body, `"confirmed_age_seconds":`) && !strings.Contains(body, `"confirmed_age_seconds":-1`)
				})
				return ""
			case "run":
				var out bytes.Buffer
				args := append(strings.Fields(placeholders.Replace(d.Input)), "--key-file", filepath.Join(f.dir, "operator.key"))
				code := operator.Main(args, &out, &out)
				return fmt.Sprintf("%sexit code %d\n", f.normaliseOutput(out.String(), proxy.addr), code)
			}
			return "unknown command"
		})
	})
}

var (
	secondsRE = regexp.MustCompile(`after [0-9.]+ s|"(confirmed_age_)?seconds":[0-9.e-]+|[0-9]+ s ago|[0-9-]{10} [0-9:]{8} UTC`)
	scoreRE   = regexp.MustCompile(`\b[0-9]+\.[0-9]{3,}\b`)
	portRE    = regexp.MustCompile(`127\.0\.0\.1:[0-9]{4,5}(->127\.0\.0\.1:[0-9]{4,5})?`)
)

// normaliseOutput replaces the parts of the output that differ between runs.
func (f *fixture) normaliseOutput(s, proxyAddr string) string {
	s = strings.NewReplacer(f.dir, "$dir", f.daemon.AdminAddress(), "$admin", proxyAddr, "$lossy").Replace(s)
	s = secondsRE.ReplaceAllString(s, "after N s")
	s = scoreRE.ReplaceAllString(s, "SCORE")
	s = portRE.ReplaceAllString(s, "$$port")
	lines := strings.Split(s, "\n")
	for i, l := range lines {
		lines[i] = strings.Join(strings.Fields(l), " ")
	}
	return strings.Join(lines, "\n")
}

// lossyProxy forwards calls to an instance and drops the replies to the first
// loseReplies POST requests.
type lossyProxy struct {
	addr string

	mu          sync.Mutex
	loseReplies int
	// unreachableAfterLoss drops every call after the first lost reply; unreachable
	// is set from then on.
	unreachableAfterLoss, unreachable bool
}

// set sets which replies are lost from now on.
func (l *lossyProxy) set(loseReplies int, unreachableAfterLoss bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseReplies, l.unreachableAfterLoss = loseReplies, unreachableAfterLoss
}

func (l *lossyProxy) isUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unreachable
}

// losesReply reports whether the reply to a POST request is lost.
func (l *lossyProxy) losesReply() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.loseReplies <= 0 {
		return false
	}
	l.loseReplies--
	l.unreachable = l.unreachableAfterLoss
	return true
}

func startLossyProxy(t *testing.T, f *fixture) *lossyProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lossyProxy{addr: ln.Addr().String()}
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if l.isUnreachable() {
			closeWithoutReply(ctx)
			return
		}
		ctx.Request.SetHost(f.daemon.AdminAddress())
		ctx.Request.URI().SetHost(f.daemon.AdminAddress())
		if err := fasthttp.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.SetStatusCode(502)
		}
		if ctx.IsPost() && l.losesReply() {
			closeWithoutReply(ctx)
		}
	}}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Shutdown() })
	return l
}

func closeWithoutReply(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func parseFault(d *datadriven.TestData) platformfake.Fault {
	return platformfake.Fault{Down: d.HasArg("down")}
}
