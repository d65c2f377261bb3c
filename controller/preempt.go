package controller

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// Preemptor decides which tasks are preempted for which job.
type Preemptor struct {
	core *core.Core
	c    *Controller
}

// maxPreemptions bounds the jobs of a round for which others are made to give way.
const maxPreemptions = 8

// RunsLowerPriority reports whether a part runs anything that could give way.
func (pr *Preemptor) RunsLowerPriority(p api.PartitionID, rank int) bool {
	for _, count := range pr.core.State.Partitions[p].CountByRank[:rank] {
		if count > 0 {
			return true
		}
	}
	return false
}

// reservationTTL is how long a machine is kept for a job for which others made way:
// time enough for a stop to be heard, its evidence to be recorded, and a machine
// of another part to be lent.
const reservationTTL = 15 * time.Second

// ReservedFor is the job that a machine is kept for, if any.
func (pr *Preemptor) ReservedFor(m *core.Machine) api.JobID {
	if m.ReservedFor == "" || pr.core.Now >= m.ReservedUntil {
		return ""
	}
	if j := pr.core.State.Jobs[m.ReservedFor]; j == nil || j.Terminal() || j.CompletedCount+len(j.Placements)-j.FinishingCount >= j.Spec.Tasks {
		m.ReservedFor = ""
	}
	return m.ReservedFor
}

// ReserveExclusively keeps a machine for a job for which others made way, or it was lent.
func (pr *Preemptor) ReserveExclusively(m *core.Machine, ref api.JobID) {
	m.ReservedFor, m.SoftReservation, m.ReservedUntil, m.Consolidated = ref, false, pr.core.Now.Add(reservationTTL), false
}

// PlanPreemption finds how up to most of a job's tasks could come to fit on a machine. With
// sparing nothing makes way whose job would be late for it.
func (pr *Preemptor) PlanPreemption(m *core.Machine, owned *core.OwnedPartition, s *api.JobSpec, maxTasks int, avoidLate bool) core.PreemptionPlan {
	rank, effective, demand := s.Priority.Rank(), pr.c.priorities.EffectivePriority(s), s.Demand() // what a rule puts before it does not make way
	available := pr.c.scheduler.FreeCapacityOn(m, owned)
	needsAccelerator := pr.core.HasAccelerators(m.MachineType) && !pr.core.IsCPUOnly(s) // its accelerators, which other work could leave
	var candidates []*core.Placement
	for _, p := range pr.core.State.PlacementsOn(m.ID) {
		if p.Finishing {
			continue
		}
		if p.OwnerState.StopRequested || p.Job.Terminal() {
			available = available.Plus(p.Job.Demand)
		} else if p.Job.Spec.Priority.Rank() < rank && p.Partition == owned.ID && p.Job.Spec.Kind != api.Gang && (pr.c.priorities.EffectivePriority(p.Job.Spec) < effective || needsAccelerator && pr.core.IsCPUOnly(p.Job.Spec)) &&
			pr.c.health.IsPreemptible(p) && !(avoidLate && pr.missedObjective(p) > 0) {
			candidates = append(candidates, p)
		}
	}
	plan := core.PreemptionPlan{Machine: m, Tasks: min(maxTasks, demand.Slots(available))}
	slices.SortStableFunc(candidates, func(a, b *core.Placement) int {
		return cmp.Or(cmp.Compare(pr.c.priorities.PriorityBoost(a.Job.Spec), pr.c.priorities.PriorityBoost(b.Job.Spec)), cmp.Compare(pr.preemptionCost(a), pr.preemptionCost(b)))
	})
	cost := 0.0
	for k, p := range candidates {
		if plan.Tasks == maxTasks {
			break
		}
		available = available.Plus(p.Job.Demand)
		cost += pr.preemptionCost(p)
		if slots := min(maxTasks, demand.Slots(available)); slots > plan.Tasks {
			plan.Tasks, plan.Victims, plan.Cost = slots, candidates[:k+1], cost
		}
	}
	return plan
}

// preemptionCost is what stopping a task would lose, in seconds of its CPUs: what it has run
// and, when its job would be late by it, as much as the whole job's limit.
func (pr *Preemptor) preemptionCost(p *core.Placement) float64 {
	return (pr.core.Now.Sub(p.OwnerState.PlacedAt).Seconds()+pr.missedObjective(p))*p.Job.Demand.CPU.Float() + 1
}

