package chunked

import (
	"bytes"
	"io"
	"net/http/httputil"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a payload or an end of a body that another parser sees elsewhere, however
// the bytes are split, and against framing that is not valid.
func TestDecoder(t *testing.T) {
	var trailer string
	decode := func(t *rapid.T, raw []byte) (body []byte, rest int, err error) {
		d := Decoder{KeepTrailer: true}
		for len(raw) > 0 && !d.Done() {
			n := rapid.IntRange(1, len(raw)).Draw(t, "read")
			part := bytes.Clone(raw[:n])
			payload, used, err := d.Decode(part, part)
			if err != nil {
				return nil, 0, err
			}
			body, raw = append(body, part[:payload]...), raw[used:]
		}
		if !d.Done() {
			return nil, 0, io.ErrUnexpectedEOF
		}
		trailer = string(d.Trailer())
		return body, len(raw), nil
	}
	rapid.Check(t, func(t *rapid.T) {
		var raw bytes.Buffer
		w := httputil.NewChunkedWriter(&raw)
		want := []byte{}
		for _, part := range rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 40), 0, 8).Draw(t, "chunks") {
			want = append(want, part...)
			_, _ = w.Write(part)
		}
		_ = w.Close()
		fields := rapid.SampledFrom([]string{"", "A: b\r\n", "A:\r\nB-c: d:\te\r\n"}).Draw(t, "trailer")
		raw.WriteString(fields + "\r\n")
		const next = "GET / HTTP/1.1\r\n"
		body, rest, err := decode(t, append(raw.Bytes(), next...))
		if err != nil || !bytes.Equal(body, want) || rest != len(next) {
			t.Fatalf("body %q, %d bytes left, %v; want %q and %d", body, rest, err, want, len(next))
		}
		if trailer != fields {
			t.Fatalf("trailer %q, want %q", trailer, fields)
		}
		if n := rapid.IntRange(0, raw.Len()-1).Draw(t, "cut"); n < raw.Len() {
			if _, _, err := decode(t, raw.Bytes()[:n]); err == nil {
				t.Fatalf("complete after %d of %d bytes", n, raw.Len())
			}
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		bad := rapid.SampledFrom([]string{
			"\r\n", "x\r\n", "-1\r\n", "0x1\r\n", "5\nhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "5\r\nhello\n0\r\n\r\n", "1\r\nab\r\n0\r\n\r\n",
			"123456789\r\n", "0\r\n\n", "0\r\nA: b\n\r\n", "0\r\n\rx", "5;a\nb\r\nhello\r\n0\r\n\r\n", "1;" + strings.Repeat("a", maxChunkOverhead),
			"0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes/6+1), "1 x\r\na\r\n0\r\n\r\n", "0\r\nA\r\n\r\n", "0\r\nA b: c\r\n\r\n", "0\r\n A: b\r\n\r\n",
			"0\r\n: b\r\n\r\n", "0\r\nA: \x01\r\n\r\n", "0\r\nA\x00: b\r\n\r\n",
		}).Draw(t, "body")
		if _, _, err := decode(t, []byte(bad)); err != ErrFraming {
			t.Fatalf("%.40q: %v", bad, err)
		}
	})
}
