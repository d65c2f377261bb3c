package main

import (
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestProjectDays checks that each deployment of the set hunt has valid days of the project's own with at
// least two faults, and that a grown copy has the days of its original.
func TestProjectDays(t *testing.T) {
	for _, f := range sets["hunt"] {
		days, err := projectDays("days", f)
		if err != nil || len(days) < 12 {
			t.Errorf("%s: %d days, %v", f, len(days), err)
		}
		grown, err := projectDays("days", filepath.Join("x", filepath.Base(f[:len(f)-len(".toml")])+"-x1.5.toml"))
		if err != nil || len(grown) != len(days) {
			t.Errorf("grown %s: %d days, %v", f, len(grown), err)
		}
		for _, file := range days {
			var day struct {
				Name   string           `toml:"name"`
				Length float64          `toml:"duration_s"`
				Faults []map[string]any `toml:"faults"`
			}
			if _, err := toml.DecodeFile(file, &day); err != nil {
				t.Errorf("%s: %v", file, err)
			}
			if day.Name+".toml" != filepath.Base(file) || day.Length <= 0 || len(day.Faults) < 2 {
				t.Errorf("%s: %q, %v s, %d faults", file, day.Name, day.Length, len(day.Faults))
			}
		}
	}
}
