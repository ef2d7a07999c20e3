package manifest

import (
	"errors"
	"testing"

	"github.com/cockroachdb/datadriven"

	"cyclamenhitch/core/result"
)

// Guards against an error that points at a wrong line or key, also behind
// multi-line strings and in inline tables, and against a written 0 that
// silently becomes a default.
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
