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

// Guards against paces of request bodies that no caller meets or that end no stalled one.
func TestEdgeBodyPace(t *testing.T) {
	for line, want := range map[string]string{
		"body_window_ms = 10":       "limits.body_window_ms is 10, accepted range: 1000 to 600000",
		"body_pressed_ms = 600001":  "limits.body_pressed_ms is 600001, accepted range: 1000 to 600000",
		"body_window_kb = 5000":     "limits.body_window_kb is 5000, accepted range: 1 to 4096",
		"body_window_bytes = 10000": "body_window_bytes",
	} {
		if _, err := ParseEdge("node.toml", []byte(validEdge+"[limits]\n"+line+"\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", line, err)
		}
	}
}
