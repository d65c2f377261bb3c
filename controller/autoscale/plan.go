// This file plans scale-outs: it assigns pending tasks to free and incoming capacity and
// requests machines for the remaining tasks.

package autoscale

import (
	"cmp"
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// maxPlannedTasks bounds the tasks that a plan considers.
const maxPlannedTasks = 20000

// scaleOutPlan assigns pending tasks, job by job, to machines that are up, incoming or
// planned, and plans requests for more machines where these do not suffice.
type scaleOutPlan struct {
	manager        *Manager
	machines       []plannedMachine
	incoming       map[core.MachineOffer]int
	requests       map[core.MachineOffer]int
	requestOrder   []core.MachineOffer        // offers for pending jobs, the most urgent job's first
	remainingQuota map[api.Team]api.Resources // quota not used or planned
	freeUnits      map[api.PoolName]int       // pool units not used or planned
	taskBudget     int                        // tasks that may still be considered
	queuedTasks    int                        // pending tasks that wait for existing accelerators
}

// plannedMachine is a machine with the capacity that the plan leaves free on it.
type plannedMachine struct {
	offer           core.MachineOffer
	free            api.Resources
	acceleratorOnly bool // only for tasks that need its accelerators
	partition       api.PartitionID
	empty           bool // may be loaned to another partition
}

func (as *Manager) newScaleOutPlan() *scaleOutPlan {
	plan := &scaleOutPlan{
		manager:        as,
		requests:       map[core.MachineOffer]int{},
		remainingQuota: map[api.Team]api.Resources{},
		taskBudget:     maxPlannedTasks,
	}
	plan.addFreeMachines()
	plan.addIncomingMachines()
	use := as.core.TeamUsage()
	for name, team := range as.core.Teams {
		plan.remainingQuota[name] = core.QuotaLimit(team).Minus(use[name])
	}
	plan.freeUnits = as.deps.Pools.FreePoolUnits()
	return plan
}

// addFreeMachines adds the machines that are up.
func (plan *scaleOutPlan) addFreeMachines() {
	types := plan.manager.core.MachineTypes
	plan.manager.deps.Gossip.EachFreeCapacity(func(p api.PartitionID, class message.MachineClass, capacity message.FreeCapacity) {
		if !class.Usable {
			return
		}
		m := plannedMachine{
			offer:           core.MachineOffer{Type: class.Type, Zone: class.Zone, Spot: class.Spot},
			free:            capacity.Free,
			acceleratorOnly: class.Closed,
			partition:       p,
			empty:           types[class.Type] != nil && capacity.Free == types[class.Type].Capacity(),
		}
		for range capacity.Count {
			plan.machines = append(plan.machines, m)
		}
	})
}

// addIncomingMachines adds the machines that will soon be up.
func (plan *scaleOutPlan) addIncomingMachines() {
	plan.incoming = plan.manager.IncomingMachines()
	for _, offer := range slices.SortedFunc(maps.Keys(plan.incoming), compareOffers) {
		typ := plan.manager.core.MachineTypes[offer.Type]
		if typ == nil {
			continue
		}
		for range plan.incoming[offer] {
			plan.machines = append(plan.machines, plannedMachine{offer: offer, free: typ.Capacity(), empty: true})
		}
	}
}

// jobsByUrgency returns the jobs with tasks that are pending or must be replaced, the most
// urgent first: those aged above all others, then by priority, then by aging stage.
func (as *Manager) jobsByUrgency() []*core.Job {
	jobs := slices.Collect(maps.Values(as.core.State.PendingJobs))
	for id := range as.deps.Health.ReplacementDemand() {
		if j := as.core.State.Jobs[id]; j != nil && as.core.State.PendingJobs[id] == nil {
			jobs = append(jobs, j)
		}
	}
	stage := func(j *core.Job) sched.AgingStage { return as.deps.Backfiller.AgingStage(j, core.AllPartitions) }
	priority := as.deps.Priorities.EffectivePriority
	slices.SortFunc(jobs, func(a, b *core.Job) int {
		return cmp.Or(
			compareBools(stage(b) == sched.AgedAboveAll, stage(a) == sched.AgedAboveAll),
			sched.Descending(priority(a.Spec), priority(b.Spec)),
			cmp.Compare(stage(b), stage(a)),
			cmp.Compare(a.ID, b.ID))
	})
	return jobs
}

// addJob plans machines for a job's pending and replacement tasks.
func (plan *scaleOutPlan) addJob(j *core.Job) {
	if j.OwnerState.StartsDelayed(plan.manager.core.Now) || plan.manager.deps.Tenancy.StartsBlocked(j) {
		return
	}
	waiting := plan.takeStartable(j)
	waiting += plan.manager.deps.Health.ReplacementDemand()[j.ID]
	if waiting <= 0 {
		return
	}
	demand := plan.newJobDemand(j, waiting)
	if plan.meetsStartObjective(demand) {
		return
	}
	plan.assignToMachines(demand)
	plan.requestFor(demand)
}

// takeStartable counts the tasks of a job that could start if there were machines, and subtracts
// them from the quota, the pools' units and the task budget.
func (plan *scaleOutPlan) takeStartable(j *core.Job) int {
	waiting := 0
	for p := range plan.manager.core.State.Partitions {
		waiting += j.PendingTasks(api.PartitionID(p))
	}
	waiting = min(waiting, j.Demand.Slots(plan.remainingQuota[j.Spec.Team]), plan.taskBudget)
	if len(j.Spec.Needs) > 0 { // no machines for tasks that wait for pool units
		request := sched.Job{Spec: j.Spec, HoldsJobUnits: j.LiveCount() > 0}
		if waiting = request.TasksWithinUnits(plan.freeUnits, waiting); waiting > 0 {
			request.ConsumeUnits(plan.freeUnits, waiting)
		}
	}
	plan.taskBudget -= waiting
	plan.remainingQuota[j.Spec.Team] = plan.remainingQuota[j.Spec.Team].Minus(j.Demand.Times(waiting))
	return waiting
}

// meetsStartObjective reports whether a job that needs accelerators is expected to meet its
// class's start objective on existing machines, as running tasks end. It counts the job's tasks
// as queued.
func (plan *scaleOutPlan) meetsStartObjective(demand *jobDemand) bool {
	spec, shared := demand.job.Spec, plan.manager.core
	within := shared.StartObjective(spec.Class)
	if within <= 0 || demand.cpuOnly {
		return false
	}
	slots := plan.manager.totalCapacitySlots(spec)
	if slots <= 0 {
		return false
	}
	plan.queuedTasks += demand.waiting
	taskTurnaround := spec.Estimate + spec.ImageGB/shared.SlowestFetchRate(spec)
	elapsed := max(0, float64(shared.WallClock-demand.job.AcceptedAt)/1000)
	return elapsed+float64(plan.queuedTasks)/float64(slots)*taskTurnaround < within
}

// totalCapacitySlots counts the tasks of a job that the machines would hold if they were empty.
func (as *Manager) totalCapacitySlots(s *api.JobSpec) int {
	slots := 0
	for _, count := range as.deps.Capacity.TotalSlotsByPartition(s) {
		slots += count
	}
	return slots
}

// assignToMachines assigns a job's tasks to the machines of the plan.
func (plan *scaleOutPlan) assignToMachines(demand *jobDemand) {
	for i := range plan.machines {
		if demand.waiting == 0 {
			return
		}
		if m := &plan.machines[i]; demand.mayUse(m) {
			count := demand.assign(m.offer.Zone, m.free)
			m.free = m.free.Minus(demand.job.Demand.Times(count))
			m.empty = m.empty && count == 0
		}
	}
}

// requestFor plans requests of machines for the tasks that are not assigned yet.
func (plan *scaleOutPlan) requestFor(demand *jobDemand) {
	for demand.waiting > 0 {
		offer, ok := plan.offerFor(demand)
		if !ok {
			return
		}
		if plan.requests[offer]++; plan.requests[offer] == 1 {
			plan.requestOrder = append(plan.requestOrder, offer)
		}
		if demand.job.Spec.OneZone {
			demand.zone = offer.Zone
		}
		capacity := plan.manager.core.MachineTypes[offer.Type].Capacity()
		count := demand.assign(offer.Zone, capacity)
		free := capacity.Minus(demand.job.Demand.Times(count))
		plan.machines = append(plan.machines, plannedMachine{offer: offer, free: free, partition: demand.partition})
	}
}

// offerFor returns the cheapest offer for a job. If the job's only zone has none, the whole job
// is planned in another zone.
func (plan *scaleOutPlan) offerFor(demand *jobDemand) (core.MachineOffer, bool) {
	offer, ok := plan.cheapestOffer(demand.job.Spec, demand.zoneOpen)
	if ok || demand.zone == "" {
		return offer, ok
	}
	demand.zone, demand.waiting = "", demand.total
	if offer, ok = plan.cheapestOffer(demand.job.Spec, demand.zoneOpen); ok {
		demand.zone = offer.Zone
	}
	return offer, ok
}
