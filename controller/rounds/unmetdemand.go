package rounds

// This file records the demand that a round could not meet: the missing quota and machines.

import (
	"time"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/controller/message"
	"basaltwall/sched"
)

// Limits on the work of a round for unmet demand.
const (
	maxPreemptions        = 8  // jobs for which tasks are preempted
	maxQuotaStarvedChecks = 16 // jobs without quota for which free capacity is checked
	// preemptionInterval is the minimum time between two preemptions for a job: stopped tasks take a
	// while to end.
	preemptionInterval = time.Second
)

// unmetDemandRecorder records the unmet demand of a round within these limits.
type unmetDemandRecorder struct {
	owned             *core.OwnedPartition
	input             *sched.Input
	remainingQuota    map[api.Team]api.Resources
	preemptionsLeft   int
	starvedChecksLeft int
}

// recordUnmetDemand records the quota and capacity that tasks lack which the round has not placed,
// and preempts tasks of lower priority for them. placed is the number of placed tasks of each job.
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
			continue // it lacks pool units, not a machine
		}
		s.deps.Priorities.ObserveShortage(problem.owned, j.Spec)
		if placed[i] == 0 {
			s.recordUnplacedJob(recorder, request, j, missing)
		}
	}
}

// recordMissingQuota records the quota that the missing tasks of a job lack. It reports whether the
// lack of quota prevents every start of the job, whatever capacity is free.
func (r *unmetDemandRecorder) recordMissingQuota(request *sched.Job, j *core.Job, missing int) bool {
	startable := j.Demand.Slots(r.remainingQuota[j.Spec.Team])
	if startable >= missing {
		return false
	}
	need := j.Demand.Times(missing)
	need.Mem = 0
	addDemand(r.owned.QuotaDemand, j, need)
	if request.ReservesQuota {
		addDemand(r.owned.AgedQuotaDemand, j, need)
	}
	if startable == 0 && r.starvedChecksLeft > 0 {
		r.starvedChecksLeft--
		if hasFreeCapacity(r.input.Machines, j) {
			addDemand(r.owned.QuotaStarvedDemand, j, need)
		}
	}
	return startable == 0 || j.Spec.Kind == api.Gang
}

func addDemand(demand map[api.Team]api.Resources, j *core.Job, need api.Resources) {
	demand[j.Spec.Team] = demand[j.Spec.Team].Plus(need)
}

// recordUnplacedJob handles a job that found no machine: it reports the job to other partitions if
// all of its tasks must be in one partition, and preempts tasks of lower priority for it.
func (s *Scheduler) recordUnplacedJob(r *unmetDemandRecorder, request *sched.Job, j *core.Job, missing int) {
	if j.Spec.NeedsSinglePartition() && len(r.owned.UnmetDemands) < message.MaxUnmetDemands {
		r.owned.UnmetDemands = append(r.owned.UnmetDemands, s.deps.Balancer.UnmetDemandOf(r.owned, j, request))
	}
	if r.preemptionsLeft > 0 && s.core.Now >= j.OwnerState.NextPreemptionAt && s.deps.Preemptor.RunsLowerPriority(r.owned.ID, j.Spec.Priority.Rank()) {
		r.preemptionsLeft--
		j.OwnerState.NextPreemptionAt = s.core.Now.Add(preemptionInterval)
		s.deps.Preemptor.PreemptFor(r.owned, request, j, missing, 0)
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
