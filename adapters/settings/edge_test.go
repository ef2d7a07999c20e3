package settings

import (
	"encoding/json"
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

// Guards against limits of roll-outs that cannot be kept, and roll-outs without a limit.
func TestEdgeRollout(t *testing.T) {
	for lines, want := range map[string]string{
		"expose_share = 0":                      "11:1: rollout.expose_share is 0, accepted range: over 0 to 1",
		"expose_share = nan":                    "rollout.expose_share is NaN",
		"expose_share = 0.1\nexpose_slack = -1": "12:1: rollout.expose_slack is -1",
		"rollback_ms = 100":                     "rollout.rollback_ms is 100, accepted range: 2000 to 3600000",
		"move_share = 0.9":                      "rollout.move_share is 0.9",
		"max_move_ms = 1":                       "rollout.max_move_ms is 1",
	} {
		if _, err := ParseEdge("node.toml", []byte(validEdge+"[rollout]\n"+lines+"\n")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", lines, err, want)
		}
	}
	s, err := ParseEdge("node.toml", []byte(validEdge))
	if err != nil || s.Rollout.Enabled() {
		t.Errorf("without the table: enabled %v, error %v", s.Rollout.Enabled(), err)
	}
	s, err = ParseEdge("node.toml", []byte(validEdge+"[rollout]\nexpose_share = 0.1\nexpose_slack = 50\n"))
	if err != nil || !s.Rollout.Enabled() || s.Rollout.Config().RollbackLimit != Millis(5000) || s.Rollout.Config().MaxMove != Millis(10_000) {
		t.Errorf("settings %+v, error %v", s.Rollout, err)
	}
}

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

// Guards against settings that a template of a platform without roll-outs, or one that renders
// numbers as texts, cannot fill.
func TestOptionalNumbersOfTemplates(t *testing.T) {
	s, err := ParseEdge("node.toml", []byte(validEdge+"[rollout]\nexpose_share = \"\"\nexpose_slack = \"\"\nrollback_ms = \"\"\n"))
	if err != nil || s.Rollout.Enabled() {
		t.Errorf("empty texts: enabled %v, error %v", s.Rollout.Enabled(), err)
	}
	s, err = ParseEdge("node.toml", []byte(validEdge+"[rollout]\nexpose_share = \"0.1\"\nrollback_ms = \"4000\"\n"))
	if err != nil || s.Rollout.ExposeShare.Value != 0.1 || s.Rollout.Config().RollbackLimit != Millis(4000) {
		t.Errorf("texts: %+v, error %v", s.Rollout, err)
	}
	if _, err = ParseEdge("node.toml", []byte(validEdge+"[rollout]\nexpose_share = \"much\"\n")); err == nil {
		t.Error("a text that is no number was accepted")
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

// Guards against settings that a process started with encoded ones cannot read.
func TestSettingsSurviveEncoding(t *testing.T) {
	for _, lines := range []string{"", "[rollout]\nexpose_share = 0.1\n"} {
		s, err := ParseEdge("node.toml", []byte(validEdge+lines))
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var again Edge
		if err := json.Unmarshal(encoded, &again); err != nil || again.Rollout != s.Rollout {
			t.Errorf("%q: %+v, %v", lines, again.Rollout, err)
		}
	}
}
