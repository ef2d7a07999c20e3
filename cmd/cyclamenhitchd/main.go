// Command cyclamenhitchd is the router daemon. Each process is one instance of the
// fleet.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"cyclamenhitch/adapters/hangup"
	"cyclamenhitch/adapters/heap"
	"cyclamenhitch/adapters/logging"
	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/cmd/internal/daemon"
	"cyclamenhitch/cmd/internal/edge"
)

// Exit codes other than 0.
const (
	exitFailed   = 1
	exitSettings = 2
)

var cli struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file of this instance."`
	Check    bool   `help:"Check the settings file and exit."`
	Discover bool   `help:"Find configuration, servers and peers in a platform's store."`
}

func main() {
	kong.Parse(&cli, kong.Name("cyclamenhitchd"), kong.Description("Router daemon of a cyclamenhitch fleet."))
	if cli.Discover {
		os.Exit(discover())
	}
	set, err := settings.Load(cli.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if cli.Check {
		fmt.Println("settings are valid")
		return
	}
	log := logging.New(os.Stderr, set.Log.Level,
		zap.String(logging.FieldInstance, string(set.Instance)), zap.String(logging.FieldDataCentre, string(set.DataCentre)))
	d, err := daemon.New(set, log)
	if err != nil {
		log.Error("instance could not start", zap.Error(err))
		os.Exit(exitSettings)
	}
	defer heap.MaintainMinGoal(heap.MinGoal)()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := d.Run(ctx); err != nil {
		log.Error("instance failed", zap.Error(err))
		os.Exit(exitFailed)
	}
}

// discover runs an instance that finds its configuration, servers and peers in a
// platform's store, and returns the exit code. SIGHUP reloads the settings file.
func discover() int {
	set, err := settings.LoadEdge(cli.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if cli.Check {
		fmt.Println("settings are valid")
		for _, line := range edge.Shares(set) {
			fmt.Println(line)
		}
		return 0
	}
	heap.SetLimit(int64(set.Limits.MemoryMegabytes) << 20)
	lines := logging.NewQueue(os.Stdout)
	log := logging.NewSampled(lines, set.Log.Level, &lines.Dropped,
		zap.String(logging.FieldInstance, string(set.Instance)), zap.String(logging.FieldDataCentre, string(set.DataCentre)))
	defer func() { _ = log.Sync() }()
	edge.PublishDroppedLines(&lines.Dropped)
	e, err := edge.New(set, log)
	if err != nil {
		log.Error("instance could not start", zap.Error(err))
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	hangup.Notify(reload)
	if err := e.Run(ctx, reload); err != nil {
		log.Error("instance failed", zap.Error(err))
		return exitFailed
	}
	return 0
}
