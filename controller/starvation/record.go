package starvation

// This file has how long reservations last, and how they get to the partition's next owner.

import (
	"maps"
	"slices"

	"basaltwall/api"
	"basaltwall/backfill"
	"basaltwall/clusterstate"
	"basaltwall/controller/core"
)

// maxReservationChanges bounds the changes of reservations in a round's record: they have the
// bytes that its starts and ends leave.
const maxReservationChanges = 2

// wholeMachineShare is the share of a machine from which on a task counts as one that fills it.
const wholeMachineShare = 0.5

// extendLoanReservations extends the reservations of machines that were lent to a partition for a
// job until that has begun, for some time: they come one by one, and the first would be returned
// as idle before the last is there.
func (g *Guard) extendLoanReservations(owned *core.OwnedPartition) {
	for id, loan := range g.core.State.Loans {
		j, m := g.core.State.Jobs[loan.Job], g.core.Machines[id]
		if loan.Partition != owned.ID || j == nil || m == nil {
			continue
		}
		if g.core.Now.Sub(g.siblings.Agents.LoanKnownAt(id)) > backfill.StartDeadline/2 || j.PendingTasks(owned.ID) == 0 {
			continue
		}
		if _, waits := g.waitingTime(j, owned.ID); waits && g.siblings.Preemptor.ReservedFor(m) != "" {
			m.ReservedUntil, m.IdleSince = g.core.Now.Add(core.ReservationTTL), g.core.Now
		}
	}
}

// extendWholeMachineReservations extends the reservation of a machine that was emptied for tasks
// that fill most of it, for the next of them: each would be gathered for anew otherwise. Where a
// service is left on it only Backfill decides: it may have nowhere to go, and others wait for the
// rest of the machine.
func (g *Guard) extendWholeMachineReservations(owned *core.OwnedPartition) {
	for _, m := range g.siblings.Agents.MachinesOf(owned.ID) {
		if !m.Consolidated || g.siblings.Preemptor.ReservedFor(m) == "" || g.core.Now.Sub(m.ConsolidatedAt) > backfill.StartDeadline {
			continue
		}
		j, machineType := g.core.State.Jobs[m.ReservedFor], g.core.MachineTypes[m.MachineType]
		if j.PendingTasks(owned.ID) <= 0 || machineType == nil || backfill.DominantShare(j.Demand, machineType.Capacity()) <= wholeMachineShare {
			continue
		}
		if !slices.ContainsFunc(g.core.State.PlacementsOn(m.ID), isLastingService) {
			m.ReservedUntil = g.core.Now.Add(core.ReservationTTL)
		}
	}
}

// isLastingService reports whether a task is a service's that nobody has stopped.
func isLastingService(p *core.Placement) bool {
	return p.Job.Spec.Kind == api.Service && !p.Finishing && !p.OwnerState.StopRequested
}

// ReservationChanges are the changes of a partition's reservations that its record does not have
// yet: new ones, and those that are over, since their job has begun or ended or other machines
// were chosen. The partition's next owner learns by the record what was being emptied for whom.
func (g *Guard) ReservationChanges(owned *core.OwnedPartition) []clusterstate.Reservation {
	var out []clusterstate.Reservation
	recorded := g.core.State.Partitions[owned.ID].Reservations
	for _, m := range g.siblings.Agents.MachinesOf(owned.ID) {
		jobID := g.siblings.Preemptor.ReservedFor(m)
		if m.Consolidated && jobID != "" && recorded[m.ID].Job != jobID && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: m.ID, Job: jobID, Since: g.core.WallClock})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(recorded)) {
		m := g.core.Machines[id]
		ended := m == nil || g.core.PartitionOf(id) != owned.ID || !m.Consolidated || g.siblings.Preemptor.ReservedFor(m) == ""
		if ended && len(out) < maxReservationChanges {
			out = append(out, clusterstate.Reservation{Machine: id})
		}
	}
	return out
}

// RestoreReservations takes over the reservations of the partition's former owner, for as long as
// it takes to make a pass of our own.
func (g *Guard) RestoreReservations(owned *core.OwnedPartition) {
	for id, recorded := range g.core.State.Partitions[owned.ID].Reservations {
		j := g.core.State.Jobs[recorded.Job]
		if g.core.PartitionOf(id) != owned.ID || j == nil {
			continue
		}
		m := g.siblings.Agents.EnsureMachine(id)
		g.markReserved(m, recorded.Job, j.Spec.Priority.Rank(), true)
		m.ConsolidatedAt = g.core.Now
	}
}
