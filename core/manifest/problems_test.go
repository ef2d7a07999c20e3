package manifest

import (
	"errors"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cyclamenhitch/core/result"
)

// Guards against errors that report the wrong line or key, for example after a
// multi-line string or in an inline table, and against an explicit 0 that silently
// becomes the default.
func TestProblems(t *testing.T) {
	datadriven.RunTest(t, "testdata/problems", func(t *testing.T, d *datadriven.TestData) string {
		m, err := Decode([]byte(d.Input))
		if err != nil {
			var ps Problems
			if !errors.As(err, &ps) || result.As(err).Code != result.ManifestInvalid {
				t.Fatalf("unexpected error %v", err)
			}
			return ps.Error() + "\n"
		}
		if len(m.Pools) == 0 {
			return "valid without pools\n"
		}
		return "valid\n"
	})
}
