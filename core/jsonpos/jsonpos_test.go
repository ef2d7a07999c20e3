package jsonpos

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against positions of the wrong entry: keys with escapes, repeated keys, separators
// and brackets inside strings.
func TestPosition(t *testing.T) {
	src := `{
  "a" : [ {"b,:[": 1} ,
    {"c": "x] y" , "d":{}} ],
  "e\u0066":null, "a": 2
}`
	d, err := Parse([]byte(src))
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string][2]int{
		"": {1, 1}, "a": {2, 9}, "a[0].b,:[": {2, 20}, "a[1].c": {3, 11}, "a[1].d": {3, 24}, "ef": {4, 13}, "none": {1, 1},
	} {
		if line, column := d.Position(path); line != want[0] || column != want[1] {
			t.Errorf("%q at %d:%d, want %d:%d", path, line, column, want[0], want[1])
		}
	}
	for _, bad := range []string{"", "{", `{"a":}`, `[1,]`, `{} x`, `{"a":1 "b":2}`, "\xff"} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q was parsed", bad)
		}
	}
}

// Guards against a walk that panics or accepts what the decoder of the instances refuses.
func TestParseAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		src := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"{", "}", "[", "]", ",", ":", `"k"`, "1", "null", " ", "-", `"`}), 0, 12).Draw(t, "tokens"), "")
		if _, err := Parse([]byte(src)); (err == nil) != json.Valid([]byte(src)) {
			t.Fatalf("%q: %v, valid %v", src, err, json.Valid([]byte(src)))
		}
	})
}
