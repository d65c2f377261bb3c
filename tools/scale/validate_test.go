package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBadExperiments checks that the error for an invalid experiment file names the field.
func TestBadExperiments(t *testing.T) {
	good, err := os.ReadFile("experiments/small.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ field, old, replacement string }{
		{"controllers", "controllers = 3", "controllers = 0"},
		{"machines", "machines = 300", "machines = 20000"},
		{"regions", "regions = 1", "regions = 9"},
		{"measure_s", "measure_s = 8", "measure_s = -1"},
		{"machine.cpus", "cpus = 8\n", "cpus = 0\n"},
		{"load[0].kind", `kind = "service"`, `kind = "servant"`},
		{"load[0].tasks", "tasks = 16", "tasks = 0"},
		{"nonsense", "seed", "seed"},
		{"fault[0].what", "[[load]]", "[[fault]]\nat_s = 1\nwhat = \"x\"\n[[load]]"},
		{"fault[0].at_s", "[[load]]", "[[fault]]\nat_s = 99\nwhat = \"end\"\n[[load]]"},
		{"vary.key", "[machine]", "[vary]\nkey = \"x\"\nvalues = [1]\n[machine]"},
		{"vary.values", "[machine]", "[vary]\nkey = \"machines\"\nvalues = []\n[machine]"},
		{"name", `name = "small"`, `name = ""`},
		{"load[1].cancel", "cancel_share = 0.5", "cancel_share = 2"},
	} {
		t.Run(test.field, func(t *testing.T) {
			text := strings.Replace(string(good), test.old, test.replacement, 1)
			if test.field == "nonsense" {
				text = "nonsense = 1\n" + text
			}
			file := filepath.Join(t.TempDir(), "e.toml")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := readExperiment(file)
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
