// Package edit changes the text of a manifest for operators without losing
// comments or order, and compares two versions by entry. It keeps no state.
package edit

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/result"
	"cyclamenhitch/core/tomlpos"
)

// SetState returns src with the state of the named entry of a table
// ("data_centre" or "server") set to state. It returns src itself when the entry
// has that state already, and checks that nothing else changes.
func SetState(src []byte, table, name, state string) ([]byte, error) {
	old, err := manifest.Decode(src)
	if err != nil {
		return nil, err
	}
	index, current, known := findState(old, table, name)
	if index < 0 {
		return nil, result.New(result.BadRequest, "no %s is named %q; declared: %s", table, name, strings.Join(known, ", "))
	}
	if current == state {
		return src, nil
	}
	out, err := replaceState(src, table, index, state)
	if err != nil {
		return nil, err
	}
	changed, err := manifest.Decode(out)
	if err != nil {
		return nil, result.Wrap(result.Internal, err, "the edited manifest is not valid")
	}
	cs := Compare(old, changed)
	if len(cs) != 1 || cs[0].Table != table || cs[0].Name != name {
		return nil, result.New(result.Internal, "setting the state of %s %q changes other entries; edit the manifest and use apply", table, name)
	}
	return out, nil
}

func findState(m *manifest.Manifest, table, name string) (index int, state string, known []string) {
	index = -1
	add := func(i int, n, s string) {
		known = append(known, n)
		if n == name {
			index, state = i, s
		}
	}
	if table == "data_centre" {
		for i, d := range m.DataCentres {
			add(i, string(d.Name), d.State)
		}
	} else {
		for i, s := range m.Servers {
			add(i, string(s.Name), s.State)
		}
	}
	return index, state, known
}

func replaceState(src []byte, table string, index int, state string) ([]byte, error) {
	doc := tomlpos.Parse(src)
	if p, ok := doc.Find(tomlpos.ElementPath(table, index, "state")); ok {
		return splice(src, p.Value.Start, p.Value.End, strconv.Quote(state)), nil
	}
	p, ok := doc.Find(tomlpos.ElementPath(table, index, "name"))
	if !ok {
		return nil, result.New(result.Internal, "entry %d of %s has no name in the text", index, table)
	}
	// An entry in an inline table has its header at an opening brace.
	if e, ok := doc.Find(tomlpos.ElementPath(table, index, "")); ok && src[e.Key.Start] == '{' {
		return splice(src, p.Value.End, p.Value.End, ", state = "+strconv.Quote(state)), nil
	}
	newline := "\n"
	end := bytes.IndexByte(src[p.Value.End:], '\n')
	if end < 0 {
		return append(slices.Clone(src), "\nstate = "+strconv.Quote(state)+"\n"...), nil
	}
	end += p.Value.End
	if src[end-1] == '\r' {
		newline = "\r\n"
	}
	line := bytes.LastIndexByte(src[:p.Key.Start], '\n') + 1
	indent := string(src[line:p.Key.Start])
	return splice(src, end+1, end+1, indent+"state = "+strconv.Quote(state)+newline), nil
}

func splice(src []byte, start, end int, text string) []byte {
	return slices.Concat(src[:start], []byte(text), src[end:])
}

// Change is one entry that differs between two versions.
type Change struct {
	// Kind is added, removed or changed.
	Kind string `json:"kind"`
	// Table is the table of the entry, for example pool.
	Table string `json:"table"`
	// Name is empty for tables that have one entry only.
	Name string `json:"name,omitempty"`
	// Keys lists the keys that differ, for a changed entry.
	Keys []KeyChange `json:"keys,omitempty"`
}

// KeyChange is one key of a changed entry; defaults are filled in.
type KeyChange struct {
	Key string `json:"key"`
	Old any    `json:"old"`
	New any    `json:"new"`
}

// String formats the change in one line.
func (c Change) String() string {
	s := c.Kind + " " + c.Table
	if c.Name != "" {
		s += fmt.Sprintf(" %q", c.Name)
	}
	for i, k := range c.Keys {
		sep := ", "
		if i == 0 {
			sep = ": "
		}
		s += fmt.Sprintf("%s%s %v -> %v", sep, k.Key, k.Old, k.New)
	}
	return s
}

// Compare lists the entries that differ, in manifest order; old may be nil.
func Compare(old, proposed *manifest.Manifest) []Change {
	if old == nil {
		old = &manifest.Manifest{}
	}
	var out []Change
	a, b := reflect.ValueOf(old).Elem(), reflect.ValueOf(proposed).Elem()
	for i := range a.NumField() {
		table := a.Type().Field(i).Tag.Get("toml")
		switch a.Field(i).Kind() {
		case reflect.Slice:
			out = append(out, compareTables(table, a.Field(i), b.Field(i))...)
		case reflect.Struct:
			if keys := compareKeys("", a.Field(i), b.Field(i)); len(keys) > 0 {
				out = append(out, Change{Kind: "changed", Table: table, Keys: keys})
			}
		default:
			if !a.Field(i).Equal(b.Field(i)) {
				out = append(out, Change{Kind: "changed", Table: table, Keys: []KeyChange{{table, a.Field(i).Interface(), b.Field(i).Interface()}}})
			}
		}
	}
	return out
}

func compareTables(table string, a, b reflect.Value) []Change {
	byName := func(v reflect.Value) map[string]reflect.Value {
		m := make(map[string]reflect.Value, v.Len())
		for i := range v.Len() {
			m[nameOf(v.Index(i))] = v.Index(i)
		}
		return m
	}
	before, after := byName(a), byName(b)
	var out []Change
	for i := range a.Len() {
		if name := nameOf(a.Index(i)); !after[name].IsValid() {
			out = append(out, Change{Kind: "removed", Table: table, Name: name})
		}
	}
	for i := range b.Len() {
		name := nameOf(b.Index(i))
		old := before[name]
		if !old.IsValid() {
			out = append(out, Change{Kind: "added", Table: table, Name: name})
		} else if keys := compareKeys("", old, b.Index(i)); len(keys) > 0 {
			out = append(out, Change{Kind: "changed", Table: table, Name: name, Keys: keys})
		}
	}
	return out
}

func nameOf(v reflect.Value) string { return v.FieldByName("Name").String() }

func compareKeys(prefix string, a, b reflect.Value) []KeyChange {
	var out []KeyChange
	for i := range a.NumField() {
		key := prefix + a.Type().Field(i).Tag.Get("toml")
		x, y := a.Field(i), b.Field(i)
		if x.Kind() == reflect.Struct {
			out = append(out, compareKeys(key+".", x, y)...)
			continue
		}
		if reflect.DeepEqual(x.Interface(), y.Interface()) {
			continue
		}
		out = append(out, KeyChange{key, dereference(x), dereference(y)})
	}
	return out
}

// dereference returns the value behind a pointer; nil stays nil.
func dereference(v reflect.Value) any {
	if v.Kind() == reflect.Pointer {
		if v.IsNil() {
			return nil
		}
		v = v.Elem()
	}
	return v.Interface()
}
