// Package httpstatus reads and checks the header of a response: what its status line states and
// the names of its fields. It has no state.
package httpstatus

import (
	"errors"
	"reflect"

	"github.com/valyala/fasthttp"

	"cyclamenhitch/adapters/fieldname"
)

// codeField is the index of the field in which the HTTP library keeps the status.
var codeField = func() int {
	f, ok := reflect.TypeFor[fasthttp.ResponseHeader]().FieldByName("statusCode")
	if !ok || f.Type.Kind() != reflect.Int {
		panic("the HTTP library keeps the status of a response elsewhere")
	}
	return f.Index[0]
}()

// Of returns the status of a response that was read. The library's StatusCode returns 200 for
// a status line with 000.
func Of(h *fasthttp.ResponseHeader) int {
	return int(reflect.ValueOf(h).Elem().Field(codeField).Int())
}

// IsFinal reports whether a status can be that of a complete response.
func IsFinal(status int) bool { return status >= 200 && status <= 599 }

// ErrVersion is the error of a status line with an unsupported protocol version.
var ErrVersion = errors.New("unsupported protocol version in a status line")

// CheckHeader returns ErrVersion or fieldname.ErrInvalid unless the header of a response that was
// read is of HTTP/1.1 and the names of its fields are valid. The library accepts any version and
// names with blanks; it drops those before a colon, which only fieldname.Scanner sees.
func CheckHeader(h *fasthttp.ResponseHeader) error {
	if string(h.Protocol()) != "HTTP/1.1" {
		return ErrVersion
	}
	return checkNames(h)
}

// CheckHeader1 is like CheckHeader for servers that may also answer with HTTP/1.0.
func CheckHeader1(h *fasthttp.ResponseHeader) error {
	if string(h.Protocol()) == "HTTP/1.0" {
		return checkNames(h)
	}
	return CheckHeader(h)
}

func checkNames(h *fasthttp.ResponseHeader) error {
	for name := range h.All() {
		if !fieldname.IsValid(name) {
			return fieldname.ErrInvalid
		}
	}
	return nil
}

// IsInterim reports whether another response follows one with this status. After 101 another
// protocol follows.
func IsInterim(status int) bool {
	return status >= 100 && status <= 199 && status != fasthttp.StatusSwitchingProtocols
}

// HasNoBody reports whether a final response with this status has no body, whatever its header
// says.
func HasNoBody(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || status == fasthttp.StatusSwitchingProtocols
}
