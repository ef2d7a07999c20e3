package platform

import (
	"testing"

	"cyclamenhitch/core/result"
)

// Guards against panics on malformed membership lists and lists that are decoded in part.
func FuzzParseMembers(f *testing.F) {
	for _, s := range []string{
		`[]`, `null`, `[{"targets":["10.0.0.1:1"],"labels":{"instance":"a","state":"leaving"}}]`, `[{"targets":null,"labels":null}]`, `[{"targets":[""]},{}]`, `{"targets":[]}`, `[`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		ms, err := ParseMembers(body)
		if err != nil {
			if len(ms) > 0 || result.As(err).Code != result.StoreUnavailable {
				t.Fatalf("%d members with error %v", len(ms), err)
			}
			return
		}
		for _, m := range ms {
			if m.Instance == "" || m.Caller == "" {
				t.Fatalf("member without an instance name or address: %+v", m)
			}
		}
	})
}
