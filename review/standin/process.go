package main

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// startOnOneCore starts a process that sees one core, as DEPLOY.md gives it. A child takes
// over the cores of the thread that starts it.
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one [16]uint64
	size := unsafe.Sizeof(all)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all))); e != 0 {
		return e
	}
	coreMu.Lock()
	n := nextCore
	nextCore++
	coreMu.Unlock()
	var cores []int
	for i := range 64 * len(all) {
		if all[i/64]>>(i%64)&1 == 1 {
			cores = append(cores, i)
		}
	}
	c := cores[n%len(cores)]
	one[c/64] = 1 << (c % 64)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one))); e != 0 {
		return e
	}
	err := cmd.Start()
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all))); e != 0 {
		return e
	}
	return err
}

// limitDescriptors limits the descriptors of a process that this one started.
func limitDescriptors(pid, n int) error {
	l := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	if _, _, e := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&l)), 0, 0, 0); e != 0 {
		return e
	}
	return nil
}
