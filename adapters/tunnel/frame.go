package tunnel

import "encoding/binary"

// Types of frames. A frame is a type byte, the length of the payload in 2 bytes, big-endian,
// and the payload.
const (
	// frameData holds bytes of the server.
	frameData = 1
	// frameEnd says that the server ended its output in order. It holds, in 8 bytes, how many
	// bytes of the instance the server's host had acknowledged.
	frameEnd = 2
	// frameReset says that the server's connection failed.
	frameReset = 3
)

const (
	frameHeaderBytes = 3
	endPayloadBytes  = 8
	// maxPayloadBytes limits the payload of a data frame.
	maxPayloadBytes = 16 << 10
)

// putDataHeader writes the header of a data frame with n bytes.
func putDataHeader(b []byte, n int) {
	b[0] = frameData
	binary.BigEndian.PutUint16(b[1:], uint16(n))
}

// endFrame returns the frame that ends the server's output.
func endFrame(delivered int64) []byte {
	b := []byte{frameEnd, 0, endPayloadBytes}
	return binary.BigEndian.AppendUint64(b, uint64(delivered))
}

func resetFrame() []byte { return []byte{frameReset, 0, 0} }

// decoder takes frames apart. It keeps its place between calls, wherever the bytes are split.
type decoder struct {
	head [frameHeaderBytes]byte
	have int // bytes of head
	left int // bytes of the payload that are missing

	// ended is the type of the frame that ended the output, or frameInvalid; 0 before.
	ended byte
	// delivered is the number in the end frame.
	delivered int64
}

// frameInvalid is the state of a decoder that has read something else than frames.
const frameInvalid = 0xff

// decode moves the payload of the data frames in b to its beginning and returns its length.
func (d *decoder) decode(b []byte) (n int) {
	for i := 0; i < len(b) && d.ended == 0; { // nothing counts after the last frame
		switch {
		case d.have < frameHeaderBytes:
			d.head[d.have] = b[i]
			d.have++
			i++
			if d.have == frameHeaderBytes {
				d.begin()
			}
		case d.head[0] == frameData:
			m := copy(b[n:], b[i:min(len(b), i+d.left)])
			n, i = n+m, i+m
			d.advance(m)
		default:
			d.delivered = d.delivered<<8 | int64(b[i])
			i++
			d.advance(1)
		}
	}
	return n
}

// begin checks a complete header.
func (d *decoder) begin() {
	d.left = int(binary.BigEndian.Uint16(d.head[1:]))
	switch kind := d.head[0]; {
	case kind == frameData && d.left > 0 && d.left <= maxPayloadBytes, kind == frameEnd && d.left == endPayloadBytes:
	case kind == frameReset && d.left == 0:
		d.ended = frameReset
	default:
		d.ended = frameInvalid
	}
}

func (d *decoder) advance(n int) {
	if d.left -= n; d.left > 0 {
		return
	}
	d.have = 0
	if d.head[0] == frameEnd {
		d.ended = frameEnd
	}
}

// isBetweenFrames reports whether the output goes on and no frame has begun.
func (d *decoder) isBetweenFrames() bool { return d.ended == 0 && d.have == 0 }