// missedObjective is the limit that a task's job could keep but would not if the task had to
// run again, or 0.
func (pr *Preemptor) missedObjective(p *core.Placement) float64 {
	elapsed := max(0, float64(pr.core.WallClock-p.Job.AcceptedAt)/1000)
	run := p.Job.Spec.Estimate * runtimeSafetyFactor
	for _, l := range pr.core.CompletionObjectives(p.Job.Spec) {
		if rest := max(0, p.Job.Spec.Estimate-pr.core.Now.Sub(p.OwnerState.PlacedAt).Seconds()); elapsed+rest <= l {
			if elapsed+run > l {
				return l
			}
			break
		}
	}
	return 0
}

// PreemptFor makes room for a job of higher priority by stopping lower work, where
// that costs least: a machine for each task that waits or, for a gang, as many as
// all of it needs, in one zone if its tasks must be together. The room is kept for
// the job, or the work that made way would win it back before the rest is free.
// With quick above 0 only machines count where the task would start within so many
// seconds. It returns how many machines were chosen.
func (pr *Preemptor) PreemptFor(owned *core.OwnedPartition, request *sched.Job, j *core.Job, need int, maxFetch float64) int {
	gang, tasksPerMachine := j.Spec.Kind == api.Gang, 1
	if gang {
		tasksPerMachine = need
	}
	within := pr.core.StartObjective(j.Spec.Class)
	byZone := map[api.Zone][]core.PreemptionPlan{}
	for _, m := range pr.c.agents.MachinesOf(owned.ID) {
		if reservedJob := pr.ReservedFor(m); reservedJob != "" && reservedJob != j.ID || !pr.c.scheduler.IsSchedulable(m, owned) || request.ExcludedMachines[m.ID] ||
			!pr.core.IsEligible(j.Spec, request.AcceleratorOptional, m.MachineType, m.Zone, m.Spot) || !sched.ZoneFeasible(j.Spec, request.PlacedByZone, m.Zone) {
			continue
		}
		fetch := fetchSlowdownFactor * (&sched.Machine{CachedImages: m.CachedImages, FetchRate: pr.core.MachineTypes[m.MachineType].FetchRate, FetchingImages: pr.c.scheduler.PendingImageFetches(m)}).FetchTime(j.Spec)
		if maxFetch > 0 && fetch > maxFetch {
			continue
		}
		plan := pr.PlanPreemption(m, owned, j.Spec, tasksPerMachine, maxFetch > 0)
		if plan.Tasks == 0 || !gang && len(plan.Victims) == 0 && len(pr.core.Settings.Priority) > 0 {
			continue // what comes free by itself is for who goes first by the rules
		}
		if within > 0 {
			// A fetch that takes the time in which the task should start weighs
			// like a minute of work lost.
			plan.Cost += 60 * j.Demand.CPU.Float() * min(1, fetch/within)
		}
		zone := m.Zone
		if !j.Spec.OneZone && !j.Spec.Spread {
			zone = ""
		}
		byZone[zone] = append(byZone[zone], plan)
	}
	byCost := func(a, b core.PreemptionPlan) int {
		return cmp.Compare(a.Cost/float64(a.Tasks), b.Cost/float64(b.Tasks))
	}
	var best []core.PreemptionPlan
	bestCost := 0.0
	var plans []core.PreemptionPlan
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		zonePlans := byZone[z]
		slices.SortStableFunc(zonePlans, byCost)
		if !gang {
			if j.Spec.Spread {
				zonePlans = zonePlans[:min(len(zonePlans), (j.Spec.Tasks+1)/2-request.PlacedByZone[z])]
			}
			plans = append(plans, zonePlans...)
			continue
		}
		got, cost := 0, 0.0
		for k, plan := range zonePlans {
			got, cost = got+plan.Tasks, cost+plan.Cost
			if got >= need {
				if best == nil || cost < bestCost {
					best, bestCost = zonePlans[:k+1], cost
				}
				break
			}
		}
	}
	if !gang {
		slices.SortStableFunc(plans, byCost)
		best = plans[:min(len(plans), need)]
	}
	for _, plan := range best {
		pr.ReserveExclusively(plan.Machine, j.ID)
		pr.ExecutePreemption(plan, j.ID)
	}
	return len(best)
}

// fetchSlowdownFactor is how many times longer than usual a fetch may take: rates differ by a third.
const fetchSlowdownFactor = 4.0 / 3

