//go:build !linux

package sockets

import (
	"syscall"
	"time"
)

// SetUserTimeout does nothing on this system.
func SetUserTimeout(syscall.RawConn, time.Duration) error { return nil }

// Unacknowledged is not known on this system and returns 0.
func Unacknowledged(syscall.RawConn) (int, error) { return 0, nil }

// OtherSide is not known on this system and returns false.
func OtherSide(syscall.RawConn) (ended, lost bool) { return false, false }
