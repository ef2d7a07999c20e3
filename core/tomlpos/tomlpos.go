// Package tomlpos finds the positions of keys and tables in a TOML document. It
// uses the document's own parser, so that multi-line strings, inline tables and
// dotted keys are found where they are. It keeps no state.
package tomlpos

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Place is one key or table of a document.
type Place struct {
	// Path is the dotted key; elements of arrays of tables carry their index,
	// for example pool[2].objectives.first_token_ms.
	Path string
	// Key and Value are the byte ranges in the document. Value is empty for
	// tables, arrays and inline tables.
	Key, Value Span
	// Zero says that the value is the number 0 or an empty string.
	Zero bool
}

// Span is a range of bytes.
type Span struct{ Start, End int }

// Document maps the paths of one document to their places.
type Document struct {
	src    []byte
	places map[string]Place
}

// Parse reads the document. Places after a syntax error are missing.
func Parse(src []byte) *Document {
	d := &Document{src: src, places: map[string]Place{}}
	Walk(src, func(p Place) {
		if _, ok := d.places[p.Path]; !ok {
			d.places[p.Path] = p
		}
	})
	return d
}

// Find returns the place of a path.
func (d *Document) Find(path string) (Place, bool) {
	p, ok := d.places[path]
	return p, ok
}

// Position returns the 1-based line and column of the first of the paths that
// the document has, and 1, 1 when it has none of them.
func (d *Document) Position(paths ...string) (line, column int) {
	for _, path := range paths {
		if p, ok := d.places[path]; ok {
			before := d.src[:p.Key.Start]
			return bytes.Count(before, []byte{'\n'}) + 1, p.Key.Start - bytes.LastIndexByte(before, '\n')
		}
	}
	return 1, 1
}

// Walk calls fn for each table and key in document order.
func Walk(src []byte, fn func(Place)) {
	w := walker{fn: fn, count: map[string]int{}}
	w.parser.Reset(src)
	table := ""
	for w.parser.NextExpression() {
		switch n := w.parser.Expression(); n.Kind {
		case unstable.Table, unstable.ArrayTable:
			var at Span
			table, at = w.header(n)
			fn(Place{Path: table, Key: at})
		case unstable.KeyValue:
			w.keyValue(table, n)
		}
	}
}

type walker struct {
	parser unstable.Parser
	fn     func(Place)
	// count is the number of elements of each array of tables so far.
	count map[string]int
}

// header resolves the path of a table header; parts that name an array of
// tables refer to its last element.
func (w *walker) header(n *unstable.Node) (string, Span) {
	path, at := "", Span{Start: -1}
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = join(path, string(k.Data))
		if at.Start < 0 {
			at = spanOf(k)
		}
		at.End = spanOf(k).End
		if n.Kind == unstable.ArrayTable && it.IsLast() {
			w.count[path]++
		}
		if c := w.count[path]; c > 0 {
			path = element(path, c-1)
		}
	}
	return path, at
}

func (w *walker) keyValue(table string, n *unstable.Node) {
	p := Place{Path: table, Key: Span{Start: -1}}
	for it := n.Key(); it.Next(); {
		k := it.Node()
		p.Path = join(p.Path, string(k.Data))
		if p.Key.Start < 0 {
			p.Key = spanOf(k)
		}
		p.Key.End = spanOf(k).End
	}
	v := n.Value()
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		f, err := strconv.ParseFloat(strings.ReplaceAll(string(v.Data), "_", ""), 64)
		p.Value, p.Zero = spanOf(v), err == nil && f == 0
	case unstable.String:
		p.Value, p.Zero = spanOf(v), len(v.Data) == 0
	case unstable.Bool:
		p.Value = spanOf(v)
	}
	w.fn(p)
	w.inside(p.Path, v)
}

// inside visits the keys of inline tables and of the inline tables in an array.
func (w *walker) inside(path string, v *unstable.Node) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				w.keyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); {
			n := it.Node()
			if n.Kind == unstable.Comment {
				continue
			}
			if n.Kind == unstable.InlineTable {
				w.fn(Place{Path: element(path, i), Key: spanOf(n)})
				w.inside(element(path, i), n)
			}
			i++
		}
	}
}

func spanOf(n *unstable.Node) Span {
	return Span{int(n.Raw.Offset), int(n.Raw.Offset + n.Raw.Length)}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func element(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }

// Element returns the path of an element of an array of tables, or of one of
// its keys when key is not empty.
func Element(table string, index int, key string) string {
	p := element(table, index)
	if key != "" {
		p += "." + key
	}
	return p
}
