package manifest

import (
	"strings"
	"testing"

	"cyclamenhitch/core/result"
)

// Guards against a manifest whose desired engine state cannot be reached, and
// against errors without a position.
func TestCheckEngineState(t *testing.T) {
	const src = `format = 1
[fleet]
weight_loads_per_minute = -1
[[pool]]
name = "m"
versions = { other = "1", m = "" }
adapters = ["a@1", "a@2", "b"]
role = "training"
[[pool]]
name = "s"
kind = "service"
role = "both"
`
	_, err := Decode([]byte(src))
	got := result.As(err).Cause.Error()
	for _, want := range []string{
		"3:1: weight_loads_per_minute is -1",
		`6:1: versions names model "other"`,
		`6:1: versions gives no version for model "m"`,
		`7:1: adapter "a" is listed twice`,
		`7:1: adapter is "b", want name@version`,
		`8:1: role is "training"`,
		`11:1: pool "s" is of kind service`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no error %q in\n%s", want, got)
		}
	}
}
