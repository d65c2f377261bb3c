// Input of evacuation plans.

package health

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/zonehealth"
)

// maxPendingInPlan is the maximum number of pending tasks in a plan's input.
const maxPendingInPlan = 1000

// lateSlackDivisor gives jobs that have missed all deadlines less slack than jobs without a deadline.
const lateSlackDivisor = 10

// inputBuilder builds the input of the evacuation plan of one partition.
type inputBuilder struct {
	mon         *Monitor
	owned       *core.OwnedPartition
	lost        map[api.MachineID]*core.Machine
	unreachable map[api.JobID]int // tasks on the lost machines
	teamUsage   map[api.Team]api.Resources
	input       *zonehealth.Input
}

// evacuationInput returns the input of the plan that evacuates a partition's lost machines.
func (mon *Monitor) evacuationInput(owned *core.OwnedPartition, lost map[api.MachineID]*core.Machine, maxMachines int) *zonehealth.Input {
	b := &inputBuilder{
		mon:         mon,
		owned:       owned,
		lost:        lost,
		unreachable: mon.tasksOn(lost),
		teamUsage:   mon.core.TeamUsage(),
		input: &zonehealth.Input{
			PlacedByZone:   map[api.JobID]map[api.Zone]int{},
			RemainingQuota: mon.core.RemainingQuota(owned.ID),
			PreemptingRank: core.MinPreemptorRank,
			ExpectedOutage: mon.expectedOutage,
			MaxMachines:    maxMachines,
			Excluded:       mon.isExcluded,
		},
	}
	for _, m := range mon.deps.Agents.MachinesOf(owned.ID) {
		b.addMachine(m)
	}
	b.addOtherPartitions()
	b.addPendingTasks()
	return b.input
}

// tasksOn counts the tasks on the given machines by job.
func (mon *Monitor) tasksOn(machines map[api.MachineID]*core.Machine) map[api.JobID]int {
	counts := map[api.JobID]int{}
	for id := range machines {
		for _, p := range mon.core.State.PlacementsOn(id) {
			if !p.Finishing {
				counts[p.Job.ID]++
			}
		}
	}
	return counts
}

// expectedOutage returns the expected remaining outage of a zone in seconds.
func (mon *Monitor) expectedOutage(name api.Zone) float64 {
	return mon.records[name].ExpectedRemaining(mon.OutageSeconds(name))
}

// isExcluded reports whether a task must not use capacity that its job's constraints allow: CPU-only
// services avoid machines with accelerators, and jobs that need a single partition avoid other
// partitions.
func (mon *Monitor) isExcluded(task *zonehealth.Task, free *zonehealth.FreeCapacity) bool {
	if task.Spec.Kind == api.Service && mon.core.HasAccelerators(free.Type) && mon.core.IsCPUOnly(task.Spec) {
		return true
	}
	return free.OtherPartition && task.Spec.NeedsSinglePartition()
}

// addMachine adds a machine of the partition: a lost machine with its tasks, the tasks of a machine that
// is being deleted, or the free capacity of a schedulable machine.
func (b *inputBuilder) addMachine(m *core.Machine) {
	mon := b.mon
	switch {
	case b.lost[m.ID] != nil:
		b.input.Machines = append(b.input.Machines, b.lostMachine(m))
	case m.Deleting:
		for _, p := range mon.core.State.PlacementsOn(m.ID) {
			if !p.Finishing && !p.Job.Terminal() {
				b.input.PendingTasks = append(b.input.PendingTasks, b.task(p.Job, p.Task.Index, 0))
			}
		}
	case mon.deps.Scheduler.IsSchedulable(m, b.owned) && mon.deps.Preemptor.ReservedFor(m) == "":
		b.input.FreeCapacity = append(b.input.FreeCapacity, zonehealth.FreeCapacity{
			Type:                m.MachineType,
			Zone:                m.Zone,
			Spot:                m.Spot,
			Free:                mon.deps.Scheduler.FreeCapacityOn(m, b.owned),
			FreeAfterPreemption: mon.deps.Gossiper.PreemptibleCapacity(m, b.owned),
			Count:               1,
			HasImage: func(img api.Image) bool {
				_, cached := m.CachedImages[img]
				return cached
			},
		})
	}
}

