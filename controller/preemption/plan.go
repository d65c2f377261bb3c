package preemption

// This file plans and executes the preemption of tasks on one machine.

import (
	"cmp"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// PlanPreemption finds the preemption of lowest cost after which up to maxTasks tasks of a job fit on a
// machine. With avoidLate no task is preempted whose job would then miss a completion objective.
func (p *Planner) PlanPreemption(m *core.Machine, owned *core.OwnedPartition, spec *api.JobSpec, maxTasks int, avoidLate bool) core.PreemptionPlan {
	demand := spec.Demand()
	candidates, available := p.candidates(m, owned, spec, avoidLate)
	plan := core.PreemptionPlan{Machine: m, Tasks: min(maxTasks, demand.Slots(available))}
	slices.SortStableFunc(candidates, func(a, b *core.Placement) int {
		return cmp.Or(cmp.Compare(p.deps.Priorities.PriorityBoost(a.Job.Spec), p.deps.Priorities.PriorityBoost(b.Job.Spec)),
			cmp.Compare(p.preemptionCost(a), p.preemptionCost(b)))
	})
	cost := 0.0
	for k, placement := range candidates {
		if plan.Tasks == maxTasks {
			break
		}
		available = available.Plus(placement.Job.Demand)
		cost += p.preemptionCost(placement)
		if slots := min(maxTasks, demand.Slots(available)); slots > plan.Tasks {
			plan.Tasks, plan.Victims, plan.Cost = slots, candidates[:k+1], cost
		}
	}
	return plan
}

// candidates returns the tasks on a machine that may be preempted for a job, and the free capacity
// there after tasks that are already being stopped have ended.
func (p *Planner) candidates(m *core.Machine, owned *core.OwnedPartition, spec *api.JobSpec, avoidLate bool) (candidates []*core.Placement, available api.Resources) {
	preemptor := p.newPreemptingJob(m, spec)
	available = p.deps.Scheduler.FreeCapacityOn(m, owned)
	for _, placement := range p.core.State.PlacementsOn(m.ID) {
		if placement.Finishing {
			continue
		}
		if placement.OwnerState.StopRequested || placement.Job.Terminal() {
			available = available.Plus(placement.Job.Demand)
			continue
		}
		if placement.Partition == owned.ID && p.isPreemptibleBy(placement, preemptor) &&
			p.deps.Health.IsPreemptible(placement) && !(avoidLate && p.missedObjective(placement) > 0) {
			candidates = append(candidates, placement)
		}
	}
	return candidates, available
}

// preemptingJob is a job for which tasks are to be preempted on a machine.
type preemptingJob struct {
	rank              int
	effectivePriority float64
	// needsAccelerators is set if the job needs the machine's accelerators.
	needsAccelerators bool
}

func (p *Planner) newPreemptingJob(m *core.Machine, spec *api.JobSpec) preemptingJob {
	return preemptingJob{
		rank:              spec.Priority.Rank(),
		effectivePriority: p.deps.Priorities.EffectivePriority(spec),
		needsAccelerators: p.core.HasAccelerators(m.MachineType) && !p.core.IsCPUOnly(spec),
	}
}

// isPreemptibleBy reports whether the priorities allow preempting a task for a job: the task has a lower
// rank, and also a lower effective priority unless it occupies accelerators that only the job needs.
// Tasks of gangs are never preempted.
func (p *Planner) isPreemptibleBy(placement *core.Placement, preemptor preemptingJob) bool {
	spec := placement.Job.Spec
	if spec.Priority.Rank() >= preemptor.rank || spec.Kind == api.Gang {
		return false
	}
	return p.deps.Priorities.EffectivePriority(spec) < preemptor.effectivePriority || preemptor.needsAccelerators && p.core.IsCPUOnly(spec)
}

// preemptionCost returns the cost of preempting a task, in CPU seconds: its run time plus the
// completion objective that its job would miss, if any.
func (p *Planner) preemptionCost(placement *core.Placement) float64 {
	return (p.secondsSincePlaced(placement)+p.missedObjective(placement))*placement.Job.Demand.CPU.Float() + 1
}

// missedObjective returns the first completion objective that a task's job can still meet, in seconds
// after acceptance, if the job would miss it by running the task again; else 0.
func (p *Planner) missedObjective(placement *core.Placement) float64 {
	spec := placement.Job.Spec
	elapsed := max(0, p.core.SecondsSinceAcceptance(placement.Job))
	rerun := spec.Estimate * core.RuntimeSafetyFactor
	remaining := max(0, spec.Estimate-p.secondsSincePlaced(placement))
	for _, objective := range p.core.CompletionObjectives(spec) {
		if elapsed+remaining > objective {
			continue
		}
		if elapsed+rerun > objective {
			return objective
		}
		return 0
	}
	return 0
}

func (p *Planner) secondsSincePlaced(placement *core.Placement) float64 {
	return p.core.Now.Sub(placement.OwnerState.PlacedAt).Seconds()
}

// ExecutePreemption stops the tasks that a plan preempts for a job.
func (p *Planner) ExecutePreemption(plan core.PreemptionPlan, id api.JobID) {
	for _, victim := range plan.Victims {
		p.core.Metrics.PreemptedTasks++
		victim.Job.OwnerState.PreemptedTasks++
		slog.Info("task preempted", "task", victim.Task, "machine", victim.Machine, "for", id)
		p.deps.Health.AdjustFloors(victim.Job.Spec, -victim.Job.Demand.CPU.Float())
		p.deps.Scheduler.StopTask(victim)
	}
}
