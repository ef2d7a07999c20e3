// Command standin plays the scripts of the review: it hosts the stand-ins of the platform's
// store, of runners and of clients, and starts the project's program as separate processes.
package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// trouble is false for the run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 {
		os.Exit(2)
	}
	var err error
	record, err = os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	workDir = dir
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		notRun("stopped by a signal")
	}()
	go func() {
		time.Sleep(115 * time.Second)
		notRun("not finished in time")
	}()
	cases := map[string]func(dir string) bool{"descriptors": descriptors, "stop": stopCase, "memory": memory, "ids": ids}
	play := cases[os.Args[1]]
	if play == nil {
		notRun("no case %s", os.Args[1])
	}
	note("case %s, trouble %v", os.Args[1], trouble)
	broken := play(dir)
	killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		note("logs are in %s", filepath.Base(dir))
	}
	if broken {
		note("the rule was broken")
		os.Exit(1)
	}
	note("the rule held")
}
