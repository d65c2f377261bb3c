package rounds

// This file notes the demand that a round could not meet: what quota and which machines it lacks.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Bounds on the work that a round does for unmet demand.
const (
	maxPreemptions        = 8  // jobs for which tasks are preempted
	maxQuotaStarvedChecks = 16 // jobs without quota for which free capacity is looked for
	// preemptionInterval is how soon tasks are preempted for a job again: those that were
	// stopped take a while to end.
	preemptionInterval = time.Second
)

// unmetDemandRecorder is what is left to a round while it notes its unmet demand.
type unmetDemandRecorder struct {
	owned             *core.OwnedPartition
	input             *sched.Input
	remainingQuota    map[api.Team]api.Resources
	preemptionsLeft   int
	starvedChecksLeft int
}

// recordUnmetDemand notes what quota and capacity the tasks lack that the round has not placed,
// and has tasks of lower priority preempted for them. placed is how many tasks of each job it has.
func (s *Scheduler) recordUnmetDemand(problem *flowProblem, placed []int) {
	recorder := &unmetDemandRecorder{
		owned:             problem.owned,
		input:             problem.input,
		remainingQuota:    s.unreservedQuota(problem.owned),
		preemptionsLeft:   maxPreemptions,
		starvedChecksLeft: maxQuotaStarvedChecks,
	}
	for i, j := range problem.jobs {
		recorder.remainingQuota[j.Spec.Team] = recorder.remainingQuota[j.Spec.Team].Minus(j.Demand.Times(placed[i]))
		problem.input.Jobs[i].ConsumeUnits(problem.input.AvailableUnits, placed[i])
	}
	for i, j := range problem.jobs {
		request := &problem.input.Jobs[i]
		missing := len(request.Pending) - placed[i]
		if missing <= 0 || recorder.recordMissingQuota(request, j, missing) {
			continue
		}
		if request.TasksWithinUnits(problem.input.AvailableUnits, missing) == 0 {
			continue // a machine would not help
		}
		s.siblings.Priorities.RecordShortage(problem.owned, j.Spec)
		if placed[i] == 0 {
			s.recordUnplacedJob(recorder, request, j, missing)
		}
	}
}

// recordMissingQuota notes what quota the missing tasks of a job lack. It reports whether they
// could not start on any machine for it.
func (r *unmetDemandRecorder) recordMissingQuota(request *sched.Job, j *core.Job, missing int) bool {
	startable := j.Demand.Slots(r.remainingQuota[j.Spec.Team])
	if startable >= missing {
		return false
	}
	need := j.Demand.Times(missing)
	need.Mem = 0
	addDemand(r.owned.QuotaDemand, j, need)
	if request.ReservesQuota {
		addDemand(r.owned.MustStartQuotaDemand, j, need)
	}
	if startable == 0 && r.starvedChecksLeft > 0 {
		r.starvedChecksLeft--
		if hasFreeCapacity(r.input.Machines, j) {
			addDemand(r.owned.QuotaStarvedDemand, j, need)
		}
	}
	return startable == 0 || j.Spec.Kind == api.Gang
}

// addDemand adds to the demand of a job's team.
func addDemand(demand map[api.Team]api.Resources, j *core.Job, need api.Resources) {
	demand[j.Spec.Team] = demand[j.Spec.Team].Plus(need)
}

// recordUnplacedJob has other partitions told of a job that found no machine and needs all of its
// tasks in one partition, and has tasks of lower priority preempted for it.
func (s *Scheduler) recordUnplacedJob(r *unmetDemandRecorder, request *sched.Job, j *core.Job, missing int) {
	if j.Spec.NeedsSinglePartition() && len(r.owned.UnmetDemands) < message.MaxUnmetDemands {
		r.owned.UnmetDemands = append(r.owned.UnmetDemands, s.siblings.Balancer.UnmetDemandOf(r.owned, j, request))
	}
	if r.preemptionsLeft > 0 && s.core.Now >= j.OwnerState.NextPreemptionAt && s.siblings.Preemptor.RunsLowerPriority(r.owned.ID, j.Spec.Priority.Rank()) {
		r.preemptionsLeft--
		j.OwnerState.NextPreemptionAt = s.core.Now.Add(preemptionInterval)
		s.siblings.Preemptor.PreemptFor(r.owned, request, j, missing, 0)
	}
}

// hasFreeCapacity reports whether machines have free capacity for a task of a job, or for a gang.
func hasFreeCapacity(machines []sched.Machine, j *core.Job) bool {
	need := 1
	if j.Spec.Kind == api.Gang {
		need = j.Spec.Tasks
	}
	for i := range machines {
		m := &machines[i]
		if !sched.Feasible(j.Spec, m.Type, m.Zone, m.Spot) {
			continue
		}
		if need -= j.Demand.Slots(m.Free); need <= 0 {
			return true
		}
	}
	return false
}
