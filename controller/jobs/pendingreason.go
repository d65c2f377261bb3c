package jobs

import (
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// This file explains to operators why a job's tasks are pending.

// pendingReasons explains why a job's tasks are pending: by priority rule and by partition.
func (s *Service) pendingReasons(j *core.Job, partitions []api.PartitionID, capacityGroups []core.FreeCapacityGroup) []string {
	var reasons []string
	if rule := s.deps.Priorities.HigherPriorityRule(j.Spec); rule != "" && j.HasPendingTasks() {
		reasons = append(reasons, fmt.Sprintf("priority rule %q ranks other jobs first", rule))
	}
	for _, p := range partitions {
		if pending := j.PendingTasks(p); pending > 0 {
			reasons = append(reasons, fmt.Sprintf("partition %d: %d tasks pending: %s", p, pending, s.PendingReason(j, p, capacityGroups)))
		}
	}
	return reasons
}

// delayReasons explains what has delayed the tasks of a job that were started.
func delayReasons(j *core.Job) []string {
	fetching := 0
	for _, p := range j.Placements {
		if p.OwnerState.Reported && p.OwnerState.State == api.TaskFetching {
			fetching++
		}
	}
	lost, preempted := j.OwnerState.LostTasks, j.OwnerState.PreemptedTasks
	var reasons []string
	for _, delay := range []struct {
		count  int
		format string
	}{
		{fetching, "image being fetched for %d tasks"},
		{lost, "%d tasks lost with their machine"},
		{preempted, "%d tasks preempted by more urgent work"},
		{j.RetryCount - lost - preempted, "%d other attempts ended without a result"},
	} {
		if delay.count > 0 {
			reasons = append(reasons, fmt.Sprintf(delay.format, delay.count))
		}
	}
	return reasons
}

// PendingReason explains why a job's tasks are pending in a partition.
func (s *Service) PendingReason(j *core.Job, p api.PartitionID, capacityGroups []core.FreeCapacityGroup) string {
	switch {
	case !s.core.IsLive(s.core.State.Partitions[p].Owner):
		return "the partition has no live owner"
	case j.OwnerState.BackoffUntil > s.core.Now:
		return fmt.Sprintf("retry backoff after task failures, %.0f s left", j.OwnerState.BackoffUntil.Sub(s.core.Now).Seconds())
	case j.OwnerState.OversizedUntil > s.core.Now:
		return "the gang's starts on the free machines exceed a round's record"
	case j.Spec.Kind == api.Gang && len(j.Placements) > 0:
		return "the gang's previous attempt has not ended on all machines"
	}
	if reason := s.quotaReason(j, p); reason != "" {
		return reason
	}
	if reason := s.deps.Pools.PoolPendingReason(j, p); reason != "" {
		return reason
	}
	if owned := s.core.Partitions[p]; owned != nil && s.deps.Balancer.HasReservationFor(owned, j.ID) {
		return "machines are reserved for the job and do not have enough free capacity yet"
	}
	return s.capacityReason(j, p, capacityGroups)
}

// quotaReason states the team's remaining quota in a partition if a task, or a whole gang, does
// not fit into it; otherwise it is empty.
func (s *Service) quotaReason(j *core.Job, p api.PartitionID) string {
	demand := j.Demand
	if j.Spec.Kind == api.Gang {
		demand = demand.Times(j.Spec.Tasks)
	}
	demand.Mem = 0
	quotaLeft := s.core.RemainingQuota(p)[j.Spec.Team]
	if demand.Fits(quotaLeft) {
		return ""
	}
	return fmt.Sprintf("quota: team %s has %.1f CPUs and %.1f GPUs left in this partition", j.Spec.Team, quotaLeft.CPU.Float(), quotaLeft.GPU.Float())
}

// capacityReason states the number of machines in a partition that a job may use, and the number
// of its tasks that they have free capacity for.
func (s *Service) capacityReason(j *core.Job, p api.PartitionID, capacityGroups []core.FreeCapacityGroup) string {
	allowed, usable, free := 0, 0, 0
	for _, group := range capacityGroups {
		class := group.Class
		if group.Partition != p || !sched.Feasible(j.Spec, class.Type, class.Zone, class.Spot) {
			continue
		}
		allowed += group.Count
		reservedForAccelerators := class.Closed && s.core.IsCPUOnly(j.Spec)
		if class.Usable && !reservedForAccelerators {
			usable += group.Count
			free += group.Count * j.Demand.Slots(group.Free)
		}
	}
	reason := fmt.Sprintf("%d machines allowed by the job, %d of them usable, with free capacity for %d tasks", allowed, usable, free)
	if failedOn := j.OwnerState.FailedOn; len(failedOn) > 0 {
		reason += fmt.Sprintf("; its tasks failed on %d machines, next retry there in %.0f s", len(failedOn), failedOn.RetryDelay(s.core.Now).Seconds())
	}
	if free == 0 {
		return "no free capacity: " + reason
	}
	return reason
}
