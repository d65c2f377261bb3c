package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPageMatchesResults checks that the capacity page is generated from the saved results.
func TestPageMatchesResults(t *testing.T) {
	check := &pageCmd{Results: "../../docs/capacity", Page: "../../docs/CAPACITY.md", Check: true}
	if err := check.Run(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(check.Page)
	if err != nil {
		t.Fatal(err)
	}
	check.Page = filepath.Join(t.TempDir(), "page.md")
	changed := strings.Replace(string(text), "| 2700 |", "| 2701 |", 1)
	if changed == string(text) {
		changed = strings.Replace(string(text), "<!-- scale: roles -->\n", "<!-- scale: roles -->\nx", 1)
	}
	if err := os.WriteFile(check.Page, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := check.Run(); !errors.Is(err, errStale) {
		t.Errorf("a changed page: %v", err)
	}
}

// TestPageWithoutMarkers checks that the error for a missing marker names the marker.
func TestPageWithoutMarkers(t *testing.T) {
	if _, err := replaceSection("text", "roles", "x"); err == nil || !strings.Contains(err.Error(), "scale: roles") {
		t.Errorf("%v", err)
	}
	if _, err := replaceSection("<!-- scale: roles -->", "roles", "x"); err == nil || !strings.Contains(err.Error(), markEnd) {
		t.Errorf("%v", err)
	}
	got, err := replaceSection("a<!-- scale: roles -->old"+markEnd+"b", "roles", "new")
	if err != nil || got != "a<!-- scale: roles -->\n\nnew\n"+markEnd+"b" {
		t.Errorf("%q, %v", got, err)
	}
}
