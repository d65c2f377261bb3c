package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
)

const smallDeployment = `name = "a"
[nodes]
count = 3
zones = ["x", "y"]
[[capacity]]
type = "t"
zone = "x"
count = 30
spot = 10
[[capacity]]
type = "t"
zone = "y"
count = 30
spot = 10
[[machines]]
type = "t"
zone = "x"
count = 20
[[machines]]
type = "t"
zone = "y"
count = 20
[[teams]]
name = "red"
cpus = 100.0
cpus_max = 200.0
[[teams]]
name = "blue"
cpus = 50.0
cpus_max = 0.0
[[jobs]]
name = "j"
initial = 4
teams = ["red"]
arrivals = { rate = 0.5 }
`

// TestResizeDeployment checks that a resized copy has the requested size, and the same jobs and limits per
// machine as the original.
func TestResizeDeployment(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "a.toml")
	if err := os.WriteFile(file, []byte(smallDeployment), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := resizeDeployment(file, dir, deploymentSize{Machines: 400, Controllers: 7, Zones: 5, Teams: 5})
	if err != nil {
		t.Fatal(err)
	}
	var deployment tomlTable
	if _, err := toml.DecodeFile(out, &deployment); err != nil {
		t.Fatal(err)
	}
	machines, _ := deployment["machines"].([]tomlTable)
	capacity, _ := deployment["capacity"].([]tomlTable)
	teams, _ := deployment["teams"].([]tomlTable)
	jobs, _ := deployment["jobs"].([]tomlTable)
	nodes, _ := deployment["nodes"].(tomlTable)
	if machineCount(machines) != 400 || machineCount(capacity) != 600 || len(zonesOf(deployment)) != 5 || nodes["count"] != int64(7) || len(teams) != 5 {
		t.Errorf("%d machines of %d in %d zones, %v controllers, %d teams", machineCount(machines), machineCount(capacity), len(zonesOf(deployment)), nodes["count"], len(teams))
	}
	limits, names := 0.0, map[any]bool{}
	for _, team := range teams {
		limit, _ := team["cpus_max"].(float64)
		limits += limit
		names[team["name"]] = true
	}
	of, _ := jobs[0]["teams"].([]any)
	arrivals, _ := jobs[0]["arrivals"].(tomlTable)
	if limits < 1999.9 || limits > 2000.1 || len(names) != 5 || len(of) != 3 || jobs[0]["initial"] != int64(40) || arrivals["rate"] != 5.0 {
		t.Errorf("limits of %v CPUs for %d teams, jobs %v", limits, len(names), jobs[0])
	}
	for _, name := range of {
		if !names[name] {
			t.Errorf("a job of the unknown team %v", name)
		}
	}
}
