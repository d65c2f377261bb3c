package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// This file reads documentation pages.

// readPage returns the text of a page, whose path is relative to the module's root.
func readPage(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(moduleRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// tableRows returns the rows of all tables of a page with these columns. A page without any fails the
// test.
func tableRows(t *testing.T, page string, columns ...string) [][]string {
	t.Helper()
	var rows [][]string
	inTable := false
	for line := range strings.Lines(readPage(t, page)) {
		cells := tableCells(line)
		switch {
		case cells == nil:
			inTable = false
		case slices.Equal(cells, columns):
			inTable = true
		case inTable && len(cells) == len(columns) && !strings.HasPrefix(cells[0], "---"):
			rows = append(rows, cells)
		}
	}
	if len(rows) == 0 {
		t.Fatalf("%s: no table with columns %q", page, columns)
	}
	return rows
}

// tableCells returns the cells of a table's line, or nil for other lines.
func tableCells(line string) []string {
	inner, ok := strings.CutPrefix(strings.TrimSpace(line), "|")
	if !ok {
		return nil
	}
	cells := strings.Split(strings.TrimSuffix(inner, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

var codeSpan = regexp.MustCompile("`([^`\n]+)`")

// codeSpans returns the texts in backticks, except in indented code blocks.
func codeSpans(text string) []string {
	var spans []string
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "    ") {
			continue
		}
		for _, match := range codeSpan.FindAllStringSubmatch(line, -1) {
			spans = append(spans, match[1])
		}
	}
	return spans
}
