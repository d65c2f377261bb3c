package rounds

// This file stops tasks and notes that they have ended.

import (
	"log/slog"

	"basaltwall/controller/core"
)

// RecordTaskEnd notes evidence that a task's placement is over; the partition's next round
// records it. The task has completed if done is set. The reason only appears in the log, except
// for those of core, with which a task counts as lost.
func (s *Scheduler) RecordTaskEnd(owned *core.OwnedPartition, placement *core.Placement, done bool, reason string) {
	if placement.Finishing {
		return
	}
	s.core.State.SetFinishing(placement, true)
	tracking := &placement.Job.OwnerState
	tracking.LastTaskEndedAt = s.core.Now
	owned.PendingEnds[placement] = done
	owned.Dirty = true
	if done {
		return
	}
	if reason == core.EndReasonMachineDeleted || reason == core.EndReasonEpochOver {
		tracking.LostTasks++
		tracking.LastLossAt, tracking.PreemptedForStart = s.core.Now, false
	}
	slog.Info("task ended", core.TenantAttr(placement.Job), "task", placement.Task, "machine", placement.Machine, "reason", reason)
}

// StopTask has a task stopped, with the grace period that it needs to write its checkpoint.
func (s *Scheduler) StopTask(placement *core.Placement) {
	if placement.OwnerState.StopRequested {
		return
	}
	placement.OwnerState.StopRequested, placement.OwnerState.StopRequestedAt = true, s.core.Now
	if placement.Job.Spec.Checkpoint > 0 {
		placement.OwnerState.StopGrace = placement.Job.Spec.Save + 1
	}
	if m := s.core.Machines[placement.Machine]; m != nil {
		s.siblings.Agents.ContactNow(m)
	}
}
