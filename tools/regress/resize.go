package main

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// deploymentSize is how large a copy of a deployment is to be.
type deploymentSize struct {
	Machines    int
	Controllers int
	Zones       int
	Teams       int
}

// targetSize is the size that the users expect, see docs/CAPACITY.md.
var targetSize = deploymentSize{Machines: 2700, Controllers: 23, Zones: 8, Teams: 57}

// resizeDeployment writes a copy of a deployment with so many machines, controllers, zones and teams into a
// folder; work and limits grow with the machines. Teams and zones are multiplied: each has copies
// that share what it had. Limits of the controllers and of the key-value store stay. It returns the
// copy's path.
func resizeDeployment(file, dir string, to deploymentSize) (string, error) {
	deployment, err := readDeployment(file)
	if err != nil {
		return "", err
	}
	nodes, _ := deployment["nodes"].(tomlTable)
	machines, _ := deployment["machines"].([]tomlTable)
	if nodes == nil || len(machines) == 0 {
		return "", fmt.Errorf("%s: nodes, machines: none", file)
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

// machineCount is how many machines the rows name.
func machineCount(rows []tomlTable) int64 {
	sum := int64(0)
	for _, r := range rows {
		n, _ := r["count"].(int64)
		sum += n
	}
	return sum
}

// zonesOf are the zones that a deployment's machines are in.
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

// replicateZones gives each zone copies, so that there are so many in all.
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

// controllerZones are the zones that controllers lie in: those that they lay in, and their copies.
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

// distributeMachines divides each row's machines, so many times as many, among the copies of its zone.
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

// replicateTeams gives each team copies that share its guarantee, its limit and its jobs.
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
