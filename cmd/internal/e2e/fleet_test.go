// Package e2e tests the daemon as a real process on loopback addresses, with
// the stand-ins in the test process.
package e2e

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhitch/cmd/internal/operator"
	"cyclamenhitch/standins/model"
	platformfake "cyclamenhitch/standins/platform"
)

const (
	accountKey  = "account-key-for-tests"
	operatorKey = "operator-key-for-tests"
	// waitTimeout only limits a hanging test; no latency is asserted with it.
	waitTimeout = 60 * time.Second
)

var daemonPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	daemonPath = filepath.Join(dir, "cyclamenhitchd")
	out, err := exec.Command("go", "build", "-o", daemonPath, "cyclamenhitch/cmd/cyclamenhitchd").CombinedOutput()
	code := 1
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
	} else {
		code = m.Run()
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

// instance is one daemon process.
type instance struct {
	name, caller, admin, peer, datagram string
	cmd                                 *exec.Cmd
	exited                              chan error

	mu  sync.Mutex
	log bytes.Buffer
}

// testFleet is a platform stand-in, two engines and the daemon instances.
type testFleet struct {
	t         *testing.T
	dir       string
	platform  *platformfake.Server
	engines   []*model.Engine
	instances []*instance
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// startFleet starts the stand-ins and the instances, applies a manifest and waits until
// all instances are ready and listed in lookups.
func startFleet(t *testing.T, engine model.Config, instances int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, dir: t.TempDir()}
	var err error
	if f.platform, err = platformfake.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.platform.Close)
	for i := range 2 {
		engine.Name, engine.Address = fmt.Sprintf("engine-%d", i), "127.0.0.1:0"
		e, err := model.Start(engine)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
	}
	f.write("peer.key", strings.Repeat("p", 32))
	f.write("operators", "ana "+sha256Hex(operatorKey)+"\n")
	f.write("operator.key", operatorKey+"\n")
	f.write("secret", strings.Repeat("s", 32))
	for i := range instances {
		f.startInstance(fmt.Sprintf("r%d", i))
	}
	var out bytes.Buffer
	code := operator.Main([]string{
		"apply", f.write("manifest.toml", f.manifest()), "--base", "0",
		"--instance", f.instances[0].admin, "--key-file", filepath.Join(f.dir, "operator.key"),
	}, &out, &out)
	if code != 0 {
		t.Fatalf("apply: exit code %d: %s", code, out.String())
	}
	for _, in := range f.instances {
		f.eventually("instance ready and listed", func() bool {
			addrs, err := newCaller(f, 0).lookup(in.caller)
			return err == nil && len(addrs) == instances
		})
	}
	return f
}

func (f *testFleet) write(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *testFleet) manifest() string {
	var b strings.Builder
	b.WriteString("format = 1\n[fleet]\nkeep_seconds = 1\n[[data_centre]]\nname = \"cordon\"\nregion = \"montevideo\"\n")
	b.WriteString("[[pool]]\nname = \"taller-modelo\"\nsilence_seconds = 1\n")
	for i, e := range f.engines {
		fmt.Fprintf(&b, "[[server]]\nname = \"engine-%d\"\npool = \"taller-modelo\"\ndata_centre = \"cordon\"\naddress = %q\n", i, e.Address())
	}
	fmt.Fprintf(&b, "[[account]]\nname = \"workshops\"\nkey_sha256 = [%q]\n", sha256Hex(accountKey))
	return b.String()
}

func (f *testFleet) startInstance(name string) *instance {
	f.t.Helper()
	path := f.write(name+".toml", fmt.Sprintf(`
instance = %q
data_centre = "cordon"
region = "montevideo"
[listen]
caller = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
datagram = "127.0.0.1:0"
[platform]
table = %[2]q
objects = %[2]q
members = "%[2]s/members"
access_key_id = "router"
secret_file = %[3]q
[trust]
peer_key_file = %[4]q
operator_keys_file = %[5]q
[times]
stop_seconds = 60
[log]
level = "debug"
`, name, f.platform.URL(), filepath.Join(f.dir, "secret"), filepath.Join(f.dir, "peer.key"), filepath.Join(f.dir, "operators")))
	in := &instance{name: name, cmd: exec.Command(daemonPath, path), exited: make(chan error, 1)}
	stderr, err := in.cmd.StderrPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := in.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	started := make(chan map[string]any, 1)
	go in.readLog(stderr, started)
	f.t.Cleanup(func() {
		_ = in.cmd.Process.Kill()
		select {
		case <-in.exited:
		case <-time.After(waitTimeout):
		}
	})
	select {
	case line := <-started:
		in.caller, _ = line["caller"].(string)
		in.admin, _ = line["admin"].(string)
		in.peer, _ = line["peer"].(string)
		in.datagram, _ = line["datagram"].(string)
	case <-time.After(waitTimeout):
		f.t.Fatalf("instance %s did not start: %s", name, in.logText())
	}
	f.setState(in, "live")
	f.instances = append(f.instances, in)
	return in
}

// readLog stores the log and sends the line that contains the listen addresses.
func (in *instance) readLog(r io.Reader, started chan<- map[string]any) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		in.mu.Lock()
		in.log.Write(sc.Bytes())
		in.log.WriteByte('\n')
		in.mu.Unlock()
		var line map[string]any
		if json.Unmarshal(sc.Bytes(), &line) == nil && line["caller"] != nil {
			started <- line
		}
	}
	err := in.cmd.Wait()
	in.exited <- err
	close(in.exited)
}

func (in *instance) logText() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.log.String()
}

func (in *instance) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := in.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// waitExit waits for the process to exit and returns the error of exec.Cmd.Wait.
func (in *instance) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-in.exited:
		return err
	case <-time.After(waitTimeout):
		t.Fatalf("instance %s does not exit: %s", in.name, in.logText())
		return nil
	}
}

func (f *testFleet) setState(in *instance, state string) {
	f.platform.SetMember(in.name, platformfake.Member{
		Target: in.caller,
		Labels: map[string]string{"instance": in.name, "data_centre": "cordon", "region": "montevideo", "state": state, "admin": in.admin, "peer": in.peer, "datagram": in.datagram},
	})
}

// metric returns one value of the instance's entry in an expvar map.
func (f *testFleet) metric(in *instance, group, name string) float64 {
	f.t.Helper()
	req, err := http.NewRequest("GET", "http://"+in.admin+"/admin/metrics", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var groups map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&groups); err != nil {
		f.t.Fatal(err)
	}
	var values map[string]map[string]float64
	if err := json.Unmarshal(groups[group], &values); err != nil {
		f.t.Fatalf("%s: %v", group, err)
	}
	got, ok := values[in.name][name]
	if !ok {
		f.t.Fatalf("%s has no value %s", group, name)
	}
	return got
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	f.t.Fatalf("condition not met in time: %s", what)
}
