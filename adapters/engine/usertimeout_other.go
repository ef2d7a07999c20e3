//go:build !linux

package engine

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT is specific to Linux.
// setUserTimeout does nothing: TCP_USER_TIMEOUT is specific to Linux.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
