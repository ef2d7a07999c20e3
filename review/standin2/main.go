package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

var (
	noteMu sync.Mutex
	began  = time.Now()
	record *os.File
)

// note writes a line to the record.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	if record != nil {
		_, _ = record.WriteString(line)
	} else {
		fmt.Print(line)
	}
}

var cleanup []func()

// fatal ends a case that could not run.
func fatal(format string, args ...any) {
	note("could not run: "+format, args...)
	exit(2)
}

func exit(code int) {
	for _, f := range cleanup {
		f()
	}
	os.Exit(code)
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DAEMON [RECORD [no]]")
		os.Exit(2)
	}
	if len(os.Args) > 3 {
		f, err := os.Create(os.Args[3])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		record = f
	}
	bin, err := filepath.Abs(os.Args[2])
	if err != nil {
		fatal("%v", err)
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		fatal("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanup = append(cleanup, func() { os.RemoveAll(dir) })
	} else {
		fmt.Println(dir)
	}
	f := cases[os.Args[1]]
	if f == nil {
		fatal("unknown case %s", os.Args[1])
	}
	exit(f(bin, dir))
}

var cases = map[string]func(bin, dir string) int{}
