package manifest

import (
	"reflect"
	"slices"
	"strings"
)

// Nearest returns the accepted key of the same table that differs from the last
// part of key by at most a third of its letters, or "".
func Nearest(key []string) string {
	t := reflect.TypeFor[Manifest]()
	for _, part := range key[:len(key)-1] {
		f, ok := fieldOf(t, part)
		if !ok {
			return ""
		}
		if t = f.Type; t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return ""
		}
	}
	name, best, dist := key[len(key)-1], "", 0
	for i := range t.NumField() {
		tag := t.Field(i).Tag.Get("toml")
		if d := editDistance(name, tag); best == "" || d < dist {
			best, dist = tag, d
		}
	}
	if dist > (len(name)+2)/3 {
		return ""
	}
	return best
}

func fieldOf(t reflect.Type, tag string) (reflect.StructField, bool) {
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