// preemptionFetchRatio is how many times longer than after making way an image must take to
// fetch where there is room, for others to make way although it is late either way.
const preemptionFetchRatio = 3.0

// lostReplicaFetchRatio is the same for replicas that were lost: they are missed while they fetch.
const lostReplicaFetchRatio = 1.5

// StartDelay is for how long a job's tasks have been due to start, in seconds: since it
// was accepted, or since a service lost replicas, which should be back as soon.
func (pr *Preemptor) StartDelay(j *core.Job) float64 {
	since := max(0, float64(pr.core.WallClock-j.AcceptedAt)/1000)
	if j.Spec.Kind == api.Service && j.OwnerState.LastLossAt != 0 {
		since = min(since, pr.core.Now.Sub(j.OwnerState.LastLossAt).Seconds())
	}
	return since
}

// preemptionDelay is how long it takes to stop a task and to start another in its
// place: a call, a round that records the end and the start, another call.
const preemptionDelay = 500 * time.Millisecond

// PreemptForFastStart has lower work make way, once for a job and for each loss of a service's
// replicas, on machines that hold its image, when its tasks would else start too late
// for its class's aim for having to fetch it. What has no quick place meanwhile waits
// for that.
func (pr *Preemptor) PreemptForFastStart(owned *core.OwnedPartition, input *sched.Input, request *sched.Job, j *core.Job) {
	slack := request.StartSLO - pr.StartDelay(j) - preemptionDelay.Seconds()
	rank := j.Spec.Priority.Rank()
	if request.StartSLO <= 0 || slack <= 0 || j.OwnerState.PreemptedForStart || rank < preemptorRank || !pr.RunsLowerPriority(owned.ID, rank) {
		return
	}
	byZone := map[api.Zone]int{}
	fastSlots := 0
	var slowFetches []float64 // how long images take to fetch where there is room that is not quick
	for i := range input.Machines {
		m := &input.Machines[i]
		if !m.Eligible(request) || !sched.ZoneFeasible(j.Spec, request.PlacedByZone, m.Zone) {
			continue
		}
		slots := 1
		if j.Spec.Kind == api.Gang {
			slots = j.Demand.Slots(m.Free)
		} else if !j.Demand.Fits(m.Free) {
			continue
		}
		if fetch := fetchSlowdownFactor * m.FetchTime(j.Spec); fetch > slack {
			slowFetches = append(slowFetches, fetch)
			continue
		}
		byZone[m.Zone] += slots
		fastSlots += slots
	}
	if j.Spec.OneZone {
		fastSlots = byZone[core.LargestZone(byZone)]
	} else if j.Spec.Spread {
		fastSlots = 0
		for z, c := range byZone {
			fastSlots += min(c, (j.Spec.Tasks+1)/2-request.PlacedByZone[z])
		}
	}
	need := len(request.Pending) - fastSlots
	if need <= 0 {
		return
	}
	j.OwnerState.PreemptedForStart = true
	maxFetch := slack
	if j.Spec.Kind == api.Gang {
		need, fastSlots = len(request.Pending), 0
	} else if len(slowFetches) > 0 {
		slices.Sort(slowFetches)
		fetchRatio := preemptionFetchRatio
		if j.OwnerState.LastLossAt != 0 && j.Spec.Kind == api.Service {
			fetchRatio = lostReplicaFetchRatio
		}
		maxFetch = max(maxFetch, slowFetches[min(need, len(slowFetches))-1]/fetchRatio)
	}
	if pr.PreemptFor(owned, request, j, need, maxFetch) > 0 {
		request.Pending = request.Pending[:fastSlots]
		j.OwnerState.BackoffUntil = pr.core.Now.Add(preemptionDelay)
		owned.Dirty = true
	}
}

// ExecutePreemption stops what must make way.
func (pr *Preemptor) ExecutePreemption(plan core.PreemptionPlan, jobID api.JobID) {
	for _, p := range plan.Victims {
		pr.core.Metrics.PreemptedTasks++
		p.Job.OwnerState.PreemptedTasks++
		slog.Info("task preempted", "task", p.Task, "machine", p.Machine, "for", jobID)
		pr.c.health.AdjustFloors(p.Job.Spec, -p.Job.Demand.CPU.Float())
		pr.c.scheduler.StopTask(p)
	}
}
