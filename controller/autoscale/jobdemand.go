// A job's demand: how many of its tasks need machines, and which machines suit them.

package autoscale

import (
	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// jobDemand is what a job still wants in a scale-out plan.
type jobDemand struct {
	job     *core.Job
	total   int // tasks that wanted machines to begin with
	waiting int // tasks that still want one
	cpuOnly bool

	// A job whose tasks stay together does not leave its partition once some have started.
	bound     bool
	partition api.PartitionID

	zone         api.Zone         // the only zone for it, empty: any
	placedByZone map[api.Zone]int // of a job that is spread: its tasks, with those assigned
}

// newJobDemand describes what a job wants, given the machines of the plan.
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
		demand.zone = plan.roomiestZone(j)
	}
	if j.Spec.Spread {
		demand.placedByZone, _ = plan.manager.siblings.Scheduler.TaskZones(j)
	}
	return demand
}

// roomiestZone is the zone with the most free capacity for a job that must be in one: the
// machines that it lacks are requested there. It is empty if there is none anywhere.
func (plan *scaleOutPlan) roomiestZone(j *core.Job) api.Zone {
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

// zoneLimit is how many more tasks may go to a zone: of a job that is spread a zone takes
// no more than half.
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

// mayUse reports whether tasks may go to a machine. Those of a bound job stay in their
// partition, to which only an empty machine can be loaned.
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

// assign assigns as many tasks as possible to a machine in a zone and returns how many.
func (demand *jobDemand) assign(zone api.Zone, free api.Resources) int {
	count := min(demand.zoneLimit(zone), demand.job.Demand.Slots(free))
	demand.waiting -= count
	demand.placedByZone[zone] += count
	return count
}
