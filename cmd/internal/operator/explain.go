package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
)

type explainCmd struct {
	Model   string `required:"" help:"Model that the chat asks for."`
	Chat    string `required:"" help:"Chat id, as in the header X-Chat-Id."`
	Account string `help:"Client account of the chat; chats of different accounts are separate."`
}

func (c *explainCmd) Run(e *env) error {
	q := url.Values{"model": {c.Model}, "chat": {c.Chat}}
	if c.Account != "" {
		q.Set("account", c.Account)
	}
	var answer json.RawMessage
	if err := e.callJSON("GET", "/admin/explain?"+q.Encode(), nil, &answer); err != nil {
		return err
	}
	if e.JSON {
		return json.NewEncoder(e.out).Encode(answer)
	}
	fields, err := decodeObject(answer)
	if err != nil {
		return err
	}
	for _, f := range fields {
		rows, ok := decodeObjectArray(f.value)
		if !ok {
			fmt.Fprintf(e.out, "%s: %s\n", label(f.key), formatValue(f.value))
			continue
		}
		fmt.Fprintf(e.out, "%s:\n", label(f.key))
		e.printRows(rows)
	}
	return nil
}

// printRows prints objects as a table. The columns are the keys in the order of their
// first appearance.
func (e *env) printRows(rows [][]field) {
	var columns []string
	seen := map[string]bool{}
	for _, r := range rows {
		for _, f := range r {
			if !seen[f.key] {
				seen[f.key] = true
				columns = append(columns, f.key)
			}
		}
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	for i, c := range columns {
		columns[i] = strings.ToUpper(label(c))
	}
	fmt.Fprintln(w, "  "+strings.Join(columns, "\t"))
	for _, r := range rows {
		cells := make([]string, len(columns))
		for i, c := range columns {
			for _, f := range r {
				if strings.ToUpper(label(f.key)) == c {
					cells[i] = formatValue(f.value)
				}
			}
		}
		fmt.Fprintln(w, "  "+strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// field is a member of a JSON object. A slice of fields keeps the order of the response,
// which a map would lose.
type field struct {
	key   string
	value json.RawMessage
}

// decodeObject returns the members of a JSON object in their order.
func decodeObject(src []byte) ([]field, error) {
	dec := json.NewDecoder(bytes.NewReader(src))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return nil, fmt.Errorf("response is not a JSON object: %s", src)
	}
	var out []field
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return nil, err
		}
		var v json.RawMessage
		if err := dec.Decode(&v); err != nil {
			return nil, err
		}
		out = append(out, field{fmt.Sprint(key), v})
	}
	return out, nil
}

// decodeObjectArray decodes a non-empty array of objects; it returns false for any other
// value.
func decodeObjectArray(src json.RawMessage) ([][]field, bool) {
	var list []json.RawMessage
	if json.Unmarshal(src, &list) != nil || len(list) == 0 {
		return nil, false
	}
	var out [][]field
	for _, item := range list {
		fs, err := decodeObject(item)
		if err != nil {
			return nil, false
		}
		out = append(out, fs)
	}
	return out, true
}

// formatValue formats a JSON value that is not an object for the text output.
func formatValue(v json.RawMessage) string {
	var s string
	if json.Unmarshal(v, &s) == nil {
		return s
	}
	var list []any
	if json.Unmarshal(v, &list) == nil {
		parts := make([]string, len(list))
		for i, x := range list {
			parts[i] = fmt.Sprint(x)
		}
		return strings.Join(parts, ", ")
	}
	if string(v) == "null" {
		return "-"
	}
	if f, err := strconv.ParseFloat(string(v), 64); err == nil && strings.ContainsAny(string(v), ".eE") {
		return strconv.FormatFloat(f, 'g', 5, 64)
	}
	return string(v)
}

func label(key string) string { return strings.ReplaceAll(key, "_", " ") }
