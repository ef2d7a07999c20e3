// Command doctable generates the tables in the pages under docs: result codes,
// settings, manifest keys, metrics and commands. It replaces the text between the
// markers "<!-- generated: NAME -->" and "<!-- end -->".
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// pages lists the pages with generated sections, relative to the root.
var pages = []string{"docs/operators.md", "docs/result-codes.md"}

func main() {
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	if err := write(*root); err != nil {
		fmt.Fprintln(os.Stderr, "doctable:", err)
		os.Exit(1)
	}
}

func write(root string) error {
	for _, page := range pages {
		path := filepath.Join(root, page)
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		out, err := generate(root, string(src))
		if err != nil {
			return fmt.Errorf("%s: %w", page, err)
		}
		if err := os.WriteFile(path, []byte(out), 0o644); err != nil {
			return err
		}
	}
	return nil
}

const (
	beginMark = "<!-- generated: "
	endMark   = "<!-- end -->"
)

// generate returns the text of a page with its generated sections replaced.
func generate(root, page string) (string, error) {
	sections, err := tables(root)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for {
		before, rest, ok := strings.Cut(page, beginMark)
		b.WriteString(before)
		if !ok {
			return b.String(), nil
		}
		name, rest, ok := strings.Cut(rest, " -->")
		if !ok {
			return "", fmt.Errorf("marker %q has no closing -->", beginMark)
		}
		text, ok := sections[name]
		if !ok {
			return "", fmt.Errorf("no table is named %q", name)
		}
		_, rest, ok = strings.Cut(rest, endMark)
		if !ok {
			return "", fmt.Errorf("section %q has no end marker %q", name, endMark)
		}
		fmt.Fprintf(&b, "%s%s -->\n\n%s\n%s", beginMark, name, text, endMark)
		page = rest
	}
}
