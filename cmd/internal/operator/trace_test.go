package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a trace that omits lines that explain a request, or that includes
// lines of other instances, servers or times.
func TestTrace(t *testing.T) {
	log := filepath.Join(t.TempDir(), "a.log")
	lines := `1.0 a {"ts":"2026-12-04T10:00:01Z","msg":"server seen","instance":"a","server":"s1"}
1.0 b {"ts":"2026-12-04T10:00:01Z","msg":"server gone","instance":"b","server":"s1"}
1.1 a {"ts":"2026-12-04T10:00:01.1Z","msg":"server gone","instance":"a","server":"s2"}
1.2 a {"ts":"2026-12-04T10:00:01.2Z","msg":"store lost","instance":"a","table":"op"}
not a line
1.5 a {"ts":"2026-12-04T10:00:01.5Z","msg":"request failed","instance":"a","request_id":"r1","decisions":[{"server":"s1"}],"code":3003}
1.6 a {"ts":"2026-12-04T10:00:01.6Z","msg":"request failed","instance":"a","request_id":"r2","decisions":[{"server":"s1"}]}
9.0 a {"ts":"2026-12-04T10:00:09Z","msg":"server gone","instance":"a","server":"s1"}
`
	if err := os.WriteFile(log, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errOut bytes.Buffer
	if code := Main([]string{"trace", "r1", log}, &out, &errOut); code != ExitOK {
		t.Fatalf("exit code %d: %s", code, &errOut)
	}
	var got []string
	for _, l := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		at, _, _ := strings.Cut(l, " {")
		got = append(got, at)
	}
	if strings.Join(got, ",") != "1.0 a,1.2 a,1.5 a" {
		t.Errorf("trace shows lines %q, want 1.0 a, 1.2 a and 1.5 a", got)
	}
	out.Reset()
	if code := Main([]string{"trace", "none", log}, &out, &errOut); code == ExitOK || out.Len() > 0 {
		t.Errorf("unknown request: exit code %d, output %q", code, &out)
	}
}
