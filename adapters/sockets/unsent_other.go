//go:build !linux

package sockets

import "syscall"

// limitUnsent does nothing on this system.
func limitUnsent(syscall.RawConn, int) error { return nil }
