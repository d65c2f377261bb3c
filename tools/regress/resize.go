package main

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// deploymentSize is the size of a resized copy of a deployment.
type deploymentSize struct {
	Machines    int
	Controllers int
	Zones       int
	Teams       int
}

// targetSize is the size that the users expect; see docs/CAPACITY.md.
var targetSize = deploymentSize{Machines: 2700, Controllers: 23, Zones: 8, Teams: 57}

// resizeDeployment writes a copy of a deployment with another size to dir. Jobs and team limits grow with
// the machines. Teams and zones are replicated, and the replicas share the resources of the original.
// The limits of the controllers and the key-value store stay the same. It returns the path of the copy.
func resizeDeployment(file, dir string, to deploymentSize) (string, error) {
	deployment, err := readDeployment(file)
	if err != nil {
		return "", err
	}
	nodes, _ := deployment["nodes"].(tomlTable)
	machines, _ := deployment["machines"].([]tomlTable)
	if nodes == nil || len(machines) == 0 {
		return "", fmt.Errorf("%s: nodes or machines missing", file)
	}
	zones := zonesOf(deployment)
	zoneCopies := replicateZones(zones, to.Zones)
	factor := float64(to.Machines) / float64(machineCount(machines))
	nodes["count"] = int64(to.Controllers)
	nodes["zones"] = controllerZones(nodes, zoneCopies)
	for _, key := range []string{"capacity", "machines"} {
		rows, _ := deployment[key].([]tomlTable)
		deployment[key] = distributeMachines(rows, zoneCopies, factor)
	}
	replicateTeams(deployment, to.Teams, factor)
	scaleWork(deployment, factor)
	return writeDeployment(deployment, file, dir, fmt.Sprintf("%s-%dx%d", deploymentName(file), to.Machines, to.Controllers))
}

// machineCount returns the total number of machines in rows.
func machineCount(rows []tomlTable) int64 {
	sum := int64(0)
	for _, r := range rows {
		n, _ := r["count"].(int64)
		sum += n
	}
	return sum
}

// zonesOf returns the zones of a deployment's machines.
func zonesOf(deployment tomlTable) []string {
	seen := map[string]bool{}
	rows, _ := deployment["capacity"].([]tomlTable)
	for _, r := range rows {
		if z, ok := r["zone"].(string); ok {
			seen[z] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// replicateZones returns the names of the copies of each zone, itself included, for a total of count zones.
func replicateZones(zones []string, count int) map[string][]string {
	out := map[string][]string{}
	for i := range max(count, len(zones)) {
		z := zones[i%len(zones)]
		name := z
		if i >= len(zones) {
			name = fmt.Sprintf("%s-%d", z, i/len(zones)+1)
		}
		out[z] = append(out[z], name)
	}
	return out
}

// controllerZones returns the zones of the controllers: the original ones and their copies.
func controllerZones(nodes tomlTable, zoneCopies map[string][]string) []any {
	var out []any
	old, _ := nodes["zones"].([]any)
	for _, z := range old {
		name, _ := z.(string)
		for _, copied := range zoneCopies[name] {
			out = append(out, copied)
		}
	}
	return out
}

// distributeMachines multiplies each row's machines by a factor and distributes them over the copies of
// its zone.
func distributeMachines(rows []tomlTable, zoneCopies map[string][]string, factor float64) []tomlTable {
	var out []tomlTable
	for _, r := range rows {
		zone, _ := r["zone"].(string)
		copies := zoneCopies[zone]
		for i, z := range copies {
			c := maps.Clone(r)
			c["zone"] = z
			for _, field := range []string{"count", "spot"} {
				if n, ok := r[field].(int64); ok {
					all := int64(math.Round(float64(n) * factor))
					share := all / int64(len(copies))
					if int64(i) < all%int64(len(copies)) {
						share++
					}
					c[field] = share
				}
			}
			out = append(out, c)
		}
	}
	return out
}

// replicateTeams replicates teams for a total of count; the copies share the guarantee, limit and jobs.
func replicateTeams(deployment tomlTable, count int, factor float64) {
	teams, _ := deployment["teams"].([]tomlTable)
	copies := map[string][]any{}
	var out []tomlTable
	for i := range max(count, len(teams)) {
		t := maps.Clone(teams[i%len(teams)])
		name, _ := t["name"].(string)
		if i >= len(teams) {
			t["name"] = fmt.Sprintf("%s-%d", name, i/len(teams)+1)
		}
		copies[name] = append(copies[name], t["name"])
		out = append(out, t)
	}
	for i, t := range out {
		name, _ := teams[i%len(teams)]["name"].(string)
		for _, field := range []string{"cpus", "cpus_max", "gpus", "gpus_max"} {
			scaleField(t, field, factor/float64(len(copies[name])))
		}
	}
	deployment["teams"] = out
	jobs, _ := deployment["jobs"].([]tomlTable)
	for _, j := range jobs {
		old, _ := j["teams"].([]any)
		var all []any
		for _, name := range old {
			s, _ := name.(string)
			all = append(all, copies[s]...)
		}
		j["teams"] = all
	}
}
