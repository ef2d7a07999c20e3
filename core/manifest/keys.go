package manifest

import (
	"reflect"
	"slices"
	"strings"
)

// acceptedKeys returns the keys of the table that the last part of key is in.
func acceptedKeys(key []string) []string {
	t := reflect.TypeFor[Manifest]()
	for _, part := range key[:len(key)-1] {
		f, ok := fieldByTag(t, part)
		if !ok {
			return nil
		}
		if t = f.Type; t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
	}
	var out []string
	for i := range t.NumField() {
		out = append(out, t.Field(i).Tag.Get("toml"))
	}
	return out
}

// unknownKeyMessage names the key and the remedy: the accepted key that differs by at
// most a third of its letters or, without one, all accepted keys.
func unknownKeyMessage(key []string) string {
	msg := "unknown key " + strings.Join(key, ".")
	accepted := acceptedKeys(key)
	name, best, dist := key[len(key)-1], "", 0
	for _, k := range accepted {
		if d := editDistance(name, k); best == "" || d < dist {
			best, dist = k, d
		}
	}
	switch {
	case len(accepted) == 0:
		return msg
	case dist <= (len(name)+2)/3:
		return msg + ", did you mean " + best + "?"
	}
	return msg + ", accepted: " + strings.Join(accepted, ", ")
}

func fieldByTag(t reflect.Type, tag string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == tag {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// editDistance is the number of letters to insert, delete or replace.
func editDistance(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		prev := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			prev, row[j+1] = row[j+1], slices.Min([]int{row[j] + 1, row[j+1] + 1, prev + cost})
		}
	}
	return row[len(b)]
}
