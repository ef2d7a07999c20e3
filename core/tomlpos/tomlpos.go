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

// Entry is one key or table of a document.
type Entry struct {
	// Path is the dotted key; elements of arrays of tables carry their index,
	// for example pool[2].objectives.first_token_ms.
	Path string
	// Key and Value are the byte ranges in the document. Value is empty for
	// tables, arrays and inline tables.
	Key, Value Span
	// IsZero says that the value is the number 0 or an empty string.
	IsZero bool
}

// Span is a range of bytes.
type Span struct{ Start, End int }

// Document maps the paths of one document to their places.
type Document struct {
	src     []byte
	entries map[string]Entry
}

// Parse reads the document. Places after a syntax error are missing.
func Parse(src []byte) *Document {
	d := &Document{src: src, entries: map[string]Entry{}}
	Walk(src, func(p Entry) {
		if _, ok := d.entries[p.Path]; !ok {
			d.entries[p.Path] = p
		}
	})
	return d
}

// Find returns the place of a path.
func (d *Document) Find(path string) (Entry, bool) {
	p, ok := d.entries[path]
	return p, ok
}

// Position returns the 1-based line and column of the first of the paths that
// the document has, and 1, 1 when it has none of them.
func (d *Document) Position(paths ...string) (line, column int) {
	for _, path := range paths {
		if p, ok := d.entries[path]; ok {
			before := d.src[:p.Key.Start]
			return bytes.Count(before, []byte{'\n'}) + 1, p.Key.Start - bytes.LastIndexByte(before, '\n')
		}
	}
	return 1, 1
}

// Walk calls fn for each table and key in document order.
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
	// arrayLengths is the number of elements of each array of tables so far.
	arrayLengths map[string]int
}

// tableHeader resolves the path of a table header; parts that name an array of
// tables refer to its last element.
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
	p := Entry{Path: table, Key: Span{Start: -1}}
	for it := n.Key(); it.Next(); {
		k := it.Node()
		p.Path = joinKey(p.Path, string(k.Data))
		if p.Key.Start < 0 {
			p.Key = spanOf(k)
		}
		p.Key.End = spanOf(k).End
	}
	v := n.Value()
	switch v.Kind {
	case unstable.Integer, unstable.Float:
		f, err := strconv.ParseFloat(strings.ReplaceAll(string(v.Data), "_", ""), 64)
		p.Value, p.IsZero = spanOf(v), err == nil && f == 0
	case unstable.String:
		p.Value, p.IsZero = spanOf(v), len(v.Data) == 0
	case unstable.Bool:
		p.Value = spanOf(v)
	}
	w.visit(p)
	w.walkValue(p.Path, v)
}

// walkValue visits the keys of inline tables and of the inline tables in an array.
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

// ElementPath returns the path of an element of an array of tables, or of one of
// its keys when key is not empty.
func ElementPath(table string, index int, key string) string {
	p := indexPath(table, index)
	if key != "" {
		p += "." + key
	}
	return p
}
