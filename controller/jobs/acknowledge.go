package jobs

import (
	"maps"
	"slices"

	"basaltwall/controller/core"
)

// This file handles cancellations on the side of a partition's owner: it decides when the
// acknowledgement may be recorded, and stops the tasks early so that it can be recorded soon.

// CanAcknowledgeCancellation reports whether a partition's owner may record that it has read a
// job's cancellation. The owner must be the only one that commands the machines of the job's
// tasks, no launch may be in flight, and all tasks must have started. Otherwise:
//   - a former owner that has not read the cancellation may renew the lease of a machine that
//     has not reported the new fencing token;
//   - a launch that arrives late starts a task in spite of the cancellation;
//   - a task that is fetching its image or waiting for its gang starts by itself if the command
//     to stop it is delayed.
func (s *Service) CanAcknowledgeCancellation(owned *core.OwnedPartition, j *core.Job) bool {
	if j.PlacementCounts[owned.ID] == 0 || j.CancellationAcknowledged(owned.ID) || !s.core.LeaseCoversCancellation {
		return false
	}
	for _, p := range j.Placements {
		if p.Partition == owned.ID && !p.Finishing && !s.knownToHaveStarted(owned, p) {
			return false
		}
	}
	return true
}

// knownToHaveStarted reports whether a task has started, by the heartbeat of a machine that only
// this owner commands.
func (s *Service) knownToHaveStarted(owned *core.OwnedPartition, p *core.Placement) bool {
	m := s.core.Machines[p.Machine]
	return m != nil && m.ReportedToken >= s.core.MinToken(owned, m.ID) &&
		p.OwnerState.Reported && core.TaskStarted(p.OwnerState.State)
}

// StopCancelledTasks contacts each machine of a cancelled job's tasks once. It does not wait for
// their next heartbeats, because a task that has not started yet delays the acknowledgement.
func (s *Service) StopCancelledTasks(owned *core.OwnedPartition, j *core.Job) {
	if j.PlacementCounts[owned.ID] == 0 {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(j.Placements)) { // sorted, so that the order of the calls is deterministic
		p := j.Placements[task]
		if p.Partition != owned.ID || p.Finishing || p.OwnerState.HaltRequested {
			continue
		}
		if m := s.core.Machines[p.Machine]; m != nil {
			p.OwnerState.HaltRequested = true
			s.deps.Agents.ScheduleDirectCall(m)
		}
	}
}
