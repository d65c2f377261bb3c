package preemption

// This file chooses the machines on which tasks are preempted for a job.

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

const (
	// fetchSlowdownFactor is the ratio of the longest to the usual time of an image fetch.
	fetchSlowdownFactor = 4.0 / 3
	// lateFetchCostSeconds is the cost of an image fetch as long as the start objective, in seconds
	// of the task's CPUs.
	lateFetchCostSeconds = 60
)

// PreemptFor preempts tasks at the lowest cost to free capacity for need tasks of a job: one machine
// per task or, for a gang, machines for all tasks, in one zone if these must be together. It reserves
// the machines for the job, so that preempted tasks do not start there again. With maxFetch above 0
// only machines count that fetch the job's image within maxFetch seconds. It returns the number of
// chosen machines.
func (p *Planner) PreemptFor(owned *core.OwnedPartition, request *sched.Job, j *core.Job, need int, maxFetch float64) int {
	byZone := p.plansByZone(owned, request, j, need, maxFetch)
	var chosen []core.PreemptionPlan
	if j.Spec.Kind == api.Gang {
		chosen = cheapestZone(byZone, need)
	} else {
		chosen = cheapestMachines(byZone, request, need)
	}
	for _, plan := range chosen {
		p.ReserveExclusively(plan.Machine, j.ID)
		p.ExecutePreemption(plan, j.ID)
	}
	return len(chosen)
}

// plansByZone plans a preemption for each machine that a job's tasks could run on, by zone. For a job
// without zone constraints all plans are under the zone "".
func (p *Planner) plansByZone(owned *core.OwnedPartition, request *sched.Job, j *core.Job, need int, maxFetch float64) map[api.Zone][]core.PreemptionPlan {
	isGang, tasksPerMachine := j.Spec.Kind == api.Gang, 1
	if isGang {
		tasksPerMachine = need
	}
	startObjective := p.core.StartObjective(j.Spec.Class)
	byZone := map[api.Zone][]core.PreemptionPlan{}
	for _, m := range p.deps.Agents.MachinesOf(owned.ID) {
		if !p.isUsable(m, owned, request, j) {
			continue
		}
		fetch := p.fetchSeconds(m, j)
		if maxFetch > 0 && fetch > maxFetch {
			continue
		}
		plan := p.PlanPreemption(m, owned, j.Spec, tasksPerMachine, maxFetch > 0)
		if plan.Tasks == 0 || !isGang && len(plan.Victims) == 0 && len(p.core.Settings.Priority) > 0 {
			continue // without preemption, the rules decide which job gets the freed capacity
		}
		if startObjective > 0 {
			plan.Cost += lateFetchCostSeconds * j.Demand.CPU.Float() * min(1, fetch/startObjective)
		}
		zone := m.Zone
		if !j.Spec.OneZone && !j.Spec.Spread {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], plan)
	}
	return byZone
}

// isUsable reports whether a job's tasks could run on a machine if it had free capacity.
func (p *Planner) isUsable(m *core.Machine, owned *core.OwnedPartition, request *sched.Job, j *core.Job) bool {
	if reservedJob := p.ReservedFor(m); reservedJob != "" && reservedJob != j.ID {
		return false
	}
	return p.deps.Scheduler.IsSchedulable(m, owned) && !request.ExcludedMachines[m.ID] &&
		p.core.IsEligible(j.Spec, request.AcceleratorOptional, m.MachineType, m.Zone, m.Spot) &&
		sched.ZoneFeasible(j.Spec, request.PlacedByZone, m.Zone)
}

// fetchSeconds returns the longest expected time in which a machine fetches a job's image.
func (p *Planner) fetchSeconds(m *core.Machine, j *core.Job) float64 {
	machine := &sched.Machine{
		CachedImages:   m.CachedImages,
		FetchRate:      p.core.MachineTypes[m.MachineType].FetchRate,
		FetchingImages: p.deps.Scheduler.PendingImageFetches(m),
	}
	return fetchSlowdownFactor * machine.FetchTime(j.Spec)
}

// compareCost orders plans by their cost per task that they free capacity for.
func compareCost(a, b core.PreemptionPlan) int {
	return cmp.Compare(a.Cost/float64(a.Tasks), b.Cost/float64(b.Tasks))
}

// cheapestZone chooses the plans that free capacity for a whole gang in one zone at the lowest cost, or
// none if no zone suffices.
func cheapestZone(byZone map[api.Zone][]core.PreemptionPlan, need int) []core.PreemptionPlan {
	var best []core.PreemptionPlan
	bestCost := 0.0
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		plans := byZone[zone]
		slices.SortStableFunc(plans, compareCost)
		tasks, cost := 0, 0.0
		for k, plan := range plans {
			tasks, cost = tasks+plan.Tasks, cost+plan.Cost
			if tasks < need {
				continue
			}
			if best == nil || cost < bestCost {
				best, bestCost = plans[:k+1], cost
			}
			break
		}
	}
	return best
}

// cheapestMachines chooses up to need plans of the lowest cost; for a job whose tasks are spread, at
// most spreadLimit in each zone.
func cheapestMachines(byZone map[api.Zone][]core.PreemptionPlan, request *sched.Job, need int) []core.PreemptionPlan {
	var plans []core.PreemptionPlan
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		zonePlans := byZone[zone]
		slices.SortStableFunc(zonePlans, compareCost)
		if request.Spec.Spread {
			zonePlans = zonePlans[:min(len(zonePlans), spreadLimit(request, zone))]
		}
		plans = append(plans, zonePlans...)
	}
	slices.SortStableFunc(plans, compareCost)
	return plans[:min(len(plans), need)]
}

// spreadLimit returns the number of further tasks that a spread job may have in a zone, which holds at
// most half of its tasks, rounded up.
func spreadLimit(request *sched.Job, zone api.Zone) int {
	return (request.Spec.Tasks+1)/2 - request.PlacedByZone[zone]
}
