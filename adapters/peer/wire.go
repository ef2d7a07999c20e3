package peer

import (
	"strconv"
	"strings"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/adapters/peer/permitpb"
)

// host is the Host field of calls. HTTP/1.1 requires the field, but servers ignore its
// value, which is short to save bytes.
const host = "p"

// protobufType is the content type of calls without a Content-Type field.
const protobufType = "application/protobuf"

// services maps the path prefixes of twirp to short ones that are sent instead. Those of
// twirp take up to 40 bytes, a third of a permit call.
var services = []struct{ twirp, wire string }{
	{permitpb.PermitsPathPrefix, "/p/"},
	{claimpb.ClaimsPathPrefix, "/c/"},
	{configpb.ConfigPathPrefix, "/v/"},
}

// wirePath returns the path of a call as sent and signed.
func wirePath(path string) string {
	for _, s := range services {
		if method, ok := strings.CutPrefix(path, s.twirp); ok {
			return s.wire + method
		}
	}
	return path
}

// servicePath returns the path that the mounted handler expects. It inverts wirePath.
func servicePath(path string) string {
	for _, s := range services {
		if method, ok := strings.CutPrefix(path, s.wire); ok {
			return s.twirp + method
		}
	}
	return path
}

// CallBytes returns the size of a call with a message of n bytes, including the HTTP
// header but not TLS, TCP and IP.
func CallBytes(path string, n int) int {
	return len("POST ") + len(wirePath(path)) + len(" HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: ") +
		digits(n+callAuthBytes) + len("\r\n\r\n") + callAuthBytes + n
}

// AnswerBytes returns the size of a successful answer with a message of n bytes,
// including the HTTP header but not TLS, TCP and IP.
func AnswerBytes(n int) int {
	return len("HTTP/1.1 200 OK\r\nContent-Length: ") + digits(n+macBytes) + len("\r\n\r\n") + macBytes + n
}

func digits(n int) int { return len(strconv.Itoa(n)) }
