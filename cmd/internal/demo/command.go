package demo

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"cyclamenhitch/cmd/internal/operator"
	"cyclamenhitch/core/result"
)

// command is the demo subcommand of the operators' command line.
type command struct {
	Duration time.Duration `default:"10s" help:"How long traffic runs, for example 10s."`
	Hold     bool          `help:"Keep the fleet running and print commands to try."`
	Verbose  bool          `help:"Write the log lines of all instances to stderr."`
}

// Command returns the kong option that adds the demo subcommand.
func Command() kong.Option {
	return kong.DynamicCommand("demo", "Run a small fleet with stand-ins on loopback and check it.", "", &command{})
}

// Run runs the demo and returns an error if its report is not OK.
func (c *command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	r, err := Run(ctx, Options{
		Duration: c.Duration, Hold: c.Hold, Verbose: c.Verbose, Out: os.Stdout, Log: os.Stderr,
		Operate: func(args []string, out, errOut io.Writer) int { return operator.Main(args, out, errOut) },
	})
	if err != nil {
		return result.Wrap(result.Internal, err, "demo failed")
	}
	if err := r.Encode(os.Stdout); err != nil {
		return err
	}
	if !r.OK() {
		return result.New(result.Internal, "wrong_answer, cut, run_twice or new_work_after_out is not 0")
	}
	return nil
}
