package main

import (
	"fmt"
	"strings"
)

// machineFaultPrefix is the prefix of the kinds of faults whose count is a number of machines.
const machineFaultPrefix = "machine_"

// growDeployment writes a copy of a deployment to dir, with machines, jobs and team limits multiplied by
// factor and a new restart delay of the controllers, in seconds. The limits of the controllers and the
// key-value store stay the same. It returns the path of the copy.
func growDeployment(file, dir string, factor, restartDelay float64) (string, error) {
	deployment, err := readDeployment(file)
	if err != nil {
		return "", err
	}
	scaleRows(deployment["capacity"], factor, "count", "spot")
	scaleRows(deployment["machines"], factor, "count")
	scaleRows(deployment["teams"], factor, "cpus", "cpus_max", "gpus", "gpus_max")
	scaleWork(deployment, factor)
	scaleMachineFaults(deployment, factor)
	if nodes, ok := deployment["nodes"].(tomlTable); ok {
		nodes["restart_delay_s"] = restartDelay
	}
	return writeDeployment(deployment, file, dir, deploymentName(file)+fmt.Sprintf("-x%g", factor))
}

// scaleMachineFaults multiplies the numbers of machines that the days' faults affect.
func scaleMachineFaults(deployment tomlTable, factor float64) {
	days, _ := deployment["day"].([]tomlTable)
	for _, d := range days {
		faults, _ := d["faults"].([]any) // inline tables
		for _, f := range faults {
			fault, _ := f.(tomlTable)
			if kind, _ := fault["kind"].(string); strings.HasPrefix(kind, machineFaultPrefix) {
				scaleField(fault, "count", factor)
			}
		}
	}
}
