package engine

import (
	"bytes"
	"errors"
	"net"
	"os"

	"cyclamenhitch/core/result"
)

// isNetworkError says that err comes from the connection and not from a parser.
func isNetworkError(err error) bool {
	var ne net.Error
	var re *result.Error
	return errors.As(err, &ne) || errors.As(err, &re) || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// verifyObject checks that a valid JSON object is part of the answer to this
// request: its id holds the attempt's id, as engines that take X-Request-Id
// form it, and it is first when first is set.
func (x *exchange) verifyObject(data, first []byte) error {
	id, failed := scanObject(data)
	switch {
	case failed:
		return result.New(result.ServerError, "server %s sent an error object: %.200q", x.srv.Name, data)
	case id == nil:
		return result.New(result.AnswerInvalid, "server %s sent an object without an id", x.srv.Name)
	case !bytes.Contains(id, []byte(x.attemptID)):
		return result.New(result.AnswerCrossed, "server %s sent a part of answer %q, want %q", x.srv.Name, id, x.attemptID)
	case first != nil && !bytes.Equal(first, id):
		return result.New(result.AnswerCrossed, "server %s sent a part of answer %q in answer %q", x.srv.Name, id, first)
	}
	return nil
}

// scanObject returns the top-level string "id" of a valid JSON object, without
// its quotes, and whether it has an "error" that is not null. It does not
// allocate; a full decode of each event costs more than passing it on.
func scanObject(data []byte) (id []byte, failed bool) {
	depth, key := 0, []byte(nil)
	for i := 0; i < len(data); i++ {
		switch c := data[i]; c {
		case '{', '[':
			if depth == 1 && string(key) == "error" {
				failed = true
			}
			depth++
			key = nil
		case '}', ']':
			depth--
		case ',':
			key = nil
		case '"':
			end := stringEnd(data, i+1)
			s := data[i+1 : end]
			i = end
			switch {
			case depth != 1:
			case key == nil:
				key = s
			case string(key) == "id":
				id = s
			case string(key) == "error":
				failed = true
			}
		case ':', ' ', '\t', '\r', '\n':
		default:
			// A number or a literal.
			if depth == 1 && string(key) == "error" && c == 't' {
				failed = true
			}
		}
	}
	return id, failed
}

// stringEnd returns the position of the quote that ends a JSON string.
func stringEnd(data []byte, i int) int {
	for i < len(data) && data[i] != '"' {
		if data[i] == '\\' {
			i++
		}
		i++
	}
	return min(i, len(data))
}
