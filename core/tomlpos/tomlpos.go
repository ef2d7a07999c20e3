// Package tomlpos maps the dotted paths of keys and tables in a TOML document to
// their positions in the text. It walks the syntax tree of the TOML parser rather
// than searching the text, so that multi-line strings, inline tables and dotted
// keys are handled correctly.
package tomlpos

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Entry is a key or a table of a document.
type Entry struct {
	// Path is the dotted path. Elements of arrays of tables include their 0-based
	// index, for example pool[2].objectives.first_token_ms.
	Path string
	// Key and Value are the byte ranges in the document. Value is empty for
	// tables, arrays and inline tables.
	Key, Value Span
	// IsZero reports whether the value is the number 0 or an empty string.
	IsZero bool
}

// Span is a half-open byte range.
type Span struct{ Start, End int }

// Document holds the entries of a TOML document by path.
type Document struct {
	src     []byte
	entries map[string]Entry
}

// Parse parses a TOML document. Entries after a syntax error are missing.
func Parse(src []byte) *Document {
	d := &Document{src: src, entries: map[string]Entry{}}
	Walk(src, func(e Entry) {
		if _, ok := d.entries[e.Path]; !ok {
			d.entries[e.Path] = e
		}
	})
	return d
}

// Find returns the entry at a path.
func (d *Document) Find(path string) (Entry, bool) {
	e, ok := d.entries[path]
	return e, ok
}

// Position returns the 1-based line and column (in bytes) of the first of the paths
// that exists in the document, or 1, 1 if none exists.
func (d *Document) Position(paths ...string) (line, column int) {
	for _, path := range paths {
		if e, ok := d.entries[path]; ok {
			before := d.src[:e.Key.Start]
			return bytes.Count(before, []byte{'\n'}) + 1, e.Key.Start - bytes.LastIndexByte(before, '\n')
		}
	}
	return 1, 1
}

// Walk calls visit for each table and key in document order, up to the first
// syntax error.
func Walk(src []byte, visit func(Entry)) {
	w := walker{visit: visit, arrayLengths: map[string]int{}}
	w.parser.Reset(src)
	table := ""
	for w.parser.NextExpression() {
		switch n := w.parser.Expression(); n.Kind {
		case unstable.Table, unstable.ArrayTable:
			var keySpan Span
			table, keySpan = w.tableHeader(n)
			visit(Entry{Path: table, Key: keySpan})
		case unstable.KeyValue:
			w.keyValue(table, n)
		}
	}
}

type walker struct {
	parser unstable.Parser
	visit  func(Entry)
	// arrayLengths counts the elements seen so far of each array of tables, by path.
	arrayLengths map[string]int
}

// tableHeader returns the path and the key span of a table header. A part of the
// key that names an array of tables refers to its last element, as in TOML.
func (w *walker) tableHeader(n *unstable.Node) (string, Span) {
	path, keySpan := "", Span{Start: -1}
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = joinKey(path, string(k.Data))
		if keySpan.Start < 0 {
			keySpan = spanOf(k)
		}
		keySpan.End = spanOf(k).End
		if n.Kind == unstable.ArrayTable && it.IsLast() {
			w.arrayLengths[path]++
		}
		if c := w.arrayLengths[path]; c > 0 {
			path = indexPath(path, c-1)
		}
	}
	return path, keySpan
}

func (w *walker) keyValue(table string, n *unstable.Node) {
	e := Entry{Path: table, Key: Span{Start: -1}}
	for it := n.Key(); it.Next(); {
		k := it.Node()
		e.Path = joinKey(e.Path, string(k.Data))
		if e.Key.Start < 0 {
			e.Key = spanOf(k)
		}
		e.Key.End = spanOf(k).End
	}
	v := n.Value()
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		f, err := strconv.ParseFloat(strings.ReplaceAll(string(v.Data), "_", ""), 64)
		e.Value, e.IsZero = spanOf(v), err == nil && f == 0
	case unstable.String:
		e.Value, e.IsZero = spanOf(v), len(v.Data) == 0
	case unstable.Bool:
		e.Value = spanOf(v)
	}
	w.visit(e)
	w.walkValue(e.Path, v)
}

// walkValue visits the keys of inline tables, also of those in an array.
func (w *walker) walkValue(path string, v *unstable.Node) {
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
				w.visit(Entry{Path: indexPath(path, i), Key: spanOf(n)})
				w.walkValue(indexPath(path, i), n)
			}
			i++
		}
	}
}

func spanOf(n *unstable.Node) Span {
	return Span{int(n.Raw.Offset), int(n.Raw.Offset + n.Raw.Length)}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, index int) string { return path + "[" + strconv.Itoa(index) + "]" }

// ElementPath returns the path of an element of an array of tables or, if key is
// not empty, of one of its keys.
func ElementPath(table string, index int, key string) string {
	path := indexPath(table, index)
	if key != "" {
		path += "." + key
	}
	return path
}
