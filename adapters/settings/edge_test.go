package settings

import (
	"strings"
	"testing"

	"cyclamenhitch/core/placement"
)

const validEdge = `instance = "i"
data_centre = "d"
region = "r"
store = "10.0.0.1:80"
[listen]
caller = "10.0.0.1:1"
ready = "10.0.0.1:2"
directory = "10.0.0.1:3"
peer = "10.0.0.1:4"
`

// Weights that make no sense and unknown mechanisms must stop the start, with the place and
// what is accepted.
func TestEdgePolicy(t *testing.T) {
	for lines, want := range map[string]string{
		"fetch_weight = -1":               "10:2: policy is invalid: fetch weight is -1, accepted range: 0 to 100",
		"fetch_weight = inf":              "fetch weight is +Inf",
		"fetch_weight = nan":              "fetch weight is NaN",
		`disabled = ["fetching", "luck"]`: `mechanism "luck" is unknown, known are hash_order, fetching`,
		"weight = 1":                      "weight",
	} {
		_, err := ParseEdge("node.toml", []byte(validEdge+"[policy]\n"+lines+"\n"))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", lines, err, want)
		}
	}
	s, err := ParseEdge("node.toml", []byte(validEdge+"[policy]\nfetch_weight = 0\ndisabled = [\"waiting\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.PlacementPolicy()
	if err != nil || p.FetchWeight != 0 || p.On(placement.Waiting) || !p.On(placement.Fetching) {
		t.Errorf("policy %+v, error %v", p, err)
	}
}
