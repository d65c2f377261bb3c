package rounds

// This file stops tasks and records their ends.

import (
	"log/slog"

	"basaltwall/controller/core"
)

// RecordTaskEnd marks a placement as ended; the partition's next round records the end. The task is
// completed if done is set. The reason is logged, and with the end reasons of package core the task
// counts as lost.
func (s *Scheduler) RecordTaskEnd(owned *core.OwnedPartition, placement *core.Placement, done bool, reason string) {
	if placement.Finishing {
		return
	}
	s.core.State.SetFinishing(placement, true)
	tracking := &placement.Job.OwnerState
	tracking.LastTaskEndedAt = s.core.Now
	owned.PendingEnds[placement] = done
	owned.NeedsRound = true
	if done {
		return
	}
	if reason == core.EndReasonMachineDeleted || reason == core.EndReasonEpochEnded {
		tracking.LostTasks++
		tracking.LastLossAt, tracking.PreemptedForStart = s.core.Now, false
	}
	slog.Info("task ended", core.TenantAttr(placement.Job), "task", placement.Task, "machine", placement.Machine, "reason", reason)
}

// StopTask requests the stop of a task, with the grace period that it needs to write its
// checkpoint.
func (s *Scheduler) StopTask(placement *core.Placement) {
	if placement.OwnerState.StopRequested {
		return
	}
	placement.OwnerState.StopRequested, placement.OwnerState.StopRequestedAt = true, s.core.Now
	if placement.Job.Spec.Checkpoint > 0 {
		placement.OwnerState.StopGrace = placement.Job.Spec.Save + 1
	}
	if m := s.core.Machines[placement.Machine]; m != nil {
		s.deps.Agents.ScheduleDirectCall(m)
	}
}
