package engine

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"

	"cyclamenhitch/core/result"
)

// isNetworkError reports whether err comes from the connection and not from a parser.
func isNetworkError(err error) bool {
	var ne net.Error
	var re *result.Error
	return errors.As(err, &ne) || errors.As(err, &re) || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// verifyObject checks that a valid JSON object belongs to the response to this
// request: its id must contain the attempt id, since engines derive it from
// X-Request-Id, and must equal first unless first is nil.
func (x *exchange) verifyObject(data, first []byte) error {
	id, failed := scanObject(data)
	switch {
	case failed:
		return result.Wrap(result.ServerError, fmt.Errorf("%.200q", data), "server %s sent an error object", x.srv.Name)
	case id == nil:
		return result.New(result.AnswerInvalid, "server %s sent an object without an id", x.srv.Name)
	case !bytes.Contains(id, []byte(x.attemptID)):
		return result.Wrap(result.AnswerCrossed, fmt.Errorf("id %.200q, want one that contains %q", id, x.attemptID), "server %s sent an object of another response", x.srv.Name)
	case first != nil && !bytes.Equal(first, id):
		return result.Wrap(result.AnswerCrossed, fmt.Errorf("id %.200q in response %.200q", id, first), "server %s sent objects with different ids", x.srv.Name)
	}
	return nil
}

// scanObject returns the top-level string "id" of a valid JSON object, without
// its quotes, and whether it has an "error" that is not null. It does not allocate:
// decoding each event in full would cost more than forwarding it.
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
			// Number, true, false or null.
			if depth == 1 && string(key) == "error" && c == 't' {
				failed = true
			}
		}
	}
	return id, failed
}

// stringEnd returns the position of the closing quote of a JSON string.
func stringEnd(data []byte, i int) int {
	for i < len(data) && data[i] != '"' {
		if data[i] == '\\' {
			i++
		}
		i++
	}
	return min(i, len(data))
}
