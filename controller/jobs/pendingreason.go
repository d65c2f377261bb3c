package jobs

import (
	"fmt"

	"basaltwall/api"
	"basaltwall/controller/core"
	"basaltwall/sched"
)

// This file says why a job's tasks wait, in words for operators.

// pendingReasons says why tasks of a job are pending: by the priority rules and by partition.
func (s *Service) pendingReasons(j *core.Job, partitions []api.PartitionID, capacityGroups []core.FreeCapacityGroup) []string {
	var reasons []string
	if rule := s.siblings.Priorities.PendingReasonPriority(j.Spec); rule != "" && j.HasPendingTasks() {
		reasons = append(reasons, fmt.Sprintf("rule %q puts other work before it", rule))
	}
	for _, p := range partitions {
		if pending := j.PendingTasks(p); pending > 0 {
			reasons = append(reasons, fmt.Sprintf("part %d: %d tasks wait: %s", p, pending, s.PendingReason(j, p, capacityGroups)))
		}
	}
	return reasons
}

// delayReasons says what has slowed down tasks of a job that were started.
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
		{lost, "machine lost under %d tasks"},
		{preempted, "%d tasks made way for more urgent work"},
		{j.RetryCount - lost - preempted, "%d more starts did not end with a result"},
	} {
		if delay.count > 0 {
			reasons = append(reasons, fmt.Sprintf(delay.format, delay.count))
		}
	}
	return reasons
}

// PendingReason says what keeps a job's tasks from starting in a partition.
func (s *Service) PendingReason(j *core.Job, p api.PartitionID, capacityGroups []core.FreeCapacityGroup) string {
	switch {
	case !s.core.IsLive(s.core.State.Partitions[p].Owner):
		return "the part has no living owner"
	case j.OwnerState.BackoffUntil > s.core.Now:
		return fmt.Sprintf("backs off for another %.0f s after failures", j.OwnerState.BackoffUntil.Sub(s.core.Now).Seconds())
	case j.Spec.Kind == api.Gang && len(j.Placements) > 0:
		return "the gang's last attempt has not ended everywhere"
	}
	if reason := s.quotaReason(j, p); reason != "" {
		return reason
	}
	if reason := s.siblings.Pools.PendingReasonPool(j, p); reason != "" {
		return reason
	}
	if owned := s.core.Partitions[p]; owned != nil && s.siblings.Balancer.HasReservationFor(owned, j.ID) {
		return "room is gathered for it on machines that are kept"
	}
	return s.capacityReason(j, p, capacityGroups)
}

// quotaReason says what is left of the team's limit in a partition, if that is too little for
// a task, or for all of a gang; else it is empty.
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
	return fmt.Sprintf("limit: team %s has %.1f CPUs and %.1f GPUs left here", j.Spec.Team, quotaLeft.CPU.Float(), quotaLeft.GPU.Float())
}

// capacityReason counts the machines of a partition that a job may use, and their free
// capacity for its tasks.
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
	reason := fmt.Sprintf("%d machines are allowed, %d usable, with room for %d tasks", allowed, usable, free)
	if free == 0 {
		return "no room: " + reason
	}
	return reason
}
