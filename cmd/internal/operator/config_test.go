package operator

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cyclamenhitch/standins/userstore"
)

// Guards against exit codes that let a pipeline send a broken configuration, findings without
// their place, and keys in the output.
func TestConfigCheck(t *testing.T) {
	const good = `{"version":2,
"routes":[{"name":"r","host":"h","path_prefix":"/r/","kind":"idempotent","timeout_ms":600,"target_latency_ms":120,"service":"s"}],
"services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["secret"]}]}`
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	s, err := userstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Set("op", "config", []byte(strings.Replace(good, `"version":2`, `"version":1`, 1)))
	goodFile := file("good", good)
	slow := file("slow", strings.Replace(good, "120", "900", 1))
	for _, c := range []struct {
		args []string
		code int
		want string // in either output
	}{
		{[]string{goodFile}, ExitOK, "version 2, no findings"},
		{[]string{slow}, ExitFailed, "slow:2:111: contradiction: route \"r\" has a target of 900 ms above its timeout of 600 ms (routes[0].target_latency_ms)"},
		{[]string{goodFile, "--against", goodFile}, ExitFailed, "version 2 does not replace version 2"},
		{[]string{slow, "--store", s.Address()}, ExitFailed, "changed route r TargetMS 120 -> 900"},
		{[]string{goodFile, "--store", s.Address()}, ExitOK, "no findings"},
		{[]string{file("broken", "{\n \"version\": }")}, ExitUsage, "broken: 2:"},
		{[]string{file("type", "{\n \"version\": \"x\"}")}, ExitUsage, "type: 2:"},
		{[]string{filepath.Join(dir, "none")}, ExitUsage, "none"},
		{[]string{goodFile, "--store", "127.0.0.1:1"}, ExitUsage, "127.0.0.1:1"},
		{[]string{goodFile, "--store", "127.0.0.1:1", "--against", goodFile}, ExitUsage, "against"},
	} {
		for _, asJSON := range []bool{false, true} {
			args := append([]string{"config", "check"}, c.args...)
			if asJSON {
				args = append(args, "--json")
			}
			var out, errOut bytes.Buffer
			code := Main(args, &out, &errOut)
			if code != c.code || !asJSON && !strings.Contains(out.String()+errOut.String(), c.want) || strings.Contains(out.String(), "secret") {
				t.Errorf("%v: exit code %d, want %d with %q:\n%s%s", args, code, c.code, c.want, &out, &errOut)
			}
			if asJSON && out.Len() > 0 && !json.Valid(out.Bytes()) {
				t.Errorf("%v: invalid JSON %s", args, &out)
			}
		}
	}
}
