package starvation

// This file extends reservations, records them, and restores them for the partition's next owner.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// maxReservationChanges limits the changes of reservations in a round's record, which must fit into
// the space that starts and ends leave.
const maxReservationChanges = 2

// wholeMachineShare is the share of a machine above which a task counts as filling the machine.
const wholeMachineShare = 0.5

// extendLoanReservations extends the reservations of machines that were lent to a partition for a
// job, for a limited time, until the job has started. Loans arrive one by one: the first machine
// would otherwise be returned as idle before the last one arrives.
func (g *Guard) extendLoanReservations(owned *core.OwnedPartition) {
	for id, loan := range g.core.State.Loans {
		j, m := g.core.State.Jobs[loan.Job], g.core.Machines[id]
		if loan.Partition != owned.ID || j == nil || m == nil {
			continue
		}
		if g.core.Now.Sub(g.deps.Agents.LoanKnownAt(id)) > backfill.StartDeadline/2 || j.PendingTasks(owned.ID) == 0 {
			continue
		}
		if _, waits := g.waitingTime(j, owned.ID); waits && g.deps.Preemptor.ReservedFor(m) != "" {
			m.ReservedUntil, m.IdleSince = g.core.Now.Add(core.ReservationTTL), g.core.Now
		}
	}
}

// extendWholeMachineReservations extends the reservation of a machine that was emptied for tasks
// that fill most of it, so that the next such task needs no new reservation. A machine with a
// service on it is left to ReserveForAgedJobs: the service may have no capacity elsewhere, and others wait
// for the rest of the machine.
func (g *Guard) extendWholeMachineReservations(owned *core.OwnedPartition) {
	for _, m := range g.deps.Agents.MachinesOf(owned.ID) {
		if !m.ReservedForAged || g.deps.Preemptor.ReservedFor(m) == "" || g.core.Now.Sub(m.ReservedForAgedAt) > backfill.StartDeadline {
			continue
		}
		j, machineType := g.core.State.Jobs[m.ReservedFor], g.core.MachineTypes[m.MachineType]
		if j.PendingTasks(owned.ID) <= 0 || machineType == nil || backfill.DominantShare(j.Demand, machineType.Capacity()) <= wholeMachineShare {
			continue
		}
		if !slices.ContainsFunc(g.core.State.PlacementsOn(m.ID), isActiveService) {
			m.ReservedUntil = g.core.Now.Add(core.ReservationTTL)
		}
	}
}

// isActiveService reports whether a task belongs to a service and no stop is requested.
func isActiveService(p *core.Placement) bool {
	return p.Job.Spec.Kind == api.Service && !p.Finishing && !p.OwnerState.StopRequested
}

// ReservationChanges returns the changes of a partition's reservations that its record does not
// have yet: new reservations, and those that have ended because their job has started or ended or
// other machines were selected. The record passes the reservations to the partition's next owner.
func (g *Guard) ReservationChanges(owned *core.OwnedPartition) []clusterstate.Reservation {
	var out []clusterstate.Reservation
	recorded := g.core.State.Partitions[owned.ID].Reservations
	for _, m := range g.deps.Agents.MachinesOf(owned.ID) {
		jobID := g.deps.Preemptor.ReservedFor(m)
		if m.ReservedForAged && jobID != "" && recorded[m.ID].Job != jobID && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: m.ID, Job: jobID, Since: g.core.WallClock})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		m := g.core.Machines[id]
		ended := m == nil || g.core.PartitionOf(id) != owned.ID || !m.ReservedForAged || g.deps.Preemptor.ReservedFor(m) == ""
		if ended && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: id})
		}
	}
	return out
}

// RestoreReservations restores the reservations of the partition's former owner, until the first
// backfill pass of this controller.
func (g *Guard) RestoreReservations(owned *core.OwnedPartition) {
	for id, recorded := range g.core.State.Partitions[owned.ID].Reservations {
		j := g.core.State.Jobs[recorded.Job]
		if g.core.PartitionOf(id) != owned.ID || j == nil {
			continue
		}
		m := g.deps.Agents.EnsureMachine(id)
		g.markReserved(m, recorded.Job, j.Spec.Priority.Rank(), true)
		m.ReservedForAgedAt = g.core.Now
	}
}
