package jobs

import (
	"maps"
	"slices"

	"basaltwall/controller/core"
)

// This file is an owner's side of a cancellation: when its acknowledgement may be recorded, and
// what is done at once so that it may be soon.

// CanAcknowledgeCancellation reports whether a partition's owner is to record that it has read
// a job's cancellation. It may once it alone commands the machines that hold the job's tasks,
// no launch of one is in flight, and all of them have started. Otherwise:
//   - a machine that has not shown our token may have its lease renewed by a former owner that
//     has not read the cancellation;
//   - a launch that arrives later starts a task whatever we have read;
//   - a task that fetches its image or waits for its gang starts by itself unless the command
//     to stop it, which may be delayed, arrives before.
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

// knownToHaveStarted reports whether a task is known to have started on a machine that is
// commanded by this owner alone.
func (s *Service) knownToHaveStarted(owned *core.OwnedPartition, p *core.Placement) bool {
	m := s.core.Machines[p.Machine]
	return m != nil && m.ReportedToken >= s.core.MinToken(owned, m.ID) &&
		p.OwnerState.Reported && core.TaskStarted(p.OwnerState.State)
}

// StopCancelledTasks has the machines contacted that hold a cancelled job's tasks, once, as
// soon as the cancellation is read: their next heartbeats may be seconds away, and a task that
// has yet to start delays the acknowledgement.
func (s *Service) StopCancelledTasks(owned *core.OwnedPartition, j *core.Job) {
	if j.PlacementCounts[owned.ID] == 0 {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(j.Placements)) { // in order: the calls are made in it
		p := j.Placements[task]
		if p.Partition != owned.ID || p.Finishing || p.OwnerState.HaltRequested {
			continue
		}
		if m := s.core.Machines[p.Machine]; m != nil {
			p.OwnerState.HaltRequested = true
			s.siblings.Agents.ContactNow(m)
		}
	}
}
