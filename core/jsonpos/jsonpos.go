// Package jsonpos maps the dotted paths of values in a JSON document to their positions in
// the text, for error messages. It holds no state.
package jsonpos

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
)

// Document holds the positions of a document's values by path, such as routes[2].host.
type Document struct {
	src     []byte
	offsets map[string]int64
}

// ErrTrailing reports text after the end of the document.
var ErrTrailing = errors.New("text after the end of the document")

// Parse records where each value starts. It returns the syntax error of the document, if
// any, and then the positions up to it.
func Parse(src []byte) (*Document, error) {
	d := &Document{src: src, offsets: map[string]int64{}}
	dec := json.NewDecoder(bytes.NewReader(src))
	if err := d.value(dec, ""); err != nil {
		return d, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return d, ErrTrailing
	}
	return d, nil
}

// value reads one value.
func (d *Document) value(dec *json.Decoder, path string) error {
	start := d.skip(dec.InputOffset())
	if _, ok := d.offsets[path]; !ok {
		d.offsets[path] = start
	}
	token, err := dec.Token()
	if err != nil {
		return err
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	for i := 0; dec.More(); i++ {
		child := path + "[" + strconv.Itoa(i) + "]"
		if delim == '{' {
			key, err := dec.Token()
			if err != nil {
				return err
			}
			child = key.(string)
			if path != "" {
				child = path + "." + child
			}
		}
		if err := d.value(dec, child); err != nil {
			return err
		}
	}
	_, err = dec.Token()
	return err
}

// skip returns the offset of the next value: the decoder stops before separators.
func (d *Document) skip(offset int64) int64 {
	for offset < int64(len(d.src)) && bytes.IndexByte([]byte(" \t\r\n:,"), d.src[offset]) >= 0 {
		offset++
	}
	return offset
}

// Position returns the 1-based line and column (in bytes) of the first of the paths that
// exists, or 1, 1 if none does.
func (d *Document) Position(paths ...string) (line, column int) {
	for _, path := range paths {
		if offset, ok := d.offsets[path]; ok {
			return d.At(offset)
		}
	}
	return 1, 1
}

// At returns the 1-based line and column of an offset.
func (d *Document) At(offset int64) (line, column int) {
	before := d.src[:min(max(0, offset), int64(len(d.src)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
