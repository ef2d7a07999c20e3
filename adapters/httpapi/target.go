package httpapi

import (
	"net/url"
	"strings"

	"cyclamenhitch/core/result"
)

// target is the target of a request line as the caller wrote it. The HTTP
// library decodes and normalises paths, which would change what a service gets.
type target struct {
	path string
	// query begins with "?" or is empty.
	query string
}

// parseTarget splits the target of a request line.
func parseTarget(raw []byte) (target, *result.Error) {
	for _, c := range raw {
		if c <= ' ' || c == 0x7f || c == '#' {
			return target{}, result.New(result.BadRequest, "the request target holds a byte that is not allowed")
		}
	}
	if len(raw) == 0 || raw[0] != '/' {
		return target{}, result.New(result.BadRequest, "the request target must be a path")
	}
	path, query, found := strings.Cut(string(raw), "?")
	if found {
		query = "?" + query
	}
	return target{path, query}, nil
}

// checkServicePath refuses paths that mean something else after the decoding
// and normalising that servers do, and methods that end at the next hop.
func checkServicePath(method, path string) *result.Error {
	if method == "CONNECT" || method == "TRACE" {
		return result.New(result.BadRequest, "method %s is not passed on", method)
	}
	for i := range len(method) {
		if c := method[i] | 0x20; (c < 'a' || c > 'z') && method[i] != '-' {
			return result.New(result.BadRequest, "method %q is not valid", method)
		}
	}
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return result.New(result.BadRequest, "the path has an invalid escape")
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(decoded, `\`, "/"), "/") {
		// Some servers cut parameters off a segment before they normalise.
		segment, _, _ = strings.Cut(segment, ";")
		if segment == "." || segment == ".." {
			return result.New(result.BadRequest, "the path has a segment %q", segment)
		}
	}
	return nil
}
