package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		notRun("%v", err)
	}
}

// notRun ends the script: the case could not be played.
func notRun(format string, args ...any) {
	note("could not run: "+format, args...)
	killAll()
	if workDir != "" {
		_ = os.RemoveAll(workDir)
	}
	os.Exit(2)
}

var (
	// workDir holds the settings and logs of the instances.
	workDir  string
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line to record.txt and to standard output.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%7.3f %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if record != nil {
		_, _ = record.WriteString(line)
	}
}

// instance is a process of the project.
type instance struct {
	name                                    string
	caller, ready, directory, peer, metrics string
	cmd                                     *exec.Cmd
	log                                     string
	done                                    chan struct{}
	// starts are the times at which its processes were started.
	starts []time.Time
	state  *os.ProcessState
}

var (
	instancesMu sync.Mutex
	instances   []*instance
	// ending is set when no more processes may be started.
	ending   bool
	coreMu   sync.Mutex
	nextCore int
)

func killAll() {
	instancesMu.Lock()
	defer instancesMu.Unlock()
	ending = true
	for _, in := range instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			_ = in.cmd.Process.Kill()
			<-in.done
		}
	}
}

// Ports of the instances are chosen below the range from which the system takes the ports of
// outgoing connections, so that none of these takes one before its instance listens.
const (
	firstPort = 12000
	portCount = 18000
)

var portsTaken = map[int]bool{}

// freePort returns an address with a port that is free for TCP and UDP.
func freePort() string {
	for range 10 * portCount {
		port := firstPort + rand.IntN(portCount)
		if portsTaken[port] {
			continue
		}
		portsTaken[port] = true
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		pc, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		_ = pc.Close()
		return addr
	}
	notRun("no port is free")
	return ""
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills the deploy template in as DEPLOY.md says, as far as the template uses it.
func fill(template string, values map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if _, ok := values[m[1]]; !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", values[m[1]])
	})
	return valuePattern.ReplaceAllStringFunc(template, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			notRun("the template asks for %s", m[1])
		}
		return v
	})
}

// newInstance chooses the addresses of an instance.
func newInstance(name string) *instance {
	return &instance{name: name, caller: freePort(), ready: freePort(), directory: freePort(), peer: freePort(), metrics: freePort()}
}

// start starts the instance with the command of deploy/system.toml. It returns false at the
// end of the script, when no more processes are started.
func (in *instance) start(dir, storeAddr, zone string, first bool) bool {
	tmpl, err := os.ReadFile("deploy/settings.toml.tmpl")
	check(err)
	_, peerPort, _ := net.SplitHostPort(in.peer)
	_, metricsPort, _ := net.SplitHostPort(in.metrics)
	text := fill(strings.ReplaceAll(string(tmpl), "9464", metricsPort), map[string]string{
		"node_name": in.name, "zone": zone, "region": "montevideo", "platform.address": storeAddr, "bootstrap": strconv.FormatBool(first),
		"listen.front": in.caller, "listen.ready": in.ready, "listen.directory": in.directory, "ip": "127.0.0.1", "internal_ports.0": peerPort,
		"bounds.revoke_ms": "5000", "limits.memory_mb": "284", "limits.max_fds": "4100", "limits.link_mbps": "1000.0",
		"bounds.budget_ratio": "0.2", "bounds.budget_slack": "58",
	})
	path := filepath.Join(dir, in.name+".toml")
	check(os.WriteFile(path, []byte(text), 0o600))
	in.log = filepath.Join(dir, in.name+".log")
	out, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd, done := exec.Command("target/cyclamenhitchd", "--discover", path), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CYCLAMENHITCH_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	instancesMu.Lock()
	if ending {
		instancesMu.Unlock()
		return false
	}
	err = startOnOneCore(cmd)
	if err == nil {
		in.cmd, in.done = cmd, done
		in.starts = append(in.starts, time.Now())
		instances = append(instances, in)
	}
	instancesMu.Unlock()
	check(err)
	_ = out.Close()
	go func() {
		_ = cmd.Wait()
		in.state = cmd.ProcessState
		close(done)
	}()
	return true
}

// isReady asks the instance as the platform does.
func (in *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (in *instance) awaitReady() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if in.isReady() {
			return
		}
	}
	notRun("%s does not become ready", in.name)
}

// contact is contact_ms of the settings.
const contact = 3 * time.Second

// inTouch reports whether no process of the instance was started within contact before at.
// Nothing else of what RULES.md lists befalls an instance in the scripts that ask this.
func (in *instance) inTouch(at time.Time) bool {
	instancesMu.Lock()
	defer instancesMu.Unlock()
	for _, t := range in.starts {
		if t.Before(at) && at.Sub(t) < contact {
			return false
		}
	}
	return true
}

// ended reports whether the process has ended by itself.
func (in *instance) ended() bool {
	select {
	case <-in.done:
		return true
	default:
		return false
	}
}
