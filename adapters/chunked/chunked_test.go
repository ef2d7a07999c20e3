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
	decode := func(t *rapid.T, raw []byte) (body []byte, rest int, err error) {
		var d Decoder
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
		raw.WriteString(rapid.SampledFrom([]string{"\r\n", "A: b\r\n\r\n"}).Draw(t, "trailer"))
		const next = "GET / HTTP/1.1\r\n"
		body, rest, err := decode(t, append(raw.Bytes(), next...))
		if err != nil || !bytes.Equal(body, want) || rest != len(next) {
			t.Fatalf("body %q, %d bytes left, %v; want %q and %d", body, rest, err, want, len(next))
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
			"0\r\n" + strings.Repeat("A: b\r\n", maxTrailerBytes/6+1),
		}).Draw(t, "body")
		if _, _, err := decode(t, []byte(bad)); err != ErrFraming {
			t.Fatalf("%.40q: %v", bad, err)
		}
	})
}
