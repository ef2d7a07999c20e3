// Package operator implements the operators' command. It keeps no state; the
// instances and the platform hold everything.
package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
)

// Exit codes of the command.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Global holds the options of all commands.
type Global struct {
	Instance []string `help:"Admin address (host:port) of an instance; repeat for more, tried in order." env:"CYCLAMENHITCH_INSTANCE"`
	KeyFile  string   `help:"File with the operator key." env:"CYCLAMENHITCH_KEY_FILE"`
	JSON     bool     `name:"json" help:"Print JSON."`
}

type commands struct {
	Global
	Manifest struct {
		Check checkCmd `cmd:"" help:"Check a manifest file."`
	} `cmd:"" help:"Work on manifest files."`
	Apply  applyCmd  `cmd:"" help:"Make a manifest the next version."`
	Status statusCmd `cmd:"" help:"Show the state of the instances."`
}

// env is what commands work with.
type env struct {
	*Global
	out, errOut io.Writer
}

// Main runs the command and returns the exit code. extra adds commands that
// this package must not import.
func Main(args []string, out, errOut io.Writer, extra ...kong.Option) int {
	var cmds commands
	exited := -1
	options := append([]kong.Option{
		kong.Name("cyclamenhitch"), kong.Description("Operators' command of a cyclamenhitch fleet."),
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
		fmt.Fprintln(errOut, "cyclamenhitch:", err)
		return ExitUsage
	}
	e := &env{Global: &cmds.Global, out: out, errOut: errOut}
	if err := kctx.Run(e); err != nil {
		return e.fail(err)
	}
	return ExitOK
}

func (e *env) fail(err error) int {
	r := result.As(err)
	if e.JSON {
		_ = json.NewEncoder(e.out).Encode(map[string]any{"error": map[string]any{
			"code": r.Code, "name": r.Code.Info().Name, "message": r.Error(), "advice": r.Code.Info().Advice,
		}})
	} else {
		fmt.Fprintf(e.errOut, "cyclamenhitch: %s\n%s\n", r.Error(), r.Code.Info().Advice)
	}
	if r.Code == result.ConfigConflict {
		return ExitConflict
	}
	return ExitFailed
}

type checkCmd struct {
	File string `arg:"" help:"Manifest file."`
}

// Run implements the command.
func (c *checkCmd) Run(e *env) error {
	src, err := readManifest(c.File)
	if err != nil {
		return err
	}
	m, err := manifest.Decode(src)
	if err != nil {
		return inFile(c.File, err)
	}
	if e.JSON {
		return json.NewEncoder(e.out).Encode(map[string]int{"pools": len(m.Pools), "servers": len(m.Servers), "accounts": len(m.Accounts)})
	}
	fmt.Fprintf(e.out, "%s is valid: %d pools, %d servers, %d accounts\n", c.File, len(m.Pools), len(m.Servers), len(m.Accounts))
	return nil
}

func readManifest(path string) ([]byte, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.ManifestInvalid, err, "manifest file cannot be read")
	}
	return src, nil
}

// inFile adds the file name to each position of a manifest error.
func inFile(path string, err error) error {
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

type applyCmd struct {
	File string `arg:"" help:"Manifest file."`
	Base uint64 `required:"" help:"Version that the manifest was made from; 0 for the first."`
}

// Run implements the command.
func (c *applyCmd) Run(e *env) error {
	src, err := readManifest(c.File)
	if err != nil {
		return err
	}
	if _, err := manifest.Decode(src); err != nil {
		return inFile(c.File, err)
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := e.call("POST", fmt.Sprintf("/admin/apply?base=%d", c.Base), src, &head); err != nil {
		return err
	}
	if e.JSON {
		return json.NewEncoder(e.out).Encode(head)
	}
	fmt.Fprintf(e.out, "version %d accepted\n", head.Version)
	return nil
}

type statusCmd struct{}

// Run implements the command.
func (c *statusCmd) Run(e *env) error {
	var s json.RawMessage
	if err := e.call("GET", "/admin/status", nil, &s); err != nil {
		return err
	}
	fmt.Fprintln(e.out, string(s))
	return nil
}
