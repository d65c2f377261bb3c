// Gangs: placed whole, first-fit.

package sched

import (
	"slices"

	"basaltwall/api"
)

// placeGang assigns all tasks of a gang first-fit, or none.
func placeGang(in *Input, jobIndex int, left *remaining) []Assignment {
	j := &in.Jobs[jobIndex]
	if j.TasksWithinUnits(left.units, len(j.Pending)) == 0 {
		return nil
	}
	if !j.Demand.Times(len(j.Pending)).Fits(left.quota[j.Spec.Team]) {
		if j.ReservesQuota {
			left.quota[j.Spec.Team] = api.Resources{}
		}
		return nil
	}
	order := gangMachines(in, j, left.free)
	for _, zone := range gangZones(in, j, order) {
		assignments := gangAssignments(in, jobIndex, left, order, zone)
		if len(assignments) == len(j.Pending) {
			left.occupy(in, assignments)
			left.chargeQuota(j, len(assignments))
			j.ConsumeUnits(left.units, len(assignments))
			return assignments
		}
	}
	if j.ReservesQuota { // the gang lacks machines now and must not lack quota once they are free
		left.chargeQuota(j, len(j.Pending))
	}
	return nil
}

// gangMachines returns the machines that can take a task of a gang: those on which it failed
// last, those with its image first, and among these best-fit first, so that empty machines stay empty.
func gangMachines(in *Input, j *Job, free []api.Resources) []int {
	var order []int
	for machineIndex := range in.Machines {
		m := &in.Machines[machineIndex]
		if j.Demand.Fits(free[machineIndex]) && m.Eligible(j) {
			order = append(order, machineIndex)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if ra, rb := j.RetriedMachines[in.Machines[a].ID], j.RetriedMachines[in.Machines[b].ID]; ra != rb {
			return compareTrueFirst(rb, ra)
		}
		ia, ib := in.Machines[a].HasImage(j.Spec.Image), in.Machines[b].HasImage(j.Spec.Image)
		if ia != ib {
			if ia {
				return -1
			}
			return 1
		}
		return j.Demand.Slots(free[a]) - j.Demand.Slots(free[b])
	})
	return order
}

// gangZones returns the zones to try for a gang that must be in one zone, one at a time; for other
// gangs only the empty zone, which stands for all zones together.
func gangZones(in *Input, j *Job, order []int) []api.Zone {
	if !j.Spec.OneZone {
		return []api.Zone{""}
	}
	var zones []api.Zone
	for _, machineIndex := range order {
		if z := in.Machines[machineIndex].Zone; !slices.Contains(zones, z) {
			zones = append(zones, z)
		}
	}
	return zones
}

// gangAssignments assigns as many tasks of a gang as fit, first-fit, to machines of a zone; the empty
// zone stands for any.
func gangAssignments(in *Input, jobIndex int, left *remaining, order []int, zone api.Zone) []Assignment {
	j := &in.Jobs[jobIndex]
	counts := map[api.Zone]int{}
	for z, n := range j.PlacedByZone {
		counts[z] = n
	}
	var assignments []Assignment
	for _, machineIndex := range order {
		m := &in.Machines[machineIndex]
		if zone != "" && m.Zone != zone {
			continue
		}
		available, slots := left.free[machineIndex], left.slots[machineIndex]
		for slots > 0 && len(assignments) < len(j.Pending) && j.Demand.Fits(available) && ZoneFeasible(j.Spec, counts, m.Zone) {
			assignments = append(assignments, Assignment{JobIndex: jobIndex, Task: j.Pending[len(assignments)], MachineIndex: machineIndex})
			available = available.Minus(j.Demand)
			slots--
			counts[m.Zone]++
		}
	}
	return assignments
}
