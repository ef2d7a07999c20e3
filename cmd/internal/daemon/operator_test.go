package daemon

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/valyala/fasthttp"

	"cyclamenhitch/cmd/internal/operator"
	platformfake "cyclamenhitch/standins/platform"
)

// Guards against an operator's mistake that is answered without its place and
// remedy, or that changes something, and against an action with a lost reply
// that is reported as failed or is carried out twice. The scripts run the
// command in process against an instance.
func TestOperatorCommand(t *testing.T) {
	datadriven.Walk(t, "testdata/operator", func(t *testing.T, path string) {
		f := newFixture(t)
		f.writeFile("m1.toml", f.manifest())
		lossy := startLossyProxy(t, f)
		names := strings.NewReplacer("$dir", f.dir, "$admin", f.daemon.AdminAddress(), "$lossy", lossy.addr)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "file":
				text := strings.ReplaceAll(d.Input, "$manifest", f.manifest())
				f.writeFile(d.CmdArgs[0].Key, text+"\n")
				return ""
			case "lose":
				d.ScanArgs(t, "replies", &lossy.loseReplies)
				lossy.unreachableAfterLoss = d.HasArg("then-dark")
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
				args := append(strings.Fields(names.Replace(d.Input)), "--key-file", filepath.Join(f.dir, "operator.key"))
				code := operator.Main(args, &out, &out)
				return fmt.Sprintf("%sexit code %d\n", f.normaliseOutput(out.String(), lossy.addr), code)
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

// normaliseOutput replaces what differs between two runs.
func (f *fixture) normaliseOutput(s, lossy string) string {
	s = strings.NewReplacer(f.dir, "$dir", f.daemon.AdminAddress(), "$admin", lossy, "$lossy").Replace(s)
	s = secondsRE.ReplaceAllString(s, "after N s")
	s = scoreRE.ReplaceAllString(s, "SCORE")
	s = portRE.ReplaceAllString(s, "$$port")
	lines := strings.Split(s, "\n")
	for i, l := range lines {
		lines[i] = strings.Join(strings.Fields(l), " ")
	}
	return strings.Join(lines, "\n")
}

// lossyProxy passes calls on to an instance and drops the first replies of actions.
type lossyProxy struct {
	addr        string
	loseReplies int
	// unreachableAfterLoss drops every call after the first lost reply.
	unreachableAfterLoss, unreachable bool
}

func startLossyProxy(t *testing.T, f *fixture) *lossyProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lossyProxy{addr: ln.Addr().String()}
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if l.unreachable {
			closeWithoutReply(ctx)
			return
		}
		ctx.Request.SetHost(f.daemon.AdminAddress())
		ctx.Request.URI().SetHost(f.daemon.AdminAddress())
		if err := fasthttp.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.SetStatusCode(502)
		}
		if ctx.IsPost() && l.loseReplies > 0 {
			l.loseReplies--
			l.unreachable = l.unreachableAfterLoss
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
