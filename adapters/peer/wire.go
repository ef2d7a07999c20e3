package peer

import (
	"strconv"
	"strings"

	"cyclamenhitch/adapters/peer/claimpb"
	"cyclamenhitch/adapters/peer/configpb"
	"cyclamenhitch/adapters/peer/permitpb"
)

// host is the Host field of calls. HTTP/1.1 requires the field; instances
// serve one host, so that its value has no use.
const host = "p"

// protobufType is the type of a message whose call names none.
const protobufType = "application/protobuf"

// services replaces the path prefixes of twirp on a connection: they are up to
// 40 bytes, a third of a permit call.
var services = []struct{ twirp, wire string }{
	{permitpb.PermitsPathPrefix, "/p/"},
	{claimpb.ClaimsPathPrefix, "/c/"},
	{configpb.ConfigPathPrefix, "/v/"},
}

// wirePath is the path of a call as it is sent and signed.
func wirePath(path string) string {
	for _, s := range services {
		if method, ok := strings.CutPrefix(path, s.twirp); ok {
			return s.wire + method
		}
	}
	return path
}

// servicePath is the path that a mounted handler expects.
func servicePath(path string) string {
	for _, s := range services {
		if method, ok := strings.CutPrefix(path, s.wire); ok {
			return s.twirp + method
		}
	}
	return path
}

// CallBytes is the size of a call with a message of n bytes on a connection,
// without TLS, TCP and IP.
func CallBytes(path string, n int) int {
	return len("POST ") + len(wirePath(path)) + len(" HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: ") +
		digits(n+callAuthBytes) + len("\r\n\r\n") + callAuthBytes + n
}

// AnswerBytes is the size of a successful answer with a message of n bytes on a
// connection, without TLS, TCP and IP.
func AnswerBytes(n int) int {
	return len("HTTP/1.1 200 OK\r\nContent-Length: ") + digits(n+macBytes) + len("\r\n\r\n") + macBytes + n
}

func digits(n int) int { return len(strconv.Itoa(n)) }
