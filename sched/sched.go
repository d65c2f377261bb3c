// Package sched plans a scheduling round: gangs are placed whole and first-fit, then all other
// pending tasks together by min-cost flow, within each team's quota. It is pure: the same input
// gives the same plan.
package sched

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/fragmentation"
)

// Input is the complete input of a round.
type Input struct {
	Machines        []Machine
	Jobs            []Job
	RemainingQuota  map[api.Team]api.Resources // quota that each team has left in the partition
	LargestCapacity api.Resources              // maximum of each resource over all machine types
	TypicalDemands  []fragmentation.Demand     // of jobs that need accelerators
	AvailableUnits  map[api.PoolName]int       // units of pools that the partition may allocate
	MaxStarts       int                        // limit on starts in the round; a gang may exceed it, the last one placed
}

// Assignment puts a task on a machine.
type Assignment struct {
	JobIndex     int // into Input.Jobs
	Task         int // index of the task in its job
	MachineIndex int // into Input.Machines
}

// remaining is the free capacity, quota and pool units left to allocate in a round.
type remaining struct {
	free  []api.Resources // by machine index
	slots []int           // number of tasks that a machine may still take, by its index
	quota map[api.Team]api.Resources
	units map[api.PoolName]int
}

// remaining returns what is available before anything is placed.
func (in *Input) remaining() *remaining {
	r := &remaining{
		free:  make([]api.Resources, len(in.Machines)),
		slots: make([]int, len(in.Machines)),
		quota: make(map[api.Team]api.Resources, len(in.RemainingQuota)),
		units: maps.Clone(in.AvailableUnits),
	}
	for i, m := range in.Machines {
		r.free[i], r.slots[i] = m.Free, m.taskSlots()
	}
	maps.Copy(r.quota, in.RemainingQuota)
	return r
}

// chargeQuota subtracts a number of the job's tasks from its team's quota.
func (r *remaining) chargeQuota(j *Job, tasks int) {
	r.quota[j.Spec.Team] = r.quota[j.Spec.Team].Minus(j.Demand.Times(tasks))
}

// occupy subtracts assigned tasks from the free capacity of their machines. A machine without slots has none.
func (r *remaining) occupy(in *Input, assignments []Assignment) {
	for _, a := range assignments {
		r.free[a.MachineIndex] = r.free[a.MachineIndex].Minus(in.Jobs[a.JobIndex].Demand)
		if r.slots[a.MachineIndex]--; r.slots[a.MachineIndex] <= 0 {
			r.free[a.MachineIndex] = api.Resources{}
		}
	}
}

// PlanRound plans a round. No task is assigned twice, and the assignments together stay within free
// capacity, quotas and pool units, and within MaxStarts except for the last gang. The caller leaves out gangs that
// are too large for the round, since how much a gang takes there depends on its machines.
func PlanRound(in *Input) []Assignment {
	var plan []Assignment
	left := in.remaining()
	order := make([]int, len(in.Jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compareJobs(&in.Jobs[a], &in.Jobs[b]) })
	groups := in.priorityGroups(order)
	if len(groups) > 1 {
		in = in.withAcceleratorsReserved()
	}
	for _, group := range groups {
		for _, jobIndex := range group {
			if j := &in.Jobs[jobIndex]; j.Spec.Kind == api.Gang && len(j.Pending) > 0 && len(plan) < in.MaxStarts {
				plan = append(plan, placeGang(in, jobIndex, left)...)
			}
		}
		assignments := placeByFlow(in, group, left, in.MaxStarts-len(plan))
		left.occupy(in, assignments)
		plan = append(plan, assignments...)
	}
	return plan
}

// withAcceleratorsReserved returns the input with machines limited to jobs that need accelerators,
// if they have accelerators free for such pending jobs. Otherwise jobs that rules put first, and
// that can run elsewhere, would take the capacity.
func (in *Input) withAcceleratorsReserved() *Input {
	out := *in
	out.Machines = slices.Clone(in.Machines)
	for i := range out.Machines {
		m := &out.Machines[i]
		m.AcceleratorOnly = m.AcceleratorOnly || m.HasAccelerators && slices.ContainsFunc(in.Jobs, func(j Job) bool {
			return len(j.Pending) > 0 && !j.AcceleratorOptional && j.Demand.GPU > 0 && j.Demand.GPU <= m.Free.GPU && Feasible(j.Spec, m.Type, m.Zone, m.Spot)
		})
	}
	return &out
}

// priorityGroups divides the ordered jobs into groups that are placed one after the other, gangs
// before the flow in each. Without priority rules all jobs are one group. With rules each effective
// priority is a group, or a gang would take capacity from jobs that the rules put first.
func (in *Input) priorityGroups(order []int) [][]int {
	if !slices.ContainsFunc(in.Jobs, func(j Job) bool { return j.PriorityBoost != 0 }) {
		return [][]int{order}
	}
	var out [][]int
	for i, jobIndex := range order {
		if j := &in.Jobs[jobIndex]; i == 0 || j.effectivePriority() != in.Jobs[order[i-1]].effectivePriority() {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], jobIndex)
	}
	return out
}

// FitsAll reports whether the machines have free capacity for all of a job's tasks
// together, by first fit. Quotas and pools are not considered.
func FitsAll(machines []Machine, s *api.JobSpec) bool {
	withoutPools := *s
	withoutPools.Needs = nil
	const unlimited = api.Quantity(1) << 52
	in := &Input{
		Machines:       machines,
		Jobs:           []Job{{Spec: &withoutPools, Demand: s.Demand(), Pending: make([]int, s.Tasks)}},
		RemainingQuota: map[api.Team]api.Resources{s.Team: {CPU: unlimited, GPU: unlimited, Mem: unlimited}},
	}
	return len(placeGang(in, 0, in.remaining())) == s.Tasks
}
