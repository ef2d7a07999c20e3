package httpapi

import (
	"net/url"
	"strings"

	"cyclamenhitch/core/result"
)

// target is the unmodified target of a request line. The HTTP library decodes and
// normalises paths, which would change the path that a service receives.
type target struct {
	path string
	// query begins with "?" or is empty.
	query string
}

// parseTarget splits the target of a request line into path and query.
func parseTarget(raw []byte) (target, *result.Error) {
	for _, c := range raw {
		if c <= ' ' || c == 0x7f || c == '#' {
			return target{}, result.New(result.BadRequest, "request target contains a character that is not allowed")
		}
	}
	if len(raw) == 0 || raw[0] != '/' {
		return target{}, result.New(result.BadRequest, "request target must be a path")
	}
	path, query, found := strings.Cut(string(raw), "?")
	if found {
		query = "?" + query
	}
	return target{path, query}, nil
}

// checkServicePath rejects paths that would escape the route after a server decodes and
// normalises them, and methods that must not be forwarded.
func checkServicePath(method, path string) *result.Error {
	if method == "CONNECT" || method == "TRACE" {
		return result.New(result.BadRequest, "method %s is not forwarded", method)
	}
	for i := range len(method) {
		if c := method[i] | 0x20; (c < 'a' || c > 'z') && method[i] != '-' {
			return result.New(result.BadRequest, "method %q is not valid", method)
		}
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return result.New(result.BadRequest, "path has an invalid percent-encoding")
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(decoded, `\`, "/"), "/") {
		// Some servers strip path parameters from a segment before they normalise.
		segment, _, _ = strings.Cut(segment, ";")
		if segment == "." || segment == ".." {
			return result.New(result.BadRequest, "path has the segment %q", segment)
		}
	}
	return nil
}
