package rounds

// This file begins and ends the ownership of partitions.

import (
	"log/slog"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// BeginOwnership makes this controller the owner of a partition under a term. The partition's tasks
// and machines are known only from the cluster state at first.
func (s *Scheduler) BeginOwnership(p api.PartitionID, term api.Revision) {
	owned := &core.OwnedPartition{
		ID:           p,
		Term:         term,
		OwnedSince:   s.core.Now,
		LastRevision: term,
		NeedsRound:   true,
		RoundState:   core.RoundState{PendingEnds: map[*core.Placement]bool{}},
		QuotaState:   core.QuotaState{NextQuotaTransfer: map[api.PartitionID]api.Time{}},
	}
	s.core.Partitions[p] = owned
	for placement := range s.core.State.PlacementsByPartition[p] {
		s.adoptPlacement(owned, placement)
	}
	// Applies the latest machine list at once: the next one may take long.
	s.deps.Autoscaler.ReconcileMachineList()
	for _, m := range s.deps.Agents.MachinesOf(p) {
		m.CommandToken, m.SupersededToken, m.UnansweredCalls, m.DiscoveredAt = s.core.MinToken(owned, m.ID), 0, 0, s.core.Now
	}
	s.deps.Backfiller.RestoreReservations(owned)
	s.deps.Priorities.ContactPriorityMachines(owned)
	s.core.Metrics.Takeovers++
	slog.Info("partition acquired", "partition", p, "term", term, "tasks", len(s.core.State.PlacementsByPartition[p]))
}

// adoptPlacement resets the tracking of a placement and adds its machine to the known ones. If the
// machine is deleted, the end of the task is recorded instead.
func (s *Scheduler) adoptPlacement(owned *core.OwnedPartition, placement *core.Placement) {
	s.core.State.SetFinishing(placement, false)
	tracking := &placement.OwnerState
	tracking.StopRequested, tracking.HaltRequested, tracking.Reported = false, false, false
	if tracking.PlacedAt == 0 {
		tracking.PlacedAt = s.core.Now
	}
	if s.deps.Autoscaler.IsDeleted(placement.Machine) {
		s.RecordTaskEnd(owned, placement, false, core.EndReasonMachineDeleted)
	} else {
		s.deps.Agents.EnsureMachine(placement.Machine)
	}
}

// loseOwnership drops a partition whose rounds are refused because another controller owns it.
func (s *Scheduler) loseOwnership(owned *core.OwnedPartition) {
	if s.core.Partitions[owned.ID] == owned {
		delete(s.core.Partitions, owned.ID)
		slog.Info("partition lost", "partition", owned.ID)
	}
	s.deps.Follower.LinearizableRead(func() {}, func() {})
}
