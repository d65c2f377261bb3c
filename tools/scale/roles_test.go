package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBadRoles checks that the error for an invalid role names its row and field.
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
				t.Errorf("%v is not a field error", err)
			}
		})
	}
}
