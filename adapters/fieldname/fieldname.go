// Package fieldname checks the names of HTTP header fields, which the HTTP library accepts with
// blanks. A Scanner belongs to one connection; the package has no other state.
package fieldname

import (
	"bytes"
	"errors"
	"strings"
)

// ErrInvalid is the error of a header that has a field with an invalid name.
var ErrInvalid = errors.New("invalid name of a header field")

// IsByte reports whether b may be in the name of a field.
func IsByte(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// IsValid reports whether name is the name of a field.
func IsValid(name []byte) bool {
	for _, b := range name {
		if !IsByte(b) {
			return false
		}
	}
	return len(name) > 0
}

type state int

const (
	// blankLines is before the first line, which blank lines may precede.
	blankLines state = iota
	firstLine
	lineStart
	name
	value
	done
)

// Scanner checks the names in a header while its bytes are read. The zero value is at the start
// of a header.
type Scanner struct {
	state   state
	invalid bool
}

// Reset starts another header.
func (s *Scanner) Reset() { *s = Scanner{} }

// Err returns ErrInvalid if a field that was scanned has an invalid name.
func (s *Scanner) Err() error {
	if s.invalid {
		return ErrInvalid
	}
	return nil
}

// Scan scans the next bytes. It ignores those after the end of the header.
func (s *Scanner) Scan(b []byte) {
	for i := 0; i < len(b) && s.state != done; i++ {
		switch s.state {
		case blankLines:
			if b[i] != '\r' && b[i] != '\n' {
				s.state = firstLine
			}
		case lineStart:
			s.startLine(b[i])
		case name:
			s.scanName(b[i])
		default: // firstLine, value
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				return
			}
			i, s.state = i+end, lineStart
		}
	}
}

func (s *Scanner) startLine(b byte) {
	switch b {
	case '\r': // of an empty line
	case '\n':
		s.state = done
	case ' ', '\t': // continues the value of the line before
		s.state = value
	default:
		s.state = name
		s.invalid = s.invalid || !IsByte(b)
	}
}

func (s *Scanner) scanName(b byte) {
	switch {
	case b == ':':
		s.state = value
	case b == '\n':
		s.state, s.invalid = lineStart, true
	default:
		s.invalid = s.invalid || !IsByte(b)
	}
}
