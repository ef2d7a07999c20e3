package httpapi

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/core/result"
)

// checkFraming rejects headers that allow request smuggling, because two parsers may
// disagree about where the request ends: multiple lengths, a length together with a
// transfer coding, or lines that do not end with CRLF.
func checkFraming(h *fasthttp.RequestHeader) *result.Error {
	lengths, codings := 0, 0
	for rest := h.RawHeaders(); len(rest) > 0; {
		line, after, found := bytes.Cut(rest, []byte("\n"))
		rest = after
		if found && !bytes.HasSuffix(line, []byte("\r")) {
			return result.New(result.BadRequest, "header line does not end with CRLF")
		}
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) > 0 && (line[0] == ' ' || line[0] == '\t'):
			return result.New(result.BadRequest, "header line is folded")
		case bytes.HasSuffix(name, []byte(" ")) || bytes.HasSuffix(name, []byte("\t")):
			return result.New(result.BadRequest, "header field has a space before the colon")
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return result.New(result.BadRequest, "transfer coding is not supported")
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths > 0 && codings > 0 {
		return result.New(result.BadRequest, "request has more than one Content-Length or Transfer-Encoding field")
	}
	return nil
}
