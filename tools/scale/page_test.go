package main

import (
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The capacity page is what the kept results give, so that no figure on it is written by hand.
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

// A slope is that of the line through the points, with how far they lie from it.
func TestFit(t *testing.T) {
	var results []*result
	for i, cpu := range []float64{1, 2, 3.3} {
		results = append(results, &result{Label: "x", Name: "s", Vary: varyControllers, Controllers: 10 * (i + 1), CPU: cpu})
	}
	cpu, _ := findMetric("cpu_total")
	f, ok := fitLine(results, "x", varyControllers, cpu.value)
	if !ok || math.Abs(f.slope-0.115) > 1e-9 || math.Abs(f.residual-0.1/3.3) > 1e-9 {
		t.Errorf("%+v, %v", f, ok)
	}
	if _, ok := fitLine(results[:2], "x", varyControllers, cpu.value); ok {
		t.Error("two points give a slope")
	}
	results[0].Failed = "it did"
	if _, ok := fitLine(results, "x", varyControllers, cpu.value); ok {
		t.Error("a run that failed counts")
	}
}

// A page without a section's markers is an error that names them.
func TestPageWithoutMarkers(t *testing.T) {
	if _, err := replacePart("text", "roles", "x"); err == nil || !strings.Contains(err.Error(), "scale: roles") {
		t.Errorf("%v", err)
	}
	if _, err := replacePart("<!-- scale: roles -->", "roles", "x"); err == nil || !strings.Contains(err.Error(), markEnd) {
		t.Errorf("%v", err)
	}
	got, err := replacePart("a<!-- scale: roles -->old"+markEnd+"b", "roles", "new")
	if err != nil || got != "a<!-- scale: roles -->\n\nnew\n"+markEnd+"b" {
		t.Errorf("%q, %v", got, err)
	}
}

// A table of roles that names no metric of ours is an error with the row.
func TestBadRoles(t *testing.T) {
	name := filepath.Join(t.TempDir(), "roles.toml")
	for text, want := range map[string]string{"[[row]]\nmetric = \"nothing\"\n": "row[0].metric", "[[row]]\nnonsense = 1\n": "nonsense"} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readRoles(name); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
