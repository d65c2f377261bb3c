package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestGrowDeployment checks that only machines, jobs, limits, the name and the restart delay of a grown
// copy differ.
func TestGrowDeployment(t *testing.T) {
	dir := t.TempDir()
	deployment := "name = \"a\"\n[nodes]\ncount = 3\nrestart_delay_s = 3.0\n[state]\nrps = 150.0\n[[capacity]]\ncount = 5\nspot = 3\n[[machines]]\ncount = 4\n" +
		"[[teams]]\nname = \"t\"\ncpus_max = 10.0\n[[jobs]]\ninitial = 7\narrivals = { rate = 0.5 }\n[[day]]\nfaults = [{ kind = \"machine_die\", count = 4 }, { kind = \"node_crash\", count = 2 }]\n"
	file := filepath.Join(dir, "a.toml")
	if err := os.WriteFile(file, []byte(deployment), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := growDeployment(file, t.TempDir(), 1.5, 0.2)
	if err != nil {
		t.Fatal(err)
	}
	var got map[string]any
	if _, err := toml.DecodeFile(out, &got); err != nil {
		t.Fatal(err)
	}
	want := "map[capacity:[map[count:8 spot:5]] day:[map[faults:[map[count:6 kind:machine_die] map[count:2 kind:node_crash]]]] jobs:[map[arrivals:map[rate:0.75] initial:11]] machines:[map[count:6]] name:a-x1.5 nodes:map[count:3 restart_delay_s:0.2] state:map[rps:150] teams:[map[cpus_max:15 name:t]]]"
	if s := fmt.Sprint(got); s != want {
		t.Errorf("%s", s)
	}
}
