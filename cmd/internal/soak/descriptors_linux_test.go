package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// descriptorLimit is the limit of open files of the instance in these tests.
const descriptorLimit = 512

// limitDescriptors sets the limit of open files of a process.
func limitDescriptors(pid int, n uint64) error {
	l := syscall.Rlimit{Cur: n, Max: n}
	if _, _, e := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&l)), 0, 0, 0); e != 0 {
		return e
	}
	return nil
}

// Guards against connections beyond the limit of open files that end the process or its answers.
func TestConnectionsBeyondTheDescriptorLimit(t *testing.T) {
	for name, allowed := range map[string]uint64{"as set": descriptorLimit, "less than set": 200} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 0)
			binary, err := buildDaemon()
			if err != nil {
				t.Fatal(err)
			}
			n := f.instance(binary, 0, stopTime, keepTime)
			text, err := os.ReadFile(n.settings)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(n.settings, fmt.Appendf(text, "descriptors = %d\n", descriptorLimit), 0o600); err != nil {
				t.Fatal(err)
			}
			f.instances = append(f.instances, n)
			n.start(t)
			f.eventually("the instance is listed", func() bool { return len(f.resolve(n)) == 1 })
			if err := limitDescriptors(n.process.Pid, allowed); err != nil {
				t.Fatal(err)
			}
			for _, addr := range []string{n.caller, n.directory, n.caller} {
				for range descriptorLimit {
					nc, err := net.DialTimeout("tcp", addr, waitTimeout)
					if err != nil {
						t.Fatalf("connect: %v", err)
					}
					defer nc.Close()
				}
				f.eventually("the directory answers", func() bool { return len(f.resolve(n)) == 1 })
				served := 0
				f.eventually("new callers are served", func() bool {
					status, _, _, err := sendOrder(n, fmt.Sprint("d", time.Now().UnixNano()))
					if err == nil && status == http.StatusOK {
						served++
					}
					return served == 10
				})
			}
			select {
			case <-n.exited:
				t.Fatal("the process ended")
			default:
			}
		})
	}
}
