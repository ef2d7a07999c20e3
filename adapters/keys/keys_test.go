package keys

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cyclamenhitch/core/result"
)

func writeFile(t *testing.T, path, content string, mod time.Time) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, mod, mod); err != nil {
		t.Fatal(err)
	}
}

// Guards against startup with a missing key file or a key that is too short.
func TestOpenSecretRefusesBadFiles(t *testing.T) {
	short := filepath.Join(t.TempDir(), "short")
	writeFile(t, short, "too short\n", time.Now())
	for _, path := range []string{short, short + "-missing"} {
		_, err := OpenSecret(path)
		if err == nil || result.As(err).Code != result.KeyFileInvalid || !strings.Contains(err.Error(), path) {
			t.Errorf("OpenSecret(%s) = %v, want key_file_invalid that names the file", path, err)
		}
	}
}

// Guards against a key rotation that needs a restart, and against a malformed file that
// replaces the working key.
func TestSecretIsReloaded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	old, next := strings.Repeat("a", MinSecretBytes), strings.Repeat("b", MinSecretBytes)
	start := time.Now().Add(-time.Hour)
	writeFile(t, path, old, start)
	s, err := OpenSecret(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, step := range []struct{ content, want string }{
		{"short", old},
		{old + "\nshort", old},
		{strings.Repeat(next+"\n", maxSecrets+1), old},
		{old + "\n" + next + "\n", old + " " + next},
		{" " + next + "\r\n\n" + old, next + " " + old},
		{next, next},
	} {
		writeFile(t, path, step.content, start.Add(time.Duration(i+1)*time.Minute))
		s.f.checked = time.Time{}
		got := string(bytes.Join(s.Accepted(), []byte(" ")))
		if signs, _, _ := strings.Cut(step.want, " "); got != step.want || string(s.Bytes()) != signs {
			t.Errorf("after %q: keys %q, want %q; signs with %q", step.content, got, step.want, s.Bytes())
		}
	}
}

// Guards against errors in an operators file that do not name the line.
func TestOpenOperatorsNamesTheLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operators")
	writeFile(t, path, "# comment\nana "+strings.Repeat("0", 64)+"\nluka nothex\n", time.Now())
	if _, err := OpenOperators(path); err == nil || !strings.Contains(err.Error(), "line 3") {
		t.Errorf("OpenOperators = %v, want an error at line 3", err)
	}
}
