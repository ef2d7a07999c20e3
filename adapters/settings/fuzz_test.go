package settings

import (
	"testing"

	"cyclamenhitch/core/result"
)

// Guards against settings files that cause a panic, or that are accepted with values out
// of range.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", "instance = \"a\"\n[limits]\nmax_body_bytes = -1\n", "[log]\nsample_decisions = 1\nlevel = \"x\"\n", "[[listen]]\n", "a.b.c = 1", "[times]\nstop_seconds = 99999999999999999999\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		s, err := Parse("f.toml", src)
		switch {
		case err != nil:
			if e := result.As(err); e.Code != result.SettingsInvalid || e.Message == "" {
				t.Fatalf("%v", err)
			}
		case s.Instance == "" || s.Limits.MaxBodyBytes <= 0 || s.Times.StopSeconds <= 0 || s.Log.SampleDecisions == nil:
			t.Fatalf("accepted: %+v", s)
		}
	})
}