// lostMachine returns the description of a lost machine and its tasks.
func (b *inputBuilder) lostMachine(m *core.Machine) zonehealth.Machine {
	mon := b.mon
	typ := mon.core.MachineTypes[m.MachineType]
	machine := zonehealth.Machine{
		ID:                 m.ID,
		Zone:               m.Zone,
		Capacity:           typ.Capacity(),
		BootSeconds:        typ.BootSeconds,
		ControllerIsolated: slices.Contains(mon.records[m.Zone].IsolatedPartitions, b.owned.ID),
	}
	for _, p := range mon.core.State.PlacementsOn(m.ID) {
		if !p.Finishing && !p.Job.Terminal() && p.Partition == b.owned.ID {
			machine.Tasks = append(machine.Tasks, b.task(p.Job, p.Task.Index, p.OwnerState.RunningSince))
		}
	}
	return machine
}

// addOtherPartitions adds the free capacity of other partitions, since pending tasks of job arrays can
// move there and empty machines can be lent. All partitions use this capacity, so each counts only its
// share of it.
func (b *inputBuilder) addOtherPartitions() {
	partitions := len(b.mon.core.State.Partitions)
	b.mon.deps.Gossiper.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, free message.FreeCapacity) {
		typ := b.mon.core.MachineTypes[class.Type]
		if p == b.owned.ID || !class.Usable || class.Closed || typ == nil {
			return
		}
		empty := free.Free == typ.Capacity()
		b.input.FreeCapacity = append(b.input.FreeCapacity, zonehealth.FreeCapacity{
			Type:                class.Type,
			Zone:                class.Zone,
			Spot:                class.Spot,
			Free:                free.Free,
			FreeAfterPreemption: free.Free,
			Count:               (free.Count + partitions - 1) / partitions,
			OtherPartition:      !empty,
		})
	})
}

// addPendingTasks adds up to maxPendingInPlan of the partition's pending tasks. Their indexes are
// negative, since the tasks have no numbers yet.
func (b *inputBuilder) addPendingTasks() {
	budget := maxPendingInPlan
	for _, id := range slices.Sorted(maps.Keys(b.mon.core.State.PendingJobs)) {
		j := b.mon.core.State.PendingJobs[id]
		if b.mon.deps.Tenancy.StartsBlocked(j) {
			continue
		}
		for i := range min(j.PendingTasks(b.owned.ID), budget) {
			b.input.PendingTasks = append(b.input.PendingTasks, b.task(j, -1-i, 0))
			budget--
		}
	}
}

// task returns the description of a task; runningSince is 0 if the task is not running.
func (b *inputBuilder) task(j *core.Job, index int, runningSince api.Time) zonehealth.Task {
	mon := b.mon
	task := zonehealth.Task{
		ID:               api.TaskID{Job: j.ID, Index: index},
		Spec:             j.Spec,
		Demand:           j.Demand,
		WithinGuarantee:  mon.core.IsWithinGuarantee(j, b.teamUsage),
		RunningElsewhere: len(j.Placements) - j.FinishingCount - b.unreachable[j.ID],
		SlackSeconds:     mon.deadlineSlack(j),
		PriorityBoost:    mon.deps.Priorities.PriorityBoost(j.Spec),
	}
	if runningSince != 0 && j.Spec.Kind != api.Service {
		task.LostWorkSeconds = mon.core.Now.Sub(runningSince).Seconds()
		if j.Spec.Checkpoint > 0 {
			task.LostWorkSeconds = min(task.LostWorkSeconds, j.Spec.Checkpoint)
		}
	}
	b.countPlacedByZone(j)
	return task
}

// countPlacedByZone counts, on the first call for a job, its tasks outside the lost machines by zone.
func (b *inputBuilder) countPlacedByZone(j *core.Job) {
	if b.input.PlacedByZone[j.ID] != nil {
		return
	}
	placed := map[api.Zone]int{}
	b.input.PlacedByZone[j.ID] = placed
	for _, p := range j.Placements {
		zone := b.mon.deps.Scheduler.MachineZone(p.Machine)
		if zone != "" && !p.Finishing && b.lost[p.Machine] == nil {
			placed[zone]++
		}
	}
}

// deadlineSlack returns the number of seconds that a job may still wait and meet its completion
// objective.
func (mon *Monitor) deadlineSlack(j *core.Job) float64 {
	elapsed := max(0, float64(mon.core.WallClock-j.AcceptedAt)/1000)
	limits := mon.core.CompletionObjectives(j.Spec)
	for _, limit := range limits {
		if remaining := limit - elapsed - j.Spec.Estimate; remaining >= 0 {
			return remaining
		}
	}
	if len(limits) > 0 {
		return zonehealth.NoDeadline / lateSlackDivisor // all objectives are missed already
	}
	return zonehealth.NoDeadline
}
