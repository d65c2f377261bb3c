// Sorted lists of the known machines, and the machines on loan.

package agent

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"basaltwall/api"
	"basaltwall/controller/core"
)

// machineLoan is a machine's latest loan and the time at which this controller learned of it.
type machineLoan struct {
	revision api.Revision
	knownAt  api.Time
}

// MachinesOf returns the known machines of a partition, ordered by ID.
func (am *Manager) MachinesOf(p api.PartitionID) []*core.Machine {
	am.sortMachines()
	return am.machinesByPartition[p]
}

// sortMachines rebuilds the sorted lists of machines if machines were added, removed or moved to other
// partitions.
func (am *Manager) sortMachines() {
	loansChanged := am.sortedLoanVersion != am.core.State.LoanGeneration
	if am.sortedMachines != nil && !loansChanged {
		return
	}
	if loansChanged {
		am.recordLoans()
	}
	am.sortedLoanVersion = am.core.State.LoanGeneration
	am.sortedMachines = make([]*core.Machine, 0, len(am.core.Machines))
	for _, m := range am.core.Machines {
		am.sortedMachines = append(am.sortedMachines, m)
	}
	slices.SortFunc(am.sortedMachines, func(a, b *core.Machine) int { return strings.Compare(string(a.ID), string(b.ID)) })
	am.machinesByPartition = make([][]*core.Machine, len(am.core.State.Partitions))
	for _, m := range am.sortedMachines {
		p := am.core.PartitionOf(m.ID)
		am.machinesByPartition[p] = append(am.machinesByPartition[p], m)
		am.reserveForLoan(m)
	}
}

// reserveForLoan reserves a newly lent machine exclusively for the job that it was lent for.
func (am *Manager) reserveForLoan(m *core.Machine) {
	loan := am.core.State.Loans[m.ID]
	if loan.Revision == m.LoanRevision {
		return
	}
	m.LoanRevision = loan.Revision
	am.deps.Preemptor.ReserveExclusively(m, loan.Job)
}

// recordLoans adds new loans to machineLoans and removes ended ones.
func (am *Manager) recordLoans() {
	for id, loan := range am.core.State.Loans {
		if am.machineLoans[id].revision == loan.Revision {
			continue
		}
		am.machineLoans[id] = machineLoan{loan.Revision, am.core.Now}
		if loan.Transferred && am.core.Partitions[loan.Partition] != nil {
			am.deps.Balancer.AdoptMachine(id)
		}
	}
	for id := range am.machineLoans {
		if _, ok := am.core.State.Loans[id]; !ok {
			delete(am.machineLoans, id)
		}
	}
}

// LoanInTransit reports whether a machine was lent so recently that its new owner has probably not
// received a heartbeat from it. Until then no controller counts it as free capacity.
func (am *Manager) LoanInTransit(id api.MachineID) bool {
	loan, ok := am.machineLoans[id]
	if !ok || am.core.Now.Sub(loan.knownAt) > am.core.HeartbeatTimeout {
		return false
	}
	if len(am.core.State.PlacementsOn(id)) > 0 || am.deps.Autoscaler.IsDeleted(id) {
		return false
	}
	m, owned := am.core.Machines[id], am.core.Partitions[am.core.PartitionOf(id)]
	return owned == nil || m == nil || m.LastHeartbeat == 0 || !am.deps.Scheduler.IsSchedulable(m, owned)
}

// LoanKnownAt returns the time at which this controller learned of a machine's latest loan; 0 if the
// machine is not on loan.
func (am *Manager) LoanKnownAt(id api.MachineID) api.Time { return am.machineLoans[id].knownAt }

// LoanedMachines returns the machines on loan, in no particular order.
func (am *Manager) LoanedMachines() iter.Seq[api.MachineID] { return maps.Keys(am.machineLoans) }
