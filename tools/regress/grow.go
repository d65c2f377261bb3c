package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/BurntSushi/toml"
)

// growDeployment writes a copy of a deployment into a folder, with so many times the machines, the
// work and the teams' limits, and processes that are back so many seconds after they end.
// What the controllers and the key-value store may use stays. It returns the copy's path.
func growDeployment(file, dir string, factor, restartDelay float64) (string, error) {
	var deployment map[string]any
	if _, err := toml.DecodeFile(file, &deployment); err != nil {
		return "", fmt.Errorf("%s: %w", file, err)
	}
	grown := func(table any, fields ...string) {
		rows, _ := table.([]map[string]any)
		if one, ok := table.(map[string]any); ok {
			rows = []map[string]any{one}
		}
		for _, row := range rows {
			for _, f := range fields {
				scaleField(row, f, factor)
			}
		}
	}
	grown(deployment["capacity"], "count", "spot")
	grown(deployment["machines"], "count")
	grown(deployment["teams"], "cpus", "cpus_max", "gpus", "gpus_max")
	grown(deployment["jobs"], "initial")
	jobs, _ := deployment["jobs"].([]map[string]any)
	for _, j := range jobs {
		grown(j["arrivals"], "rate")
	}
	days, _ := deployment["day"].([]map[string]any)
	for _, d := range days {
		faults, _ := d["faults"].([]any) // tables in a line
		for _, f := range faults {
			fault, _ := f.(map[string]any)
			if kind, _ := fault["kind"].(string); strings.HasPrefix(kind, "machine_") {
				grown(fault, "count")
			}
		}
	}
	if nodes, ok := deployment["nodes"].(map[string]any); ok {
		nodes["restart_delay_s"] = restartDelay
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml") + fmt.Sprintf("-x%g", factor)
	deployment["name"] = name
	return writeDeployment(deployment, file, dir, name)
}
