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

// A hold of zero or of hours, written by mistake, must stop the start.
func TestEdgeEras(t *testing.T) {
	for lines, want := range map[string]string{
		"operator_ms = 50":     "11:1: eras.operator_ms is 50, accepted range: 100 to 600000",
		"catch_up_ms = 600000": "eras.catch_up_ms is 600000, accepted range: 100 to 60000",
		"hold = 1":             "hold",
	} {
		_, err := ParseEdge("node.toml", []byte(validEdge+"[eras]\n"+lines+"\n"))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", lines, err, want)
		}
	}
	s, err := ParseEdge("node.toml", []byte(validEdge))
	if err != nil || s.Eras != (EdgeEras{OperatorMillis: 10_000, CatchUpMillis: 5000}) {
		t.Errorf("defaults %+v, %v", s, err)
	}
}
