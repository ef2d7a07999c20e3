package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const root = "../../.."

// Guards against generated sections that differ from the code. "make docs" updates
// them.
func TestPagesAreGenerated(t *testing.T) {
	for _, page := range pages {
		src, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		want, err := generate(root, string(src))
		if err != nil {
			t.Fatal(err)
		}
		if want != string(src) {
			t.Errorf("%s is out of date: run make docs", page)
		}
		if !strings.Contains(want, beginMark) {
			t.Errorf("%s has no generated section", page)
		}
	}
}

// Guards against links to pages that do not exist.
func TestLinks(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(root, "docs/*.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range append(files, filepath.Join(root, "README.md")) {
		src, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Split(string(src), "](")[1:] {
			link, _, _ := strings.Cut(part, ")")
			link, _, _ = strings.Cut(link, "#")
			if link == "" || strings.Contains(link, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(f), link)); err != nil {
				t.Errorf("%s links to %s, which does not exist", filepath.Base(f), link)
			}
		}
	}
}
