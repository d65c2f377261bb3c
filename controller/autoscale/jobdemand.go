// This file holds a job's demand for machines in a scale-out plan.

package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// jobDemand is the demand of a job that a scale-out plan has not assigned to machines yet.
type jobDemand struct {
	job     *core.Job
	total   int // tasks that need machines
	waiting int // tasks that are not assigned to a machine yet
	cpuOnly bool

	// A job whose tasks must be in one partition is bound to it once some have started.
	bound     bool
	partition api.PartitionID

	zone         api.Zone         // the only zone for the job; empty: any
	placedByZone map[api.Zone]int // for a spread job: its placed and assigned tasks
}

// newJobDemand returns the demand of a job, given the machines of the plan.
func (plan *scaleOutPlan) newJobDemand(j *core.Job, waiting int) *jobDemand {
	demand := &jobDemand{
		job:          j,
		total:        waiting,
		waiting:      waiting,
		cpuOnly:      plan.manager.core.IsCPUOnly(j.Spec),
		bound:        j.Spec.NeedsSinglePartition() && len(j.Placements) > 0,
		partition:    j.Split[0].Partition,
		placedByZone: map[api.Zone]int{},
	}
	if j.Spec.OneZone {
		demand.zone = plan.zoneWithMostCapacity(j)
	}
	if j.Spec.Spread {
		demand.placedByZone, _ = plan.manager.deps.Scheduler.TaskZones(j)
	}
	return demand
}

// zoneWithMostCapacity returns the zone with the most free capacity for a job that must be in
// one zone, or "" if no zone has any. The missing machines are requested there.
func (plan *scaleOutPlan) zoneWithMostCapacity(j *core.Job) api.Zone {
	freeSlots := map[api.Zone]int{}
	for _, m := range plan.machines {
		if sched.Feasible(j.Spec, m.offer.Type, m.offer.Zone, m.offer.Spot) {
			freeSlots[m.offer.Zone] += j.Demand.Slots(m.free)
		}
	}
	zone := core.LargestZone(freeSlots)
	if freeSlots[zone] == 0 {
		return ""
	}
	return zone
}

// zoneLimit returns the number of further tasks that may go to a zone. A spread job may have
// at most half of its tasks in one zone.
func (demand *jobDemand) zoneLimit(zone api.Zone) int {
	if !demand.job.Spec.Spread {
		return demand.waiting
	}
	return min(demand.waiting, (demand.job.Spec.Tasks+1)/2-demand.placedByZone[zone])
}

// zoneOpen reports whether tasks may go to a zone.
func (demand *jobDemand) zoneOpen(zone api.Zone) bool {
	return (demand.zone == "" || zone == demand.zone) && demand.zoneLimit(zone) > 0
}

// mayUse reports whether tasks may go to a machine. A bound job can use machines of other
// partitions only if they are empty and can be loaned.
func (demand *jobDemand) mayUse(m *plannedMachine) bool {
	if demand.bound && !m.empty && m.partition != demand.partition {
		return false
	}
	if demand.cpuOnly && m.acceleratorOnly {
		return false
	}
	return demand.zoneOpen(m.offer.Zone) &&
		sched.Feasible(demand.job.Spec, m.offer.Type, m.offer.Zone, m.offer.Spot)
}

// assign assigns as many tasks as possible to a machine and returns their number.
func (demand *jobDemand) assign(zone api.Zone, free api.Resources) int {
	count := min(demand.zoneLimit(zone), demand.job.Demand.Slots(free))
	demand.waiting -= count
	demand.placedByZone[zone] += count
	return count
}
