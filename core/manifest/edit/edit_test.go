package edit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"cyclamenhitch/core/manifest"
)

// Guards against an edit that loses comments, reorders entries or changes another
// entry.
func TestSetState(t *testing.T) {
	datadriven.RunTest(t, "testdata/state", func(t *testing.T, d *datadriven.TestData) string {
		var table, name, state string
		d.ScanArgs(t, "table", &table)
		d.ScanArgs(t, "name", &name)
		d.ScanArgs(t, "state", &state)
		out, err := SetState([]byte(d.Input+"\n"), table, name, state)
		if err != nil {
			return "error: " + err.Error() + "\n"
		}
		return string(out)
	})
}

// Guards against an edit that loses a comment, changes another entry or cannot be
// reverted, for different layouts of the entries.
func TestSetStateAndBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "entries")
		var b strings.Builder
		b.WriteString("format = 1 # the only format\n")
		for i := range n {
			state := rapid.SampledFrom([]string{"", "state = \"in\"\n", "state='in' # comment\n", "  state = \"\"\"in\"\"\"\n"}).Draw(t, "state")
			before := rapid.Bool().Draw(t, "before")
			fmt.Fprintf(&b, "[[data_centre]] # dc %d\n", i)
			if before {
				b.WriteString(state)
			}
			fmt.Fprintf(&b, "\tname = \"dc-%d\" # name\n", i)
			if !before {
				b.WriteString(state)
			}
			b.WriteString("region = \"[[data_centre]]\"\n")
		}
		name := fmt.Sprintf("dc-%d", rapid.IntRange(0, n-1).Draw(t, "which"))
		out, err := SetState([]byte(b.String()), "data_centre", name, "out")
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(out), "#") != strings.Count(b.String(), "#") {
			t.Fatalf("the edit lost a comment:\n%s", out)
		}
		back, err := SetState(out, "data_centre", name, "in")
		if err != nil {
			t.Fatal(err)
		}
		a, _ := manifest.Decode([]byte(b.String()))
		c, err := manifest.Decode(back)
		if err != nil || len(Compare(a, c)) != 0 {
			t.Fatalf("setting the state to out and back to in changed the manifest: %v, %v", err, Compare(a, c))
		}
	})
}

// Guards against a comparison that reports the wrong entry or key.
func TestCompare(t *testing.T) {
	a, err := manifest.Decode([]byte("format = 1\n[[pool]]\nname='a'\n[[pool]]\nname='b'\n"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := manifest.Decode([]byte("format = 1\n[fleet]\nkeep_seconds=5\n[[pool]]\nname='b'\nload_bound=2\n[pool.objectives]\nfirst_token_ms=500\n[[pool]]\nname='c'\n[[account]]\nname='x'\n"))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, c := range Compare(a, b) {
		got = append(got, c.String())
	}
	want := "changed fleet: keep_seconds 20 -> 5|removed pool \"a\"|changed pool \"b\": load_bound 1.25 -> 2, objectives.first_token_ms 440 -> 500|added pool \"c\"|added account \"x\""
	if s := strings.Join(got, "|"); s != want {
		t.Fatalf("got  %s\nwant %s", s, want)
	}
}
