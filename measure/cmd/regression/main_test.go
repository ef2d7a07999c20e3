package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against accepting a broken rule, a failed gate or a site without a score, and
// against comparing with a run that used --small.
func TestCompare(t *testing.T) {
	dir := t.TempDir()
	write := func(name, src string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(src), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const days = `"days":[{"name":"quiet-1","G":%s,"rules":{%r},"gate":%g}]`
	score := func(id, site, worth, rules, gate, args string) string {
		d := strings.NewReplacer("%s", worth, "%r", rules, "%g", gate).Replace(days)
		return `{"id":"` + id + `","cmd":"score","ok":true,"site":"` + site + `","argv":[` + args + `],` + d + `}`
	}
	write("1.json", score("a", "x", "0.7", "", "true", ""))
	write("2.json", score("b", "x", "0.1", "", "true", `"--small"`))
	write("3.json", score("c", "x", "0.8", "", "true", ""))
	write("4.json", score("d", "y", "0.9", `"LIMIT":1`, "false", ""))
	write("5.json", score("e", "z", "0.9", "", "false", ""))
	write("6.json", `{"id":"f","cmd":"hunt","site":"x"}`)
	plays, err := readScores(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range []struct {
		site string
		ok   bool
		want string
	}{{"x", true, "0.800  0.700   -       c"}, {"y", false, "LIMIT 1"}, {"z", false, "gate"}} {
		var out strings.Builder
		ok, err := compare(&out, plays, []string{row.site})
		if err != nil || ok != row.ok || !strings.Contains(out.String(), row.want) {
			t.Errorf("%s: %v, %v, want %v with %q:\n%s", row.site, ok, err, row.ok, row.want, out.String())
		}
	}
	if _, err := compare(&strings.Builder{}, plays, []string{"none"}); err == nil {
		t.Error("a site without a score passes")
	}
}
