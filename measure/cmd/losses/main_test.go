package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against causes that are left out: the rows of a day must add up to 1 minus its
// worth, averaged over its plays.
func TestLossesAddUp(t *testing.T) {
	dir := t.TempDir()
	reports := map[string]string{
		"quiet.1.json": `{"G": 0.8, "parts": [["whole day", 0.9, 0.95], ["worst class", 0.1, 0.85]], "prices": [["cloud calls", 10, 0.139], ["probes", 1, 0.001]], "breaks": {}}`,
		"quiet.2.json": `{"G": 0.9, "parts": [["whole day", 0.9, 0.95], ["worst class", 0.1, 0.85]], "prices": [["cloud calls", 5, 0.04]], "breaks": {"TWICE": 1}}`,
	}
	var files []string
	for _, name := range []string{"quiet.1.json", "quiet.2.json"} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(reports[name]), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	days, err := readDays(files)
	if err != nil {
		t.Fatal(err)
	}
	if len(days) != 1 || days[0].plays != 2 {
		t.Fatalf("%d days, want one with two plays", len(days))
	}
	sum := 0.0
	for _, loss := range days[0].losses {
		sum += loss
	}
	if want := 1 - mean(days[0].worths); sum < want-1e-9 || sum > want+1e-9 {
		t.Errorf("losses add up to %v, want %v", sum, want)
	}
	var out strings.Builder
	if err := printTable(&out, days); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"price: cloud calls", "0.090", "other", "0.850", "0.800, 0.900 of 2", "TWICE"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
}

func TestInvalidReport(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.json")
	if err := os.WriteFile(file, []byte(`{"prices": [["a", "b", 0]]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := readDays([]string{file}); err == nil {
		t.Error("a report with a malformed price was accepted")
	}
}
