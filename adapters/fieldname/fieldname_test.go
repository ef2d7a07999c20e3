package fieldname

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a verdict that depends on how the bytes of a header are split, or on what
// follows it.
func TestScanner(t *testing.T) {
	const rest = "Not A Name: x\r\n"
	for header, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                        true,
		"\r\nHTTP/1.1 200 OK\r\nA-b_c.d!#$%&'*+^`|~9: b\r\n\r\n": true,
		"HTTP/1.1 200 OK\nA: b c:d\n\n":                          true,
		"HTTP/1.1 200 OK\r\nA: b\r\n folded: c d\r\n\r\n":        true,
		"HTTP/1.1 200 OK\r\nA:\r\n\r\n":                          true,
		"HTTP/1.1 200 OK\r\n\r\n":                                true,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                       false,
		"HTTP/1.1 200 OK\r\nA\t: c\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                         false,
		"HTTP/1.1 200 OK\r\nA: b\r\nC\x00: c\r\n\r\n":            false,
		"HTTP/1.1 200 OK\r\n\x7fA: b\r\n\r\n":                    false,
		"HTTP/1.1 200 OK\r\nA\xe4: b\r\n\r\n":                    false,
		"HTTP/1.1 200 OK\r\nA\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\n\r\r\nA: b\r\n\r\n":                  true,
	} {
		rapid.Check(t, func(rt *rapid.T) {
			var s Scanner
			for b := []byte(header + rest); len(b) > 0; {
				n := rapid.IntRange(1, len(b)).Draw(rt, "read")
				s.Scan(b[:n])
				b = b[n:]
			}
			if (s.Err() == nil) != valid {
				rt.Fatalf("%q: %v", header, s.Err())
			}
			if s.Reset(); s.Err() != nil {
				rt.Fatal("the verdict remains after a reset")
			}
		})
	}
}
