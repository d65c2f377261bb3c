package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"

	"github.com/BurntSushi/toml"
)

// tomlTable is a table of a deployment file.
type tomlTable = map[string]any

func readDeployment(file string) (tomlTable, error) {
	var deployment tomlTable
	if _, err := toml.DecodeFile(file, &deployment); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return deployment, nil
}

// scaleWork multiplies the initial jobs of a deployment and the arrival rates.
func scaleWork(deployment tomlTable, factor float64) {
	scaleRows(deployment["jobs"], factor, "initial")
	jobs, _ := deployment["jobs"].([]tomlTable)
	for _, j := range jobs {
		scaleRows(j["arrivals"], factor, "rate")
	}
}

// scaleRows multiplies fields of a table, or of each table in an array.
func scaleRows(value any, factor float64, fields ...string) {
	rows, _ := value.([]tomlTable)
	if table, ok := value.(tomlTable); ok {
		rows = []tomlTable{table}
	}
	for _, row := range rows {
		for _, field := range fields {
			scaleField(row, field, factor)
		}
	}
}

// scaleField multiplies a numeric field, if it exists.
func scaleField(r tomlTable, field string, factor float64) {
	switch v := r[field].(type) {
	case int64:
		r[field] = int64(math.Round(float64(v) * factor))
	case float64:
		r[field] = v * factor
	}
}

// writeDeployment writes a changed copy of the deployment in file to dir under a new name, together with
// a copy of the file that its field wire names. It returns the path of the copy.
func writeDeployment(deployment tomlTable, file, dir, name string) (string, error) {
	deployment["name"] = name
	if wire, _ := deployment["wire"].(string); wire != "" {
		data, err := os.ReadFile(filepath.Join(filepath.Dir(file), wire))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, wire), data, 0o644)
		}
		if err != nil {
			return "", err
		}
	}
	out := filepath.Join(dir, name+".toml")
	f, err := os.Create(out)
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	return out, toml.NewEncoder(f).Encode(deployment)
}
