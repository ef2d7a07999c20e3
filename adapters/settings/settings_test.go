package settings

import (
	"strings"
	"testing"
)

const valid = `instance = "r1"
data_centre = "cordon"
region = "m"
platform = { table = "http://10.0.0.9", objects = "http://10.0.0.9", members = "http://10.0.0.9/members" }
trust = { peer_key_file = "p", operator_keys_file = """
o""" }
[listen]
caller = "10.0.0.1:80"
admin = "10.0.0.1:81"
peer = "10.0.0.1:82"
datagram = "10.0.0.1:83"
[times]
stop_seconds = 10
`

// Guards against errors that report a wrong position, also after inline tables and
// multi-line strings, and against a misspelt key that is accepted.
func TestParsePositions(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"", "", ""},
		{"stop_seconds = 10", "stop_secs = 10", "f:13:1: unknown key times.stop_secs"},
		{"stop_seconds = 10", "stop_seconds = -1", "f:13:1: times.stop_seconds is -1, accepted range: 1 to 86400"},
		{"stop_seconds = 10", "stop_seconds = 0", "f:13:1: times.stop_seconds must not be 0; leave the key out for its default"},
		{`table = "http://10.0.0.9"`, `table = ""`, "f:4:14: platform.table is required"},
		{"10.0.0.1:82", "localhost:82", "f:10:1: listen.peer is \"localhost:82\", want an IP address and port such as 10.0.0.1:8080"},
		{"peer = \"10.0.0.1:82\"\n", "", "f:7:2: listen.peer is \"\", want an IP address and port such as 10.0.0.1:8080"},
	} {
		_, err := Parse("f", []byte(strings.Replace(valid, c.old, c.new, 1)))
		got := ""
		if err != nil {
			_, got, _ = strings.Cut(err.Error(), "settings_invalid: ")
		}
		if got != c.want {
			t.Errorf("%q: got %q, want %q", c.new, got, c.want)
		}
	}
}
