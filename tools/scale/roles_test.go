package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A table of roles that names no metric of ours is an error with the row.
func TestBadRoles(t *testing.T) {
	for _, test := range []struct{ name, text, field string }{
		{"unknown metric", "[[row]]\nmetric = \"nothing\"\n", "row[0].metric"},
		{"unknown field", "[[row]]\nnonsense = 1\n", "nonsense"},
	} {
		t.Run(test.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "roles.toml")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := readRoles(file)
			if err == nil || !strings.Contains(err.Error(), test.field) {
				t.Errorf("%v", err)
			}
			var invalid *fieldError
			if !errors.As(err, &invalid) {
				t.Errorf("%v is no field error", err)
			}
		})
	}
}
