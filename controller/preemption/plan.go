package preemption

// This file plans and executes the preemption of tasks on one machine.

import (
	"cmp"
	"log/slog"
	"slices"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// PlanPreemption finds how up to maxTasks of a job's tasks could come to fit on a machine, at the
// least cost. With avoidLate no task is preempted whose job would miss an objective for it.
func (p *Planner) PlanPreemption(m *core.Machine, owned *core.OwnedPartition, spec *api.JobSpec, maxTasks int, avoidLate bool) core.PreemptionPlan {
	demand := spec.Demand()
	candidates, available := p.candidates(m, owned, spec, avoidLate)
	plan := core.PreemptionPlan{Machine: m, Tasks: min(maxTasks, demand.Slots(available))}
	slices.SortStableFunc(candidates, func(a, b *core.Placement) int {
		return cmp.Or(cmp.Compare(p.siblings.Priorities.PriorityBoost(a.Job.Spec), p.siblings.Priorities.PriorityBoost(b.Job.Spec)),
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

// candidates lists the tasks on a machine that may be preempted for a job, and what is free there
// once those have ended that are to stop anyway.
func (p *Planner) candidates(m *core.Machine, owned *core.OwnedPartition, spec *api.JobSpec, avoidLate bool) (candidates []*core.Placement, available api.Resources) {
	preemptor := p.newPreemptingJob(m, spec)
	available = p.siblings.Scheduler.FreeCapacityOn(m, owned)
	for _, placement := range p.core.State.PlacementsOn(m.ID) {
		if placement.Finishing {
			continue
		}
		if placement.OwnerState.StopRequested || placement.Job.Terminal() {
			available = available.Plus(placement.Job.Demand)
			continue
		}
		if placement.Partition == owned.ID && p.yieldsTo(placement, preemptor) &&
			p.siblings.Health.IsPreemptible(placement) && !(avoidLate && p.missedObjective(placement) > 0) {
			candidates = append(candidates, placement)
		}
	}
	return candidates, available
}

// preemptingJob is a job for which tasks are to be preempted on a machine.
type preemptingJob struct {
	rank              int
	effectivePriority float64
	// needsAccelerators is set if the job needs the machine's accelerators, which work that does
	// not need them could leave.
	needsAccelerators bool
}

func (p *Planner) newPreemptingJob(m *core.Machine, spec *api.JobSpec) preemptingJob {
	return preemptingJob{
		rank:              spec.Priority.Rank(),
		effectivePriority: p.siblings.Priorities.EffectivePriority(spec),
		needsAccelerators: p.core.HasAccelerators(m.MachineType) && !p.core.IsCPUOnly(spec),
	}
}

// yieldsTo reports whether a task may be preempted for a job by their priorities: it has a lower
// rank, and no rule puts it before the job unless it occupies accelerators that only the job
// needs. Tasks of gangs are never preempted.
func (p *Planner) yieldsTo(placement *core.Placement, preemptor preemptingJob) bool {
	spec := placement.Job.Spec
	if spec.Priority.Rank() >= preemptor.rank || spec.Kind == api.Gang {
		return false
	}
	return p.siblings.Priorities.EffectivePriority(spec) < preemptor.effectivePriority || preemptor.needsAccelerators && p.core.IsCPUOnly(spec)
}

// preemptionCost is what stopping a task would lose, in CPU seconds: what it has run and, when
// its job would be late by it, as much as the objective that it would miss.
func (p *Planner) preemptionCost(placement *core.Placement) float64 {
	return (p.secondsSincePlaced(placement)+p.missedObjective(placement))*placement.Job.Demand.CPU.Float() + 1
}

// missedObjective is the completion objective, in seconds after its acceptance, that a task's job
// could meet but would not if the task had to run again, or 0.
func (p *Planner) missedObjective(placement *core.Placement) float64 {
	spec := placement.Job.Spec
	elapsed := max(0, p.core.SecondsSinceAcceptance(placement.Job))
	run := spec.Estimate * core.RuntimeSafetyFactor
	rest := max(0, spec.Estimate-p.secondsSincePlaced(placement))
	for _, objective := range p.core.CompletionObjectives(spec) {
		if elapsed+rest > objective {
			continue
		}
		if elapsed+run > objective {
			return objective
		}
		return 0
	}
	return 0
}

func (p *Planner) secondsSincePlaced(placement *core.Placement) float64 {
	return p.core.Now.Sub(placement.OwnerState.PlacedAt).Seconds()
}

// ExecutePreemption stops the victims of a plan for a job.
func (p *Planner) ExecutePreemption(plan core.PreemptionPlan, id api.JobID) {
	for _, victim := range plan.Victims {
		p.core.Metrics.PreemptedTasks++
		victim.Job.OwnerState.PreemptedTasks++
		slog.Info("task preempted", "task", victim.Task, "machine", victim.Machine, "for", id)
		p.siblings.Health.AdjustFloors(victim.Job.Spec, -victim.Job.Demand.CPU.Float())
		p.siblings.Scheduler.StopTask(victim)
	}
}
