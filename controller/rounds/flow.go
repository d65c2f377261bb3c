package rounds

// This file builds a round's flow problem from the partition's machines and pending tasks, and
// turns its solution into starts.

import (
	"log/slog"
	"maps"
	"slices"
	"sync"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// flowProblem is a round's flow problem, with the machines and jobs that its indices refer to.
type flowProblem struct {
	owned            *core.OwnedPartition
	builder          *roundBuilder // the ends recorded in its round free capacity for starts
	input            *sched.Input
	machines         []*core.Machine // by their index in the input
	jobs             []*core.Job     // by their index in the input
	schedulableCount int             // number of schedulable machines, including full ones
	schedulableCPUs  float64
	teamUsage        map[api.Team]api.Resources
	incomingMachines func() map[core.MachineOffer]int
}

// scheduleTasks assigns the partition's pending tasks to machines, adds their starts to the round and records unmet
// demand.
func (s *Scheduler) scheduleTasks(b *roundBuilder) {
	owned := b.owned
	resetDemand(owned)
	pendingJobs, smallestDemand := s.pendingJobs(owned)
	units, jobs := s.deps.Pools.AllocatePoolUnits(owned, s.deps.Tenancy.LimitTenantJobs(owned, pendingJobs))
	if len(jobs) == 0 {
		return
	}
	problem := &flowProblem{
		owned:   owned,
		builder: b,
		input: &sched.Input{
			AvailableUnits:  units,
			LargestCapacity: s.core.LargestMachine,
			TypicalDemands:  s.deps.Backfiller.TypicalDemands(),
			RemainingQuota:  s.unreservedQuota(owned),
			MaxStarts:       max(0, b.bytesLeft) / minStartBytes,
		},
	}
	s.addMachines(problem, smallestDemand)
	s.addJobs(problem, jobs)
	for i, j := range problem.jobs {
		s.deps.Preemptor.PreemptForFastStart(owned, problem.input, &problem.input.Jobs[i], j)
	}
	s.recordFlowSize(problem)
	placed := s.solve(problem)
	s.recordUnmetDemand(problem, placed)
	if len(b.round.Starts) > 0 {
		owned.NeedsRound = true // more may follow next round
	}
}

// resetDemand clears the unmet demand of the previous round.
func resetDemand(owned *core.OwnedPartition) {
	owned.ShortTypes = nil
	owned.QuotaDemand = map[api.Team]api.Resources{}
	owned.AgedQuotaDemand = map[api.Team]api.Resources{}
	owned.QuotaStarvedDemand = map[api.Team]api.Resources{}
	owned.UnmetDemands = nil
	owned.RetryAt = 0
	owned.PendingTaskCount = 0
}

// pendingJobs returns the jobs with tasks that may start in the partition, and the minimum of their
// tasks' demands for each resource.
func (s *Scheduler) pendingJobs(owned *core.OwnedPartition) (jobs []*core.Job, smallestDemand api.Resources) {
	for _, id := range slices.Sorted(maps.Keys(s.core.State.PendingJobs)) {
		j := s.core.State.PendingJobs[id]
		pending := j.PendingTasks(owned.ID)
		if s.deps.Tenancy.StartsBlocked(j) {
			continue
		}
		if j.OwnerState.StartsDelayed(s.core.Now) {
			owned.NeedsRound = owned.NeedsRound || pending > 0 && j.OwnerState.BackoffUntil > s.core.Now
			s.scheduleRetry(owned, j.OwnerState.OversizedUntil)
			continue
		}
		if pending == 0 && j.FinishingCount == 0 {
			continue
		}
		owned.PendingTaskCount += pending
		if len(jobs) == 0 {
			smallestDemand = j.Demand
		}
		smallestDemand.CPU = min(smallestDemand.CPU, j.Demand.CPU)
		smallestDemand.GPU = min(smallestDemand.GPU, j.Demand.GPU)
		smallestDemand.Mem = min(smallestDemand.Mem, j.Demand.Mem)
		jobs = append(jobs, j)
	}
	return jobs, smallestDemand
}

// unreservedQuota returns the quota that each team has left in the partition, less the quota
// reserved for aged jobs of other partitions.
func (s *Scheduler) unreservedQuota(owned *core.OwnedPartition) map[api.Team]api.Resources {
	remaining := s.core.RemainingQuota(owned.ID)
	for _, teams := range owned.ReservedQuota {
		for team, reserved := range teams {
			remaining[team] = remaining[team].Minus(reserved)
		}
	}
	return remaining
}

// addMachines adds the partition's schedulable machines whose free capacity covers the smallest
// demand.
func (s *Scheduler) addMachines(problem *flowProblem, smallestDemand api.Resources) {
	for _, m := range s.deps.Agents.MachinesOf(problem.owned.ID) {
		if !s.IsSchedulable(m, problem.owned) {
			s.scheduleRetry(problem.owned, m.Quarantine.RetryAt)
			continue
		}
		problem.schedulableCPUs += s.core.MachineTypes[m.MachineType].CPUs
		problem.schedulableCount++
		free := s.FreeCapacityOn(m, problem.owned)
		if !smallestDemand.Fits(free) || !s.hasTaskSlot(m) {
			continue
		}
		problem.input.Machines = append(problem.input.Machines, s.flowMachine(m, free))
		problem.machines = append(problem.machines, m)
	}
}

// flowMachine returns a machine as input of the flow problem.
func (s *Scheduler) flowMachine(m *core.Machine, free api.Resources) sched.Machine {
	machineType := s.core.MachineTypes[m.MachineType]
	return sched.Machine{
		ID:                  m.ID,
		Type:                m.MachineType,
		Zone:                m.Zone,
		Spot:                m.Spot,
		Free:                free,
		TaskSlots:           s.taskSlots(m),
		HasAccelerators:     machineType.GPUs > 0,
		AcceleratorOnly:     m.ScaleInCandidate,
		ForLatencySensitive: s.deps.Autoscaler.SuitsLatencySensitive(m),
		Surplus:             m.Surplus || s.core.Now < m.ConsolidatingUntil,
		Slowdown:            m.RelativeRuntime,
		FetchRate:           machineType.FetchRate,
		FetchingImages:      s.PendingImageFetches(m),
		CachedImages:        m.CachedImages,
		ReservedFor:         s.deps.Preemptor.ReservedFor(m),
		SoftReservation:     m.SoftReservation,
		ReservationRank:     m.ReservationRank,
	}
}

// addJobs adds the jobs with tasks that may start in this round.
func (s *Scheduler) addJobs(problem *flowProblem, jobs []*core.Job) {
	problem.teamUsage = s.core.TeamUsage()
	problem.incomingMachines = sync.OnceValue(s.deps.Autoscaler.IncomingMachines)
	problem.jobs = jobs[:0]
	for _, j := range jobs {
		if request, ok := s.flowJob(problem, j); ok {
			problem.input.Jobs = append(problem.input.Jobs, request)
			problem.jobs = append(problem.jobs, j)
		}
	}
}

// flowJob returns a job as input of the flow problem; ok is false if none of its tasks may start.
func (s *Scheduler) flowJob(problem *flowProblem, j *core.Job) (request sched.Job, ok bool) {
	pending := s.startableTasks(problem.owned, j, problem.builder.round, max(problem.schedulableCount, 1))
	stage, waited := s.deps.Backfiller.RoundAgingStage(problem.owned, j)
	pending = s.limitStarts(j, pending, stage)
	if len(pending) == 0 {
		return sched.Job{}, false
	}
	zones, known := s.TaskZones(j)
	if !known && (j.Spec.OneZone || j.Spec.Spread) {
		return sched.Job{}, false // the zones of its other tasks are not known yet
	}
	excluded, retried := s.failedMachines(problem.owned, j)
	request = sched.Job{
		Spec:                j.Spec,
		Demand:              j.Demand,
		Pending:             pending,
		PlacedByZone:        zones,
		Urgency:             s.urgency(j, problem.schedulableCPUs),
		PriorityBoost:       s.deps.Priorities.PriorityBoost(j.Spec),
		AgingStage:          stage,
		WaitedSeconds:       waited,
		ReservesQuota:       stage == sched.AgedAboveAll && s.deps.Backfiller.FitsAttainableQuota(j, len(pending)),
		WithinGuarantee:     s.core.IsWithinGuarantee(j, problem.teamUsage),
		HoldsJobUnits:       j.LiveCount() > 0,
		StartSLO:            s.core.StartObjective(j.Spec.Class),
		ExcludedMachines:    excluded,
		RetriedMachines:     retried,
		NewMachineSeconds:   s.bootingMachineDelay(j, problem.incomingMachines),
		LatencySensitive:    s.deps.Autoscaler.IsLatencySensitive(j.Spec),
		AcceleratorOptional: s.core.IsCPUOnly(j.Spec),
		SpotRisk:            s.SpotRisk(j),
	}
	return request, true
}

// failedMachines returns the machines on which tasks of a job failed: those on which none may start in this
// round, and those on which one may be tried again. It forgets failures on machines that no longer exist, and
// notes when the partition needs a round for the next retry.
func (s *Scheduler) failedMachines(owned *core.OwnedPartition, j *core.Job) (excluded, retried map[api.MachineID]bool) {
	if len(j.OwnerState.FailedOn) == 0 {
		return nil, nil
	}
	excluded, retried = map[api.MachineID]bool{}, map[api.MachineID]bool{}
	for id, backoff := range j.OwnerState.FailedOn {
		switch {
		case s.core.Machines[id] == nil:
			delete(j.OwnerState.FailedOn, id)
		case s.core.Avoids(j, id):
			excluded[id] = true
			s.scheduleRetry(owned, backoff.RetryAt)
		default:
			retried[id] = true
		}
	}
	return excluded, retried
}

// scheduleRetry schedules a round for the time when tasks may be tried again. A time in the past has no effect.
func (s *Scheduler) scheduleRetry(owned *core.OwnedPartition, at api.Time) {
	if at > s.core.Now && (owned.RetryAt == 0 || at < owned.RetryAt) {
		owned.RetryAt = at
	}
}

// limitStarts limits the pending tasks of a job that may start in this round: an aged array starts
// at most one, and no task may use capacity in the floors of other classes and teams. A gang starts
// as a whole or not at all.
func (s *Scheduler) limitStarts(j *core.Job, pending []int, stage sched.AgingStage) []int {
	if stage != sched.NotAged && j.Spec.Kind == api.Array {
		pending = pending[:min(len(pending), 1)]
	}
	allowed := s.deps.Health.StartAllowance(j)
	if allowed >= len(pending) || stage == sched.AgedAboveAll {
		return pending
	}
	if j.Spec.Kind == api.Gang {
		return nil
	}
	return pending[:allowed]
}

// startableTasks returns at most maxTasks pending tasks of a job in this partition; of a gang
// either all tasks or none.
func (s *Scheduler) startableTasks(owned *core.OwnedPartition, j *core.Job, round *core.PendingRound, maxTasks int) []int {
	isGang := j.Spec.Kind == api.Gang
	if isGang {
		if !ownsFirstTask(owned.ID, j) || !allEnding(j, round) {
			return nil
		}
		maxTasks = j.Spec.Tasks
	}
	var tasks []int
	for _, taskRange := range j.Split {
		if taskRange.Partition != owned.ID {
			continue
		}
		for i := taskRange.From; i < taskRange.To && len(tasks) < maxTasks; i++ {
			if isStartable(owned, j, round, i) {
				tasks = append(tasks, i)
			}
		}
	}
	if isGang && len(tasks) != j.Spec.Tasks {
		return nil
	}
	return tasks
}

// allEnding reports whether a round records the end of every placement of a job.
func allEnding(j *core.Job, round *core.PendingRound) bool {
	for _, placement := range j.Placements {
		if _, ending := round.Ends[placement]; !ending {
			return false
		}
	}
	return true
}

// isStartable reports whether a task is not completed and has no placement, except one of this
// partition that the round records as ended.
func isStartable(owned *core.OwnedPartition, j *core.Job, round *core.PendingRound, task int) bool {
	if j.Completed.Has(task) {
		return false
	}
	placement := j.Placements[task]
	if placement == nil {
		return true
	}
	done, ending := round.Ends[placement]
	return ending && !done && placement.Partition == owned.ID
}

// recordFlowSize records the size of the flow problem in the metrics.
func (s *Scheduler) recordFlowSize(problem *flowProblem) {
	s.core.Metrics.FlowTasks, s.core.Metrics.FlowMachines = 0, len(problem.machines)
	for i := range problem.input.Jobs {
		s.core.Metrics.FlowTasks += len(problem.input.Jobs[i].Pending)
	}
}

// solve solves the flow problem and adds the starts to the round. It returns the number of placed tasks of each job.
func (s *Scheduler) solve(problem *flowProblem) (placed []int) {
	placed = make([]int, len(problem.jobs))
	for _, group := range problem.groupGangs(sched.PlanRound(problem.input)) {
		placed[group[0].JobIndex] += len(group)
		if !s.addStarts(problem.builder, problem.placements(group)) {
			continue
		}
		for _, assignment := range group {
			j := problem.jobs[assignment.JobIndex]
			s.deps.Health.AdjustFloors(j.Spec, j.Demand.CPU.Float())
			s.deps.Backfiller.ChargeAgedStartCredit(problem.owned, j, problem.input.Jobs[assignment.JobIndex].AgingStage)
			s.logStart(problem, assignment)
		}
	}
	return placed
}

// placements returns the placements of assignments.
func (problem *flowProblem) placements(assignments []sched.Assignment) []*core.Placement {
	var starts []*core.Placement
	for _, assignment := range assignments {
		m, j := problem.machines[assignment.MachineIndex], problem.jobs[assignment.JobIndex]
		starts = append(starts, &core.Placement{
			Task:      api.TaskID{Job: j.ID, Index: assignment.Task},
			Partition: problem.owned.ID,
			Machine:   m.ID,
			Epoch:     m.Epoch,
			Job:       j,
		})
	}
	return starts
}

// logStart logs the first start of a job, and each start of a service that has lost replicas.
func (s *Scheduler) logStart(problem *flowProblem, assignment sched.Assignment) {
	m, j := problem.machines[assignment.MachineIndex], problem.jobs[assignment.JobIndex]
	if !j.OwnerState.StartPlanned {
		j.OwnerState.StartPlanned = true
		slog.Info(core.LogJobStarts, core.TenantAttr(j), "job", j.ID, core.SpecAttr(j.Spec), "partition", problem.owned.ID, "after", s.core.SecondsSinceAcceptance(j))
	}
	if j.OwnerState.LastLossAt != 0 && j.Spec.Kind == api.Service {
		slog.Debug("replica restarted", "job", j.ID, "task", assignment.Task, "machine", m.ID, "type", m.MachineType,
			"lost_s", s.core.Now.Sub(j.OwnerState.LastLossAt).Seconds(), "fetch_s", problem.input.Machines[assignment.MachineIndex].FetchTime(j.Spec))
	}
}
