// Package hangup makes the process ignore SIGHUP from its initialisation on. The signal's
// default action would end a process that starts before it handles the signal. It has no state.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }

// Notify relays SIGHUP to c instead.
func Notify(c chan<- os.Signal) { signal.Notify(c, syscall.SIGHUP) }
