// Package operator implements the operators' command-line tool. The tool stores
// nothing itself; all state is held by the instances and the platform.
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Exit codes of the command.
const (
	// ExitOK means that the command succeeded completely.
	ExitOK = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed = 1
	// ExitUsage means that the arguments are invalid; nothing was changed.
	ExitUsage = 2
	// ExitConflict means that the base version is out of date; nothing was changed.
	ExitConflict = 3
	// ExitUnknown means that the action may have taken effect.
	ExitUnknown = 4
	// ExitIncomplete means that the action took effect, but not every given
	// instance was reached or had the version in force in time.
	ExitIncomplete = 5
)

const description = `Operators' command of a cyclamenhitch fleet.

Instances are tried in the given order until one answers. Exit codes: 0 done, 1 failed and nothing changed,
2 wrong arguments, 3 the base version is out of date, 4 the action may have taken effect,
5 done, but some given instance was not reached or did not have the version in force in time.`

// Global holds the options of all commands.
type Global struct {
	Instance []string `help:"Admin address (host:port) of an instance; repeat or separate with commas, tried in order." env:"CYCLAMENHITCH_INSTANCE" placeholder:"HOST:PORT"`
	KeyFile  string   `help:"File with the operator key." env:"CYCLAMENHITCH_KEY_FILE" placeholder:"FILE"`
	JSON     bool     `name:"json" help:"Print JSON with stable field names on standard output."`
}

type commands struct {
	Global
	Manifest struct {
		Check checkCmd `cmd:"" help:"Check a manifest file; needs no instance."`
	} `cmd:"" help:"Work on manifest files."`
	Config struct {
		Check configCheckCmd `cmd:"" help:"Check the JSON of a configuration (op/config of the platform's store) before it is sent. Exit codes: 0 no findings, 1 findings, 2 unusable input."`
	} `cmd:"" help:"Work on configurations of a platform with service discovery."`
	Apply      applyCmd  `cmd:"" help:"Make a manifest file the next version; shows the difference by entry."`
	Status     statusCmd `cmd:"" help:"Show version, data centre and readiness of all given instances."`
	Datacentre struct {
		Out dcOutCmd `cmd:"" help:"Take a data centre out of service: its servers receive no new work."`
		In  dcInCmd  `cmd:"" help:"Take a data centre back into service."`
	} `cmd:"" help:"Change the state of a data centre."`
	Server struct {
		Leave  serverLeaveCmd  `cmd:"" help:"Mark a backend server as leaving: it receives no new work."`
		Return serverReturnCmd `cmd:"" help:"Let a backend server receive work again."`
	} `cmd:"" help:"Change the state of a backend server."`
	Explain explainCmd `cmd:"" help:"Show which servers a chat goes to, with scores and the deciding rule."`
	Trace   traceCmd   `cmd:"" help:"Explain a request from log files of instances; needs no instance."`
	Report  struct {
		Burn burnCmd `cmd:"" help:"Show objectives, burn rates, alerts and the error budget of each pool and client account."`
	} `cmd:"" help:"Reports over the fleet."`
}

// env holds the global options, the output streams and the client of a command.
type env struct {
	*Global
	out, errOut io.Writer
	client      *client
	// detail holds additional fields of the JSON error object.
	detail map[string]any
}

// Main runs the command and returns the exit code. extra adds commands from
// packages that this package must not import.
func Main(args []string, out, errOut io.Writer, extra ...kong.Option) int {
	var cmds commands
	exited := -1
	options := append([]kong.Option{
		kong.Name("cyclamenhitch"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
	}, extra...)
	parser, err := kong.New(&cmds, options...)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	kctx, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "cyclamenhitch: %v\nRun with --help for the commands and options.\n", err)
		return ExitUsage
	}
	e := &env{Global: &cmds.Global, out: out, errOut: errOut, client: newClient()}
	if err := kctx.Run(e); err != nil {
		return e.reportError(err)
	}
	return ExitOK
}

// incompleteError is the error of a command that printed its result, but did not reach
// every given instance or not all had the version in force in time.
type incompleteError struct {
	text string
	code int
}

func (i *incompleteError) Error() string { return i.text }

// reportError prints an error as text or JSON and returns the exit code.
func (e *env) reportError(err error) int {
	var i *incompleteError
	if errors.As(err, &i) {
		fmt.Fprintln(e.errOut, "cyclamenhitch:", i.text)
		return i.code
	}
	r := result.As(err)
	code := exitCode(r)
	if e.JSON {
		body := map[string]any{
			"code": r.Code, "name": r.Code.Info().Name, "message": errorText(r), "outcome": r.Outcome,
			"advice": r.Code.Info().Advice, "exit_code": code,
		}
		maps.Copy(body, e.detail)
		_ = json.NewEncoder(e.out).Encode(map[string]any{"error": body})
		return code
	}
	fmt.Fprintf(e.errOut, "cyclamenhitch: %d %s: %s\n%s\n", r.Code, r.Code.Info().Name, errorText(r), r.Code.Info().Advice)
	if code == ExitUnknown {
		fmt.Fprintln(e.errOut, "The action may have taken effect: run status to see the version in force before you repeat it.")
	}
	return code
}

func exitCode(r *result.Error) int {
	switch {
	case r.Code == result.ConfigConflict:
		return ExitConflict
	case r.Outcome == result.Unknown:
		return ExitUnknown
	}
	return ExitFailed
}

// errorText returns the message of r with its cause.
func errorText(r *result.Error) string {
	if r.Cause == nil {
		return r.Message
	}
	return r.Message + ": " + r.Cause.Error()
}

// print writes v as JSON, or calls text.
func (e *env) print(v any, text func()) error {
	if !e.JSON {
		text()
		return nil
	}
	return json.NewEncoder(e.out).Encode(v)
}

// progressDelay is how long a command runs before it prints progress on stderr.
const progressDelay = 2 * time.Second

// progress prints what() to stderr after progressDelay and then every 5 s, until the
// returned function is called.
func (e *env) progress(what func() string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		t := time.NewTimer(progressDelay)
		defer t.Stop()
		start := time.Now()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				fmt.Fprintf(e.errOut, "%s (%.0f s)\n", what(), time.Since(start).Seconds())
				t.Reset(5 * time.Second)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// addFileName prefixes each position of a manifest error with the file name.
func addFileName(path string, err error) error {
	r := result.As(err)
	ps, ok := r.Cause.(manifest.Problems)
	if !ok {
		return err
	}
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = path + ":" + p.String()
	}
	return result.New(r.Code, "%s\n%s", r.Message, strings.Join(lines, "\n"))
}
