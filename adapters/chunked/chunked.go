// Package chunked removes the framing of HTTP bodies in chunks. It accepts valid framing only,
// because another parser of the same bytes might see the end of the body elsewhere. A Decoder
// belongs to one body.
package chunked

import (
	"errors"

	"cyclamenhitch/adapters/fieldname"
)

const (
	// maxChunkOverhead limits the bytes of chunk lines beyond 16 and twice the chunk's size
	// for each chunk, so that a body can't consist of framing only.
	maxChunkOverhead = 16 << 10
	// maxTrailerBytes limits the trailer.
	maxTrailerBytes = 16 << 10
	// maxChunkDigits limits the digits of a chunk's size.
	maxChunkDigits = 8
)

// ErrFraming is the error of a body whose chunks or trailer are not valid.
var ErrFraming = errors.New("the chunks of the body are not valid")

type state int

const (
	chunkSize state = iota
	// chunkBlank is after blanks that follow the size: an extension or the end of the line is next.
	chunkBlank
	chunkExtension
	chunkSizeLF
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerName
	trailerValue
	trailerLineLF
	trailerEndLF
	done
)

// Decoder removes the framing of a body in chunks. It has no buffer of its own. The zero value
// is ready to use.
type Decoder struct {
	// KeepTrailer makes Trailer return the trailer, which is dropped otherwise.
	KeepTrailer bool

	state  state
	digits int
	// size is the size of the chunk and left what is missing of it, in bytes.
	size, left int
	// excess counts framing bytes beyond what the chunks allow, trailer those of the trailer.
	excess, trailer int
	kept            []byte
}

// Done reports whether the body is complete, including its trailer.
func (d *Decoder) Done() bool { return d.state == done }

// Trailer returns the lines of the trailer, each with CRLF, or nil if there are none.
func (d *Decoder) Trailer() []byte { return d.kept }

// Left returns how many bytes of the current chunk are still to come.
func (d *Decoder) Left() int { return d.left }

// Decode copies the payload in src to the begin of dst, which may be the begin of src and must
// not be shorter. It returns the sizes of the payload and of the part of src that belongs to the
// body. The error is ErrFraming or nil.
func (d *Decoder) Decode(dst, src []byte) (payload, used int, err error) {
	for used < len(src) && d.state != done {
		if d.state == chunkData {
			n := copy(dst[payload:], src[used:min(len(src), used+d.left)])
			payload, used, d.left = payload+n, used+n, d.left-n
			if d.left == 0 {
				d.state = chunkDataCR
			}
			continue
		}
		if !d.frame(src[used]) {
			return payload, used, ErrFraming
		}
		used++
	}
	return payload, used, nil
}

// frame takes one byte that is not payload. It reports false if the byte is not valid.
func (d *Decoder) frame(b byte) bool {
	switch d.state {
	case chunkSize, chunkBlank, chunkExtension, chunkSizeLF:
		return d.sizeLine(b)
	case chunkDataCR:
		d.state = chunkDataLF
		return b == '\r'
	case chunkDataLF:
		d.state, d.digits, d.size = chunkSize, 0, 0
		return b == '\n'
	}
	if d.trailer++; d.trailer > maxTrailerBytes {
		return false
	}
	if d.KeepTrailer && (d.state != trailerStart || b != '\r') && d.state != trailerEndLF {
		d.kept = append(d.kept, b)
	}
	switch d.state {
	case trailerStart:
		if d.state = trailerName; b == '\r' {
			d.state = trailerEndLF
			return true
		}
		return fieldname.IsByte(b)
	case trailerName:
		if b == ':' {
			d.state = trailerValue
			return true
		}
		return fieldname.IsByte(b)
	case trailerValue:
		if b == '\r' {
			d.state = trailerLineLF
			return true
		}
		return b == '\t' || b >= ' ' && b != 0x7f
	case trailerLineLF:
		d.state = trailerStart
	default:
		d.state = done
	}
	return b == '\n'
}

// sizeLine takes one byte of a line with the size of a chunk and extensions.
func (d *Decoder) sizeLine(b byte) bool {
	if d.excess++; d.excess > maxChunkOverhead {
		return false
	}
	v, hex := hexValue(b)
	switch {
	case d.state == chunkSizeLF:
		if b != '\n' {
			return false
		}
		if d.left = d.size; d.size == 0 {
			d.state = trailerStart
			return true
		}
		d.excess = max(0, d.excess-16-2*d.size)
		d.state = chunkData
	case b == '\r':
		d.state = chunkSizeLF
		return d.digits > 0
	case b == '\n':
		return false
	case d.state == chunkSize && hex:
		d.size = d.size<<4 | v
		d.digits++
		return d.digits <= maxChunkDigits
	case d.state == chunkSize, d.state == chunkBlank:
		if d.state = chunkBlank; b == ';' {
			d.state = chunkExtension
		}
		return d.digits > 0 && (b == ';' || b == ' ' || b == '\t')
	}
	return true
}

func hexValue(b byte) (int, bool) {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0'), true
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10, true
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10, true
	}
	return 0, false
}
