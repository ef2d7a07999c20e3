package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/cmd/internal/operator"
	"cyclamenhitch/standins/model"
	platformfake "cyclamenhitch/standins/platform"
)

const (
	testAccountKey  = "account-key-for-tests"
	testOperatorKey = "operator-key-for-tests"
)

// fixture runs a fake platform, two model engines and one router instance.
type fixture struct {
	t                *testing.T
	dir              string
	platform         *platformfake.Server
	engines          []*model.Engine
	daemon           *Daemon
	log              *zap.Logger
	extraDataCentres []string // in addition to cordon; the next instance is in the last one
	// engineDataCentres are the data centres of the engines; nil puts all into cordon.
	engineDataCentres []string
}

func sha256Hex(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

func newFixture(t *testing.T) *fixture { return newFixtureWithLog(t, zap.NewNop()) }

func newFixtureWithLog(t *testing.T, log *zap.Logger) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: t.TempDir(), log: log}
	var err error
	if f.platform, err = platformfake.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.platform.Close)
	for i := range 2 {
		e, err := model.Start(model.Config{Name: fmt.Sprintf("engine-%d", i), Address: "127.0.0.1:0", CacheChats: 100})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		f.engines = append(f.engines, e)
	}
	f.writeFile("peer.key", strings.Repeat("p", 32))
	f.writeFile("operators", "ana "+sha256Hex(testOperatorKey)+"\n")
	f.writeFile("operator.key", testOperatorKey+"\n")
	f.writeFile("secret", strings.Repeat("s", 32))
	f.daemon = f.startInstance("r1")
	return f
}

func (f *fixture) writeFile(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fixture) startInstance(name string, extra ...string) *Daemon {
	f.t.Helper()
	path := f.writeFile(name+".toml", fmt.Sprintf(`
instance = %q
data_centre = %[6]q
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
[times]
stop_seconds = 1
[trust]
peer_key_file = %[4]q
operator_keys_file = %[5]q
`, name, f.platform.URL(), filepath.Join(f.dir, "secret"), filepath.Join(f.dir, "peer.key"), filepath.Join(f.dir, "operators"), f.nextDataCentre())+strings.Join(extra, "\n"))
	set, err := settings.Load(path)
	if err != nil {
		f.t.Fatal(err)
	}
	d, err := New(set, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.platform.SetMember(name, platformfake.Member{
		Target: d.CallerAddress(),
		Labels: map[string]string{"instance": name, "data_centre": f.nextDataCentre(), "region": "montevideo", "state": "live", "admin": d.AdminAddress(), "peer": d.PeerAddress(), "datagram": d.DatagramAddress()},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// nextDataCentre returns the data centre of the next instance to start.
func (f *fixture) nextDataCentre() string {
	if len(f.extraDataCentres) == 0 {
		return "cordon"
	}
	return f.extraDataCentres[len(f.extraDataCentres)-1]
}

func (f *fixture) manifest() string {
	var b strings.Builder
	b.WriteString("format = 1\n[[data_centre]]\nname = \"cordon\"\nregion = \"montevideo\"\n")
	for _, dc := range f.extraDataCentres {
		fmt.Fprintf(&b, "[[data_centre]]\nname = %q\nregion = \"montevideo\"\n", dc)
	}
	b.WriteString("[[pool]]\nname = \"taller-modelo\"\n")
	for i, e := range f.engines {
		dc := "cordon"
		if f.engineDataCentres != nil {
			dc = f.engineDataCentres[i]
		}
		fmt.Fprintf(&b, "[[server]]\nname = \"engine-%d\"\npool = \"taller-modelo\"\ndata_centre = %q\naddress = %q\n", i, dc, e.Address())
	}
	fmt.Fprintf(&b, "[[account]]\nname = \"workshops\"\nkey_sha256 = [%q]\n", sha256Hex(testAccountKey))
	return b.String()
}

// runOperator runs the operator command against the first instance.
func (f *fixture) runOperator(args ...string) (int, string) {
	var out bytes.Buffer
	args = append(args, "--instance", f.daemon.AdminAddress(), "--key-file", filepath.Join(f.dir, "operator.key"))
	code := operator.Main(args, &out, &out)
	return code, out.String()
}

// applyManifest applies the manifest as version 1 and waits until the first
// instance has put it in force.
func (f *fixture) applyManifest() {
	f.t.Helper()
	if code, out := f.runOperator("apply", f.writeFile("manifest.toml", f.manifest()), "--base", "0"); code != 0 {
		f.t.Fatalf("apply: exit code %d: %s", code, out)
	}
	f.eventually("configuration in force", func() bool { return f.daemon.config.Index() != nil && f.daemon.members.view.Load() != nil })
}

func (f *fixture) eventually(what string, ok func() bool) {
	f.t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("%s: not reached", what)
}

func (f *fixture) request(method, addr, path, key, body string) (int, string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

const chatRequest = `{"model":"taller-modelo","stream":%v,"max_tokens":5,"messages":[{"role":"user","content":"How thick is bridle leather?"}]}`

// Covers the whole path: apply a configuration with the operator command, look up
// an instance, and receive a streamed and a JSON answer through it. Also covers the
// refusals before a configuration, with a wrong key and with an outdated base.
func TestRequestEndToEnd(t *testing.T) {
	f := newFixture(t)
	if status, body := f.request("POST", f.daemon.CallerAddress(), "/v1/chat/completions", testAccountKey, "{}"); status != 503 || !strings.Contains(body, "not_ready") {
		t.Fatalf("before a configuration: status %d, %s", status, body)
	}
	f.applyManifest()

	status, body := f.request("GET", f.daemon.CallerAddress(), "/v1/lookup?model=taller-modelo&chat=c1", testAccountKey, "")
	var found struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal([]byte(body), &found); status != 200 || err != nil || len(found.Addresses) == 0 {
		t.Fatalf("lookup: status %d, %s, %v", status, body, err)
	}
	want := strings.Join(model.CompletionWords("How thick is bridle leather?", 5), "")
	status, body = f.request("POST", found.Addresses[0], "/v1/chat/completions", testAccountKey, fmt.Sprintf(chatRequest, true))
	if got := streamText(t, body); status != 200 || got != want {
		t.Fatalf("stream: status %d, text %q, want %q", status, got, want)
	}
	status, body = f.request("POST", found.Addresses[0], "/v1/chat/completions", testAccountKey, fmt.Sprintf(chatRequest, false))
	if status != 200 || !strings.Contains(body, want) {
		t.Fatalf("JSON answer: status %d, %s", status, body)
	}
	if status, body = f.request("POST", found.Addresses[0], "/v1/chat/completions", "wrong", "{}"); status != 401 {
		t.Fatalf("wrong key: status %d, %s", status, body)
	}
	if code, out := f.runOperator("apply", filepath.Join(f.dir, "manifest.toml"), "--base", "0"); code != operator.ExitConflict {
		t.Fatalf("apply with an old base: exit code %d, %s", code, out)
	}
}

// streamText concatenates the content of all events and fails the test if the
// stream lacks its [DONE] event.
func streamText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	done := false
	for _, ev := range strings.Split(body, "\n\n") {
		data, ok := strings.CutPrefix(ev, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if !done {
		t.Fatalf("stream has no [DONE]: %q", body)
	}
	return text.String()
}
