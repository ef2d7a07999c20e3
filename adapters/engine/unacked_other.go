//go:build !linux

package engine

import (
	"syscall"
	"time"
)

func setUnacked(syscall.RawConn, time.Duration) error { return nil }
