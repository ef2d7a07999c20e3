package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"cyclamenhitch/adapters/settings"
	"cyclamenhitch/cmd/internal/daemon"
	"cyclamenhitch/cmd/internal/operator"
	"cyclamenhitch/core/manifest"
	"cyclamenhitch/core/placement"
	"cyclamenhitch/core/result"
)

// tables returns the text of all generated sections by name.
func tables(root string) (map[string]string, error) {
	out := map[string]string{"codes": resultCodesTable(), "metrics": metricsTable(), "mechanisms": mechanismsTable()}
	var err error
	if out["commands"], err = operator.Reference(); err != nil {
		return nil, err
	}
	if out["settings"], err = settingsTable(root); err != nil {
		return nil, err
	}
	out["manifest"], err = manifestTable(root)
	return out, err
}

func resultCodesTable() string {
	list := result.Codes()
	slices.Sort(list)
	var b strings.Builder
	b.WriteString("| number | name | HTTP status | outcome | meaning | what the caller should do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, c := range list {
		i := c.Info()
		fmt.Fprintf(&b, "| %d | `%s` | %d | `%s` | %s | %s |\n", c, i.Name, i.HTTPStatus, i.Outcome, i.Meaning, i.Advice)
	}
	return b.String()
}

func metricsTable() string {
	var b strings.Builder
	b.WriteString("| metric | unit | meaning |\n| --- | --- | --- |\n")
	for _, m := range daemon.Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, m.Unit, m.Meaning)
	}
	return b.String()
}

func mechanismsTable() string {
	var b strings.Builder
	b.WriteString("| name | what it does |\n| --- | --- |\n")
	for _, m := range placement.ListMechanisms() {
		fmt.Fprintf(&b, "| `%s` | %s |\n", m.Name, m.Does)
	}
	return b.String()
}

// keyRow describes one key of a TOML file.
type keyRow struct{ key, meaning, unit, def, accepted string }

func renderRows(rows []keyRow) string {
	var b strings.Builder
	b.WriteString("| key | meaning | unit | default | accepted |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", r.key, r.meaning, r.unit, r.def, r.accepted)
	}
	return b.String()
}

func settingsTable(root string) (string, error) {
	comments, err := comments(filepath.Join(root, "adapters/settings/settings.go"))
	if err != nil {
		return "", err
	}
	defaults, numbers := settings.Defaults()
	rows, err := structRows("", reflect.ValueOf(*defaults), comments)
	if err != nil {
		return "", err
	}
	for i := range rows {
		for _, n := range numbers {
			if n.Key == rows[i].key {
				rows[i].unit, rows[i].accepted = n.Unit, fmt.Sprintf("%d to %d", n.Min, n.Max)
			}
		}
	}
	return renderRows(rows), nil
}

// sampleManifest has an entry in each array of tables, so that decoding it fills in
// the defaults of their keys.
const sampleManifest = `format = 1
[[data_centre]]
name = "d"
region = "r"
[[pool]]
name = "p"
[[pool]]
name = "s"
kind = "service"
[[server]]
name = "e"
pool = "p"
data_centre = "d"
address = "10.0.0.1:80"
[[account]]
name = "a"
[[route]]
name = "o"
pool = "s"
`

func manifestTable(root string) (string, error) {
	comments, err := comments(filepath.Join(root, "core/manifest/manifest.go"))
	if err != nil {
		return "", err
	}
	m, err := manifest.Decode([]byte(sampleManifest))
	if err != nil {
		return "", err
	}
	rows, err := structRows("", reflect.ValueOf(*m), comments)
	if err != nil {
		return "", err
	}
	for i := range rows {
		if l, ok := manifest.Limits[rows[i].key]; ok {
			rows[i].unit, rows[i].accepted = l.Unit, l.String()
		}
	}
	return renderRows(rows), nil
}

// structRows returns the rows for the keys of a struct and its nested structs. A
// slice of structs is described by its first element. A field without a doc comment
// is an error.
func structRows(prefix string, v reflect.Value, comments map[string]string) ([]keyRow, error) {
	var rows []keyRow
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		inner := v.Field(i)
		if inner.Kind() == reflect.Slice && inner.Type().Elem().Kind() == reflect.Struct {
			inner = inner.Index(0)
		}
		if inner.Kind() == reflect.Struct {
			sub, err := structRows(key+".", inner, comments)
			if err != nil {
				return nil, err
			}
			rows = append(rows, sub...)
			continue
		}
		text := comments[t.Name()+"."+f.Name]
		if text == "" {
			return nil, fmt.Errorf("%s.%s has no comment", t.Name(), f.Name)
		}
		rows = append(rows, parseFieldComment(key, f.Name, text, v.Field(i)))
	}
	return rows, nil
}

var (
	ruleRE   = regexp.MustCompile(` ?\b(Default|Required)\b[^.]*(\.\d+[^.]*)*\.( |$)`)
	valuesRE = regexp.MustCompile(`"([a-z]+)"(?:, "([a-z]+)")* or "([a-z]+)"`)
)

// parseFieldComment splits the doc comment of a field into the columns of the table.
func parseFieldComment(key, field, text string, value reflect.Value) keyRow {
	r := keyRow{key: key, def: formatDefault(value)}
	if strings.Contains(text, "Required") {
		r.def = "required"
	}
	if _, custom, ok := strings.Cut(text, "Default: "); ok && r.def != "required" {
		r.def, _, _ = strings.Cut(custom, ".")
	}
	if m := valuesRE.FindString(text); m != "" {
		r.accepted = m
	}
	text = strings.TrimSpace(ruleRE.ReplaceAllString(text, " "))
	// "Name is the name" becomes "The name"; "Name lists names" "Lists names".
	text = strings.TrimPrefix(strings.TrimPrefix(text, field+" "), "is ")
	if text != "" {
		text = strings.ToUpper(text[:1]) + text[1:]
	}
	r.meaning = strings.ReplaceAll(text, "|", "\\|")
	return r
}

func formatDefault(v reflect.Value) string {
	if v.Kind() == reflect.Pointer {
		v = v.Elem()
	}
	if (v.Kind() == reflect.String || v.Kind() == reflect.Slice) && v.Len() == 0 {
		return "none"
	}
	return fmt.Sprint(v.Interface())
}

// comments returns the doc comments of the struct fields in a file, keyed by
// Type.Field.
func comments(path string) (map[string]string, error) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	out := map[string]string{}
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		if st, ok := spec.Type.(*ast.StructType); ok {
			for _, field := range st.Fields.List {
				for _, name := range field.Names {
					out[spec.Name.Name+"."+name.Name] = strings.Join(strings.Fields(field.Doc.Text()), " ")
				}
			}
		}
		return true
	})
	return out, nil
}
